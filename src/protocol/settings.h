// Readers of the platform's settings file (TOML) and the operators' settings file (S-expressions).
// Main reads both once at startup. The readers map the field names that the platform and the
// operators use to the standard terms of store::Settings and store::OperatorSettings.
#pragma once
#include <stdexcept>
#include <string>

#include "store/domain.h"

namespace rushtrestle::protocol {

/// The message is one line that names the invalid field or its position.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws SettingsError if the file cannot be read or a setting is missing or invalid.
store::Settings read_settings(const std::string& path);
/// Throws SettingsError if the file cannot be read, or a setting is invalid or names a team that
/// the platform's settings do not have.
store::OperatorSettings read_operator_settings(const std::string& path,
                                               const store::Settings& platform);
/// Parses the text of an operators' settings file. Throws SettingsError like the function above.
store::OperatorSettings parse_operator_settings(const std::string& text,
                                                const store::Settings& platform);

}  // namespace rushtrestle::protocol

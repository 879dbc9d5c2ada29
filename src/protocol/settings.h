// The platform's settings file (TOML) and the operators' own (S-expressions), read once at the
// start by main. Names of fields are the platform's and the operators'; here they are mapped to the
// standard terms of store::Settings and store::OperatorSettings.
#pragma once
#include <stdexcept>
#include <string>

#include "store/domain.h"

namespace rushtrestle::protocol {

/// One line that names the field or the place at fault.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws SettingsError.
store::Settings read_settings(const std::string& path);
/// Throws SettingsError, also for a team that the platform's settings don't have.
store::OperatorSettings read_operator_settings(const std::string& path,
                                               const store::Settings& platform);
/// The same for the text of a file.
store::OperatorSettings parse_operator_settings(const std::string& text,
                                                const store::Settings& platform);

}  // namespace rushtrestle::protocol

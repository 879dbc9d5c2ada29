// The platform's settings file (TOML) and the operators' own (S-expressions).
#pragma once
#include <stdexcept>
#include <string>

#include "store/domain.h"

namespace rushtrestle::protocol {

/// One line that names the field or the place at fault.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

store::Settings read_settings(const std::string& path);
store::OperatorSettings read_operator_settings(const std::string& path,
                                               const store::Settings& platform);
store::OperatorSettings parse_operator_settings(const std::string& text,
                                                const store::Settings& platform);

}  // namespace rushtrestle::protocol

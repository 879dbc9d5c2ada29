// Reads settings files.
#pragma once
#include <string>

namespace rushtrestle::protocol {

/// Returns the contents of a file. Throws SettingsError if it cannot be opened.
std::string read_file(const std::string& path);

}  // namespace rushtrestle::protocol

#include "protocol/toml_table.h"

#include <sstream>

#include "protocol/read_file.h"

namespace rushtrestle::protocol {

toml::table parse_toml_file(const std::string& path) {
  try {
    return toml::parse(read_file(path), path);
  } catch (const toml::parse_error& e) {
    std::ostringstream why;
    why << path << ": line " << e.source().begin.line << ": " << e.description();
    throw SettingsError(why.str());
  }
}

}  // namespace rushtrestle::protocol

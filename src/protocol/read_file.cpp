#include "protocol/read_file.h"

#include <fstream>
#include <sstream>

#include "protocol/settings.h"

namespace rushtrestle::protocol {

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError(path + ": can't be read");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace rushtrestle::protocol

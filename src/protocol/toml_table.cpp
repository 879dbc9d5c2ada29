#include "protocol/toml_table.h"

#include <cmath>
#include <sstream>

#include "protocol/read_file.h"

namespace rushtrestle::protocol {

toml::table parse_toml_file(const std::string& path) {
  try {
    return toml::parse(read_file(path), path);
  } catch (const toml::parse_error& error) {
    std::ostringstream why;
    why << path << ": line " << error.source().begin.line << ": " << error.description();
    throw SettingsError(why.str());
  }
}

TomlTable TomlTable::subtable(const char* key) const {
  const auto* table = table_[key].as_table();
  if (!table)
    throw SettingsError(qualified_name(key) +
                        (table_.contains(key) ? ": must be a table" : ": missing table"));
  return {*table, qualified_name(key)};
}

std::optional<TomlTable> TomlTable::subtable_if_present(const char* key) const {
  if (!table_.contains(key)) return std::nullopt;
  return subtable(key);
}

bool TomlTable::bool_or(const char* key, bool fallback) const {
  if (!table_.contains(key)) return fallback;
  const auto flag = table_[key].value<bool>();
  if (!flag) throw SettingsError(qualified_name(key) + ": must be true or false");
  return *flag;
}

std::string TomlTable::string(const char* key) const {
  const auto text = table_[key].value<std::string>();
  if (!text || text->empty())
    throw SettingsError(qualified_name(key) + ": missing, empty or not a string");
  return *text;
}

std::optional<double> TomlTable::finite_number(const char* key) const {
  const auto number = table_[key].value<double>();
  if (!number) throw SettingsError(qualified_name(key) + ": missing or not a number");
  if (!std::isfinite(*number)) return std::nullopt;
  return *number;
}

double TomlTable::number(const char* key, double least) const {
  const auto number = finite_number(key);
  if (!number || *number < least)
    throw SettingsError(qualified_name(key) + ": must be at least " + std::to_string(least));
  return *number;
}

double TomlTable::number_or(const char* key, double fallback) const {
  return table_.contains(key) ? number(key, 0) : fallback;
}

double TomlTable::positive(const char* key) const {
  const auto number = finite_number(key);
  if (!number || *number <= 0)
    throw SettingsError(qualified_name(key) + ": must be greater than " + std::to_string(0.0));
  return *number;
}

double TomlTable::positive_or(const char* key, double fallback) const {
  return table_.contains(key) ? positive(key) : fallback;
}

int TomlTable::integer(const char* key, int least) const {
  const double value = number(key, least);
  constexpr double kMost = 1e9;
  if (value != std::floor(value) || value > kMost)
    throw SettingsError(qualified_name(key) + ": must be an integer of at most 1000000000");
  return static_cast<int>(value);
}

std::vector<TomlTable> TomlTable::tables(const char* key) const {
  std::vector<TomlTable> tables;
  const auto* array = table_[key].as_array();
  if (!array) return tables;
  for (size_t i = 0; i < array->size(); ++i) {
    const auto* table = (*array)[i].as_table();
    const std::string name = qualified_name(key) + "[" + std::to_string(i) + "]";
    if (!table) throw SettingsError(name + ": must be a table");
    tables.emplace_back(*table, name);
  }
  return tables;
}

std::vector<std::string> TomlTable::strings(const char* key) const {
  std::vector<std::string> strings;
  const auto* array = table_[key].as_array();
  if (!array) throw SettingsError(qualified_name(key) + ": missing or not an array");
  for (const auto& value : *array) {
    const auto text = value.value<std::string>();
    if (!text) throw SettingsError(qualified_name(key) + ": must contain only strings");
    strings.push_back(*text);
  }
  return strings;
}

}  // namespace rushtrestle::protocol

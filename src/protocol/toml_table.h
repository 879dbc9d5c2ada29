// Tables of a settings file in TOML, read with the full name of each field in every complaint.
//
// Invariant: what a TomlTable gives out is of the asked type and within the asked bounds; anything
// else is a SettingsError that names the field. Used by platform_settings alone.
#pragma once
#include <toml++/toml.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/settings.h"

namespace rushtrestle::protocol {

/// Reads and parses a file; throws SettingsError that names the file and the line.
toml::table parse_toml_file(const std::string& path);

/// A table and its name. All members but `sub_if`, `has` and `full` throw SettingsError for a field
/// that is missing (but for those with a fallback) or not as asked.
class TomlTable {
 public:
  /// Keeps a reference to the table.
  TomlTable(const toml::table& table, std::string name) : table_(table), name_(std::move(name)) {}

  TomlTable sub(const char* key) const;
  /// None for a table that is absent.
  std::optional<TomlTable> sub_if(const char* key) const;
  bool has(const char* key) const { return table_.contains(key); }
  /// The field's full name, for complaints.
  std::string full(const char* key) const { return name_.empty() ? key : name_ + "." + key; }

  bool flag_or(const char* key, bool fallback) const;
  /// Not empty.
  std::string text(const char* key) const;
  /// At least `least`.
  double number(const char* key, double least) const;
  double number_or(const char* key, double fallback) const;
  /// Above 0.
  double positive(const char* key) const;
  double positive_or(const char* key, double fallback) const;
  int whole_number(const char* key, int least) const;
  /// The tables of a list; empty for one that is absent.
  std::vector<TomlTable> list(const char* key) const;
  std::vector<std::string> texts(const char* key) const;

 private:
  /// None for a number that is not finite.
  std::optional<double> finite_number(const char* key) const;

  const toml::table& table_;
  std::string name_;
};

}  // namespace rushtrestle::protocol

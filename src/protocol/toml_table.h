// Typed access to the tables of a TOML file.
//
// Invariant: a value that a TomlTable returns has the requested type and is within the requested
// bounds. Any other value is a SettingsError with the field's qualified name.
#pragma once
#include <toml++/toml.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/settings.h"

namespace rushtrestle::protocol {

/// Reads and parses a file. Throws SettingsError, for a parse error with the file and the line.
toml::table parse_toml_file(const std::string& path);

/// A table and its qualified name. The accessors throw SettingsError for a field that has the wrong
/// type or is out of bounds, and, unless stated otherwise, for a missing one. Accessors with a
/// `fallback` return it for a missing field.
class TomlTable {
 public:
  /// Keeps a reference to the table.
  TomlTable(const toml::table& table, std::string name) : table_(table), name_(std::move(name)) {}

  TomlTable subtable(const char* key) const;
  /// Returns none for a missing table.
  std::optional<TomlTable> subtable_if_present(const char* key) const;
  bool contains(const char* key) const { return table_.contains(key); }
  /// Returns the field's name with the names of its tables, for error messages.
  std::string qualified_name(const char* key) const {
    return name_.empty() ? key : name_ + "." + key;
  }

  bool bool_or(const char* key, bool fallback) const;
  /// Returns a string that is not empty.
  std::string string(const char* key) const;
  /// Returns a finite number that is at least `least`.
  double number(const char* key, double least) const;
  /// Returns a finite number that is at least 0.
  double number_or(const char* key, double fallback) const;
  /// Returns a finite number greater than 0.
  double positive(const char* key) const;
  double positive_or(const char* key, double fallback) const;
  /// Returns an integer that is at least `least` and at most 1e9.
  int integer(const char* key, int least) const;
  /// Returns the tables of an array; empty if the field is missing or not an array.
  std::vector<TomlTable> tables(const char* key) const;
  /// Returns the strings of an array.
  std::vector<std::string> strings(const char* key) const;

 private:
  /// Returns none for a number that is not finite.
  std::optional<double> finite_number(const char* key) const;

  const toml::table& table_;
  std::string name_;
};

}  // namespace rushtrestle::protocol

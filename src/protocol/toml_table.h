// Settings files in TOML, read with the full name of each field in every complaint.
#pragma once
#include <toml++/toml.h>

#include <cmath>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/settings.h"

namespace rushtrestle::protocol {

/// Reads and parses a file; throws SettingsError that names the file and the line.
toml::table parse_toml_file(const std::string& path);

/// A table and its name, so that a fault can be told by the field's full name.
class TomlTable {
 public:
  TomlTable(const toml::table& t, std::string name) : t_(t), name_(std::move(name)) {}
  TomlTable sub(const char* key) const {
    const auto* t = t_[key].as_table();
    if (!t)
      throw SettingsError(full(key) + (t_.contains(key) ? ": must be a table" : ": table missing"));
    return {*t, full(key)};
  }
  std::optional<TomlTable> sub_if(const char* key) const {
    if (!t_.contains(key)) return std::nullopt;
    return sub(key);
  }
  bool has(const char* key) const { return t_.contains(key); }
  /// The field's full name, for complaints.
  std::string full(const char* key) const { return name_.empty() ? key : name_ + "." + key; }
  bool flag_or(const char* key, bool fallback) const {
    if (!t_.contains(key)) return fallback;
    const auto v = t_[key].value<bool>();
    if (!v) throw SettingsError(full(key) + ": must be true or false");
    return *v;
  }
  std::string text(const char* key) const {
    const auto v = t_[key].value<std::string>();
    if (!v || v->empty()) throw SettingsError(full(key) + ": text missing");
    return *v;
  }
  double number(const char* key, double least, bool exclusive = false) const {
    const auto v = t_[key].value<double>();
    if (!v) throw SettingsError(full(key) + ": number missing");
    if (!std::isfinite(*v) || *v < least || (exclusive && *v <= least))
      throw SettingsError(full(key) + ": must be " + (exclusive ? "above " : "at least ") +
                          std::to_string(least));
    return *v;
  }
  int whole_number(const char* key, int least) const {
    const double v = number(key, least);
    constexpr double kMost = 1e9;
    if (v != std::floor(v) || v > kMost)
      throw SettingsError(full(key) + ": must be a whole number");
    return static_cast<int>(v);
  }
  double positive_or(const char* key, double fallback) const {
    return t_.contains(key) ? positive(key) : fallback;
  }
  double number_or(const char* key, double fallback) const {
    return t_.contains(key) ? number(key, 0) : fallback;
  }
  double positive(const char* key) const { return number(key, 0, true); }
  std::vector<TomlTable> list(const char* key) const {
    std::vector<TomlTable> out;
    const auto* a = t_[key].as_array();
    if (!a) return out;
    for (size_t i = 0; i < a->size(); ++i) {
      const auto* t = (*a)[i].as_table();
      const std::string name = full(key) + "[" + std::to_string(i) + "]";
      if (!t) throw SettingsError(name + ": must be a table");
      out.emplace_back(*t, name);
    }
    return out;
  }
  std::vector<std::string> texts(const char* key) const {
    std::vector<std::string> out;
    const auto* a = t_[key].as_array();
    if (!a) throw SettingsError(full(key) + ": list missing");
    for (const auto& v : *a) {
      const auto s = v.value<std::string>();
      if (!s) throw SettingsError(full(key) + ": must hold texts");
      out.push_back(*s);
    }
    return out;
  }

 private:
  const toml::table& t_;
  std::string name_;
};

}  // namespace rushtrestle::protocol

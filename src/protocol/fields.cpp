#include "protocol/fields.h"

#include <cmath>

namespace rushtrestle::protocol {

using store::Json;

void fail(const char* field, const char* reason) { throw InvalidField({field, reason}); }

Fields::Fields(const Json& json) : json_(json) {
  if (!json.is_object()) fail("", "not a map");
}

const Json* Fields::find(const char* name) const {
  const auto field = json_.find(name);
  return field == json_.end() || field->is_null() ? nullptr : &*field;
}

const Json& Fields::required(const char* name) const {
  const Json* value = find(name);
  if (!value) fail(name, "missing");
  return *value;
}

std::string Fields::text(const char* name, EmptyText empty) const {
  const Json& value = required(name);
  if (!value.is_string()) fail(name, "not a text");
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > kMaxText) fail(name, "too long");
  if (text.empty() && empty == EmptyText::refused) fail(name, "empty");
  return text;
}

double Fields::amount(const char* name) const {
  const Json& value = required(name);
  if (!value.is_number()) fail(name, "not a number");
  const auto amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount) fail(name, "out of range");
  return amount;
}

double Fields::amount_or(const char* name, double fallback) const {
  return find(name) ? amount(name) : fallback;
}

uint64_t Fields::count(const char* name) const {
  const Json& value = required(name);
  if (!value.is_number_unsigned()) fail(name, "not a whole number from 0");
  return value.get<uint64_t>();
}

bool Fields::flag(const char* name) const {
  const Json& value = required(name);
  if (!value.is_boolean()) fail(name, "not a truth value");
  return value.get<bool>();
}

bool Fields::flag_or(const char* name, bool fallback) const {
  return find(name) ? flag(name) : fallback;
}

const Json& Fields::list(const char* name) const {
  const Json& value = required(name);
  if (!value.is_array()) fail(name, "not a list");
  return value;
}

}  // namespace rushtrestle::protocol

// Typed, bounded access to the fields of a message that came from outside. Shared by the codecs.
#pragma once
#include <cmath>
#include <optional>
#include <string>

#include "store/records.h"

namespace rushtrestle::protocol {

/// Longest name taken from a message; longer ones could not be keys of the state service either.
constexpr size_t kMaxText = 200;
/// Largest amount taken from a message.
constexpr double kMaxAmount = 1e9;

/// Thrown within the codecs for a message that breaks the protocol; `guarded` turns it into "no
/// value".
struct Invalid {};

/// Typed access to a map's fields; anything unexpected ends the decoding.
class Fields {
 public:
  explicit Fields(const store::Json& j) : j_(j) {
    if (!j.is_object()) throw Invalid{};
  }
  const store::Json* find(const char* name) const {
    auto it = j_.find(name);
    return it == j_.end() || it->is_null() ? nullptr : &*it;
  }
  const store::Json& need(const char* name) const {
    const store::Json* v = find(name);
    if (!v) throw Invalid{};
    return *v;
  }
  std::string text(const char* name, bool empty_ok = false) const {
    const store::Json& v = need(name);
    if (!v.is_string()) throw Invalid{};
    const auto& s = v.get_ref<const std::string&>();
    if (s.size() > kMaxText || (s.empty() && !empty_ok)) throw Invalid{};
    return s;
  }
  double amount(const char* name) const {
    const store::Json& v = need(name);
    if (!v.is_number()) throw Invalid{};
    const double d = v.get<double>();
    if (!std::isfinite(d) || d < 0 || d > kMaxAmount) throw Invalid{};
    return d;
  }
  uint64_t count(const char* name) const {
    const store::Json& v = need(name);
    if (!v.is_number_unsigned()) throw Invalid{};
    return v.get<uint64_t>();
  }
  bool flag(const char* name) const {
    const store::Json& v = need(name);
    if (!v.is_boolean()) throw Invalid{};
    return v.get<bool>();
  }
  bool flag_or(const char* name, bool fallback) const { return find(name) ? flag(name) : fallback; }
  double amount_or(const char* name, double fallback) const {
    return find(name) ? amount(name) : fallback;
  }
  const store::Json& list(const char* name) const {
    const store::Json& v = need(name);
    if (!v.is_array()) throw Invalid{};
    return v;
  }

 private:
  const store::Json& j_;
};

template <class F>
auto guarded(F&& decode) -> std::optional<decltype(decode())> {
  try {
    return decode();
  } catch (const Invalid&) {
    return std::nullopt;
  } catch (const store::Json::exception&) {
    return std::nullopt;
  }
}

/// Reads a body without the checks of `parse_cbor`: for answers of the platform's own services.
std::optional<store::Json> read_cbor(const std::string& body);

}  // namespace rushtrestle::protocol

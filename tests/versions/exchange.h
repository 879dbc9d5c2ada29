// Converts any value of the core to JSON and back, by the fields that `describe` lists. Included by
// current_fields.h and earlier_fields.h, each of which lists the fields of its version's structs;
// the JSON form is the same for all versions. A field that a struct does not have is left out when
// the struct is written and ignored when it is read.
#pragma once
#include <concepts>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/core.h"
#include "protocol/codec.h"

namespace rushtrestle::exchange {

using store::Json;

struct Writer {
  Json j = Json::object();
  template <class T>
  Writer& operator()(const char* name, const T& value);
};

struct Reader {
  const Json& j;
  template <class T>
  Reader& operator()(const char* name, T& value);
};

/// Tag that selects save_message and load_message, which convert messages between controllers to
/// and from their wire format, so that the tests cover the codecs of both versions.
struct PeerWire {};

template <class T>
concept PeerMessage = requires(const T& value) {
  save_message(PeerWire{}, value);
};

// ---- values ----

template <class T>
constexpr bool kIsOptional = false;
template <class T>
constexpr bool kIsOptional<std::optional<T>> = true;
template <class T>
constexpr bool kIsVector = false;
template <class T>
constexpr bool kIsVector<std::vector<T>> = true;
template <class T>
constexpr bool kIsPair = false;
template <class A, class B>
constexpr bool kIsPair<std::pair<A, B>> = true;
template <class T>
constexpr bool kIsVariant = false;
template <class... T>
constexpr bool kIsVariant<std::variant<T...>> = true;

template <class T>
Json save(const T& v) {
  if constexpr (std::same_as<T, Json> || std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
    return v;
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<int>(v);
  } else if constexpr (PeerMessage<T>) {
    return save_message(PeerWire{}, v);
  } else if constexpr (kIsOptional<T>) {
    return v ? Json::array({save(*v)}) : Json::array();
  } else if constexpr (kIsVector<T>) {
    Json list = Json::array();
    for (const auto& x : v) list.push_back(save(x));
    return list;
  } else if constexpr (kIsPair<T>) {
    return Json::array({save(v.first), save(v.second)});
  } else if constexpr (kIsVariant<T>) {
    return Json::array({v.index(), std::visit([](const auto& x) { return save(x); }, v)});
  } else {
    Writer writer;
    describe(writer, v);
    return writer.j;
  }
}

template <class T>
void load(const Json& j, T& v);

template <size_t I = 0, class V>
void load_alternative(size_t index, const Json& j, V& v) {
  if constexpr (I < std::variant_size_v<V>) {
    if (index != I) return load_alternative<I + 1>(index, j, v);
    std::variant_alternative_t<I, V> value{};
    load(j, value);
    v = std::move(value);
  } else {
    throw std::runtime_error("variant index out of range: " + std::to_string(index));
  }
}

template <class T>
void load(const Json& j, T& v) {
  if constexpr (std::same_as<T, Json>) {
    v = j;
  } else if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
    v = j.get<T>();
  } else if constexpr (std::is_enum_v<T>) {
    v = static_cast<T>(j.get<int>());
  } else if constexpr (PeerMessage<T>) {
    load_message(PeerWire{}, j.get<std::string>(), v);
  } else if constexpr (kIsOptional<T>) {
    v.reset();
    if (!j.empty()) load(j.at(0), v.emplace());
  } else if constexpr (kIsVector<T>) {
    v.clear();
    for (const auto& x : j) load(x, v.emplace_back());
  } else if constexpr (kIsPair<T>) {
    load(j.at(0), v.first);
    load(j.at(1), v.second);
  } else if constexpr (kIsVariant<T>) {
    load_alternative(j.at(0).get<size_t>(), j.at(1), v);
  } else {
    Reader reader{j};
    describe(reader, v);
  }
}

template <class T>
Writer& Writer::operator()(const char* name, const T& value) {
  j[name] = save(value);
  return *this;
}

template <class T>
Reader& Reader::operator()(const char* name, T& value) {
  if (const auto it = j.find(name); it != j.end()) load(*it, value);
  return *this;
}

}  // namespace rushtrestle::exchange

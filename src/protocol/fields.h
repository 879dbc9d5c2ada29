// Typed, bounded access to the fields of a message that came from outside. Shared by the codecs.
//
// Invariant: what a Fields gives out is of the asked type and within the bounds below; anything
// else ends the decoding by InvalidField, which `guarded` turns into a DecodeError. InvalidField
// never leaves the codecs.
#pragma once
#include <exception>
#include <string>
#include <utility>

#include "protocol/decode_error.h"
#include "store/json.h"

namespace rushtrestle::protocol {

/// Longest name taken from a message, in bytes; longer ones could not be keys of the state store
/// either.
constexpr size_t kMaxText = 200;
/// Largest amount taken from a message.
constexpr double kMaxAmount = 1e9;

/// A message breaks the protocol. Caught by `guarded`.
class InvalidField : public std::exception {
 public:
  explicit InvalidField(DecodeError decode_error) : error(std::move(decode_error)) {}
  const char* what() const noexcept override { return error.reason.c_str(); }
  DecodeError error;
};

/// Throws InvalidField.
[[noreturn]] void fail(const char* field, const char* reason);

/// Whether a text may be empty.
enum class EmptyText { refused, allowed };

/// A map's fields. All members but `find` throw InvalidField for a field that is not as asked.
class Fields {
 public:
  /// Keeps a reference. Throws InvalidField for what is no map.
  explicit Fields(const store::Json& json);
  /// None for a field that is absent or null.
  const store::Json* find(const char* name) const;
  const store::Json& need(const char* name) const;
  /// At most kMaxText bytes.
  std::string text(const char* name, EmptyText empty = EmptyText::refused) const;
  /// Finite, from 0 to kMaxAmount.
  double amount(const char* name) const;
  double amount_or(const char* name, double fallback) const;
  /// A whole number that is not negative.
  uint64_t count(const char* name) const;
  bool flag(const char* name) const;
  bool flag_or(const char* name, bool fallback) const;
  const store::Json& list(const char* name) const;
  /// Whatever the JSON library takes for this type: for messages of our own controllers and of the
  /// platform's services, which are not bounded.
  template <class Value>
  Value get(const char* name) const try {
    return json_.at(name).get<Value>();
  } catch (const store::Json::exception& error) {
    fail(name, error.what());
  }

 private:
  const store::Json& json_;
};

/// What `decode` returns, or the error that it throws. For the outermost function of a codec.
template <class Decode>
auto guarded(Decode&& decode) -> Decoded<decltype(decode())> {
  try {
    return decode();
  } catch (const InvalidField& invalid) {
    return tl::make_unexpected(invalid.error);
  } catch (const store::Json::exception& error) {
    return tl::make_unexpected(DecodeError{"", error.what()});
  }
}

}  // namespace rushtrestle::protocol

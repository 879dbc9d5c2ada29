// Typed, bounds-checked access to the fields of a received message. Shared by the codecs.
//
// Invariant: the values that Fields returns have the requested type and, except those of `get`, are
// within the bounds below. Any other value throws InvalidField, which `catch_decode_errors`
// converts to a DecodeError. InvalidField never leaves the codecs.
#pragma once
#include <exception>
#include <string>
#include <utility>

#include "protocol/decode_error.h"
#include "store/json.h"

namespace rushtrestle::protocol {

/// Maximum length of a text field, in bytes. A longer name could not be a key of the state store
/// either.
constexpr size_t kMaxText = 200;
/// Maximum value of a numeric field that `amount` reads, in the field's unit.
constexpr double kMaxAmount = 1e9;

/// Thrown for a message that violates the protocol. Caught by `catch_decode_errors`.
class InvalidField : public std::exception {
 public:
  explicit InvalidField(DecodeError decode_error) : error(std::move(decode_error)) {}
  const char* what() const noexcept override { return error.reason.c_str(); }
  DecodeError error;
};

/// Throws InvalidField with this field and reason.
[[noreturn]] void fail(const char* field, const char* reason);

/// Whether a text field may be empty.
enum class EmptyText { refused, allowed };

/// The fields of a map. All members but `find` throw InvalidField for a field that is missing, has
/// another type or is out of bounds.
class Fields {
 public:
  /// Keeps a reference to `json`. Throws InvalidField if `json` is not a map.
  explicit Fields(const store::Json& json);
  /// Returns null for a field that is absent or null.
  const store::Json* find(const char* name) const;
  const store::Json& required(const char* name) const;
  /// Returns a text of at most kMaxText bytes.
  std::string text(const char* name, EmptyText empty = EmptyText::refused) const;
  /// Returns a finite number from 0 to kMaxAmount.
  double amount(const char* name) const;
  double amount_or(const char* name, double fallback) const;
  /// Returns a non-negative integer.
  uint64_t count(const char* name) const;
  bool flag(const char* name) const;
  bool flag_or(const char* name, bool fallback) const;
  const store::Json& list(const char* name) const;
  /// Returns any value that the JSON library converts to this type, without bounds: for messages of
  /// other controllers and of the platform's services.
  template <class Value>
  Value get(const char* name) const try {
    return json_.at(name).get<Value>();
  } catch (const store::Json::exception& error) {
    fail(name, error.what());
  }

 private:
  const store::Json& json_;
};

/// Returns the result of `decode`, or the decode error that `decode` throws, whatever its type: no
/// received bytes may end the controller. Called by the outermost functions of a codec.
template <class Decode>
auto catch_decode_errors(Decode&& decode) -> Decoded<decltype(decode())> {
  try {
    return decode();
  } catch (const InvalidField& invalid) {
    return tl::make_unexpected(invalid.error);
  } catch (const std::exception& error) {
    return tl::make_unexpected(DecodeError{"", error.what()});
  }
}

}  // namespace rushtrestle::protocol

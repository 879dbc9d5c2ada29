// Checks the JSON form in which the tests pass commands and effects between the current version and
// earlier versions of the core. A field that is missing from the form would be lost silently.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "versions/current_fields.h"
#include "versions/previous_version.h"

namespace rushtrestle::exchange {
namespace {

/// Fills every field that `describe` lists with a random value.
struct Filler {
  std::mt19937_64& rng;

  uint64_t below(uint64_t limit) { return rng() % limit; }

  template <class T>
  Filler& operator()(const char* /*name*/, T& value) {
    fill(value);
    return *this;
  }

  template <class T>
  void fill(T& value) {
    constexpr uint64_t kMinEnumerators = 3;  // each enum has at least this many
    constexpr uint64_t kNumberLimit = 1000;
    constexpr uint64_t kElementLimit = 4;
    if constexpr (std::same_as<T, Json>) {
      value = {{"w", below(kNumberLimit)}};
    } else if constexpr (std::same_as<T, bool>) {
      value = below(2) == 0;
    } else if constexpr (std::is_arithmetic_v<T>) {
      value = static_cast<T>(below(kNumberLimit) + 1);
    } else if constexpr (std::same_as<T, std::string>) {
      value = "job-" + std::to_string(below(kNumberLimit));
    } else if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(below(kMinEnumerators));
    } else if constexpr (kIsOptional<T>) {
      if (below(kElementLimit) > 0) fill(value.emplace());
    } else if constexpr (kIsVector<T>) {
      value.resize(below(kElementLimit));
      for (auto& element : value) fill(element);
    } else if constexpr (kIsPair<T>) {
      fill(value.first);
      fill(value.second);
    } else if constexpr (kIsVariant<T>) {
      std::visit([this](auto& alternative) { this->fill(alternative); }, value);
    } else {
      describe(*this, value);
      if constexpr (std::same_as<T, CancellationOffer>)
        value.end.count = value.from + value.cancellations.size();
    }
  }

  /// Appends one value of each alternative, of each kind of reply and of each kind of call.
  template <class... T>
  void fill_all(std::vector<std::variant<T...>>& values) {
    (add_each<T>(values), ...);
  }

 private:
  template <class T, class Values>
  void add_each(Values& values) {
    if constexpr (std::same_as<T, CallDone>) {
      add_each_reply(values, Reply{});
    } else if constexpr (std::same_as<T, Call>) {
      add_each_call(values, CallBody{});
    } else {
      fill(values.emplace_back(T{}));
    }
  }
  template <class Values, class... T>
  void add_each_reply(Values& values, const std::variant<T...>& /*kinds*/) {
    (values.emplace_back(CallDone{below(100), 200, filled<T>()}), ...);
  }
  template <class Values, class... T>
  void add_each_call(Values& values, const std::variant<T...>& /*kinds*/) {
    (values.emplace_back(Call{below(100), 1.0, filled<T>()}), ...);
  }
  template <class T>
  T filled() {
    T value{};
    fill(value);
    return value;
  }
};

/// Parses a string that holds a JSON object, such as the body of a message between controllers;
/// returns any other value unchanged.
Json parse_nested_object(const Json& value) {
  if (!value.is_string()) return value;
  const Json inner = Json::parse(value.get<std::string>(), nullptr, false);
  return inner.is_object() ? inner : value;
}

/// Checks that every field that the earlier version writes is in the current version's JSON with
/// the same value, and that lists have the same length.
void expect_contained(const Json& earlier_value, const Json& current_value,
                      const std::string& path) {
  const Json earlier = parse_nested_object(earlier_value);
  const Json current = parse_nested_object(current_value);
  if (earlier.is_object() && current.is_object()) {
    for (const auto& [name, value] : earlier.items()) {
      RC_ASSERT(current.contains(name));
      std::string field = path;
      field += "/";
      field += name;
      expect_contained(value, current.at(name), field);
    }
  } else if (earlier.is_array() && current.is_array()) {
    RC_ASSERT(earlier.size() == current.size());
    for (size_t i = 0; i < earlier.size(); ++i) {
      std::string element = path;
      element += "/";
      element += std::to_string(i);
      expect_contained(earlier[i], current[i], element);
    }
  } else {
    RC_LOG() << path << ": " << earlier << " / " << current << '\n';
    RC_ASSERT(earlier == current);
  }
}

template <class T>
Json round_trip_of_each_kind(uint64_t seed) {
  std::mt19937_64 rng(seed);
  std::vector<T> values;
  Filler{rng}.fill_all(values);
  Json saved = save(values);
  std::vector<T> read;
  load(saved, read);
  RC_ASSERT(save(read) == saved);
  return saved;
}

RC_GTEST_PROP(Exchange, EarlierVersionsReadCommandsWithoutLoss, (uint64_t seed)) {
  const Json commands = round_trip_of_each_kind<Command>(seed);
  expect_contained(previous_versions::commit_9fefab8().rewrite_commands(commands), commands,
                   "9fefab8");
  expect_contained(previous_versions::commit_a244c51().rewrite_commands(commands), commands,
                   "a244c51");
}

RC_GTEST_PROP(Exchange, EarlierVersionsReadEffectsWithoutLoss, (uint64_t seed)) {
  const Json effects = round_trip_of_each_kind<Effect>(seed);
  expect_contained(previous_versions::commit_9fefab8().rewrite_effects(effects), effects,
                   "9fefab8");
  expect_contained(previous_versions::commit_a244c51().rewrite_effects(effects), effects,
                   "a244c51");
}

}  // namespace
}  // namespace rushtrestle::exchange

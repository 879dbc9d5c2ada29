#include "support/effect_digest.h"

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <string>
#include <type_traits>
#include <variant>

#include "protocol/codec.h"

namespace rushtrestle::testing {

namespace {

using namespace coordination;

/// An FNV-1a hash of all added fields, with a separator after each field.
class RunningHash {
 public:
  explicit RunningHash(std::string file) : file_(std::move(file)) {}
  RunningHash(const RunningHash&) = delete;
  RunningHash& operator=(const RunningHash&) = delete;
  ~RunningHash() {
    if (effects_ == 0) return;
    std::ofstream out(file_, std::ios::app);
    out << std::hex << std::setw(16) << std::setfill('0') << hash_ << std::dec << ' ' << effects_
        << '\n';
  }
  void add(const std::string& field) {
    for (const char c : field) mix(static_cast<unsigned char>(c));
    constexpr unsigned kSeparator = 256;
    mix(kSeparator);
  }
  void count_effect() { ++effects_; }

 private:
  void mix(uint64_t value) {
    constexpr uint64_t kPrime = 1099511628211U;
    hash_ = (hash_ ^ value) * kPrime;
  }
  std::string file_;
  uint64_t hash_ = 14695981039346656037U;
  uint64_t effects_ = 0;
};

void add_to(RunningHash& hash, const Call& call) {
  const auto http = protocol::encode(call);
  hash.add(std::to_string(static_cast<int>(http.service)));
  hash.add(http.address);
  hash.add(http.method);
  hash.add(http.target);
  hash.add(http.body);
}

template <class Answer>
void add_to(RunningHash& hash, const Answer& answer) {
  const auto http = protocol::encode(answer);
  hash.add(std::to_string(answer.request));
  hash.add(std::to_string(http.status));
  hash.add(http.headers);
  hash.add(http.body);
}

}  // namespace

void record_effect(const Effect& effect) {
  static const char* const file = std::getenv("EFFECT_DIGEST");
  if (!file) return;
  static RunningHash hash(file);
  std::visit(
      [](const auto& value) {
        using T = std::remove_cvref_t<decltype(value)>;
        if constexpr (!std::is_same_v<T, LogLine> && !std::is_same_v<T, AnswerStats>) {
          hash.count_effect();
          add_to(hash, value);
        }
      },
      effect);
}

}  // namespace rushtrestle::testing

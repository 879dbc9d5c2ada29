#include "protocol/cbor_structure.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rushtrestle::protocol {

namespace {

/// The first three bits of an item's first byte.
enum class MajorType : uint8_t {
  unsigned_integer,
  negative_integer,
  byte_string,
  text,
  list,
  map,
  tag,
  simple_or_float
};

/// Values of the other five bits: up to kLargestInline they are the argument itself, then follow
/// those whose argument has 1, 2, 4 or 8 bytes, and kIndefinite has none.
constexpr uint8_t kLargestInline = 23;
constexpr uint8_t kEightBytes = 27;
constexpr uint8_t kIndefinite = 31;
// Those of the simple values and floats.
constexpr uint8_t kFalse = 20;
constexpr uint8_t kNull = 22;
constexpr uint8_t kHalfFloat = 25;

struct ItemHead {
  MajorType type;
  uint8_t info;
  uint64_t argument;  // 0 for an indefinite length
};

class StructureCheck {
 public:
  StructureCheck(std::string_view body, size_t max_depth) : body_(body), max_depth_(max_depth) {}

  bool run() {
    do {
      const auto head = read_head();
      if (!head || !accept(*head)) return false;
    } while (!open_.empty());
    return position_ == body_.size();
  }

 private:
  /// A map or list whose items are being read; each member of a map counts as two items.
  struct Container {
    bool indefinite;
    bool map;
    uint64_t items_left;  // of a definite length
    uint64_t items_read;
  };

  uint64_t bytes_left() const { return body_.size() - position_; }

  std::optional<ItemHead> read_head() {
    constexpr unsigned kTypeShift = 5;
    constexpr unsigned kInfoMask = 0x1F;
    if (bytes_left() == 0) return std::nullopt;
    const auto first = static_cast<uint8_t>(body_[position_++]);
    ItemHead head{static_cast<MajorType>(first >> kTypeShift),
                  static_cast<uint8_t>(first & kInfoMask), 0};
    if (head.info <= kLargestInline) {
      head.argument = head.info;
    } else if (head.info <= kEightBytes) {
      const uint64_t size = uint64_t{1} << (head.info - kLargestInline - 1);
      if (bytes_left() < size) return std::nullopt;
      for (uint64_t i = 0; i < size; ++i)
        head.argument = head.argument << 8U | static_cast<uint8_t>(body_[position_++]);
    } else if (head.info != kIndefinite) {
      return std::nullopt;
    }
    return head;
  }

  bool accept(const ItemHead& head) {
    const bool indefinite = head.info == kIndefinite;
    switch (head.type) {
      case MajorType::unsigned_integer:
      case MajorType::negative_integer: return !indefinite && complete_item();
      case MajorType::text: return skip_text(head) && complete_item();
      case MajorType::list: return open(head, 1);
      case MajorType::map: return open(head, 2);
      case MajorType::simple_or_float: return indefinite ? end_indefinite() : accept_simple(head);
      case MajorType::byte_string:
      case MajorType::tag: return false;
    }
    return false;
  }

  bool accept_simple(const ItemHead& head) {
    const bool plain = head.info >= kFalse && head.info <= kNull;
    const bool number = head.info >= kHalfFloat && head.info <= kEightBytes;
    return (plain || number) && complete_item();
  }

  // A text of indefinite length is a sequence of texts of definite length.
  bool skip_text(const ItemHead& head) {
    if (head.info != kIndefinite) return skip(head.argument);
    for (;;) {
      const auto chunk = read_head();
      if (!chunk) return false;
      if (chunk->info == kIndefinite) return chunk->type == MajorType::simple_or_float;
      if (chunk->type != MajorType::text || !skip(chunk->argument)) return false;
    }
  }

  bool skip(uint64_t bytes) {
    if (bytes > bytes_left()) return false;
    position_ += bytes;
    return true;
  }

  // Each item takes at least a byte, so no count exceeds the bytes left.
  bool open(const ItemHead& head, uint64_t items_per_member) {
    if (open_.size() == max_depth_ || head.argument > bytes_left()) return false;
    const bool indefinite = head.info == kIndefinite;
    const uint64_t items = head.argument * items_per_member;
    if (!indefinite && items == 0) return complete_item();
    open_.push_back({indefinite, head.type == MajorType::map, items, 0});
    return true;
  }

  bool end_indefinite() {
    if (open_.empty() || !open_.back().indefinite) return false;
    const bool key_without_value = open_.back().map && open_.back().items_read % 2 != 0;
    if (key_without_value) return false;
    open_.pop_back();
    return complete_item();
  }

  // Counts an item that was read in full, and closes the containers that it completes.
  bool complete_item() {
    while (!open_.empty()) {
      Container& container = open_.back();
      ++container.items_read;
      if (container.indefinite || --container.items_left > 0) break;
      open_.pop_back();
    }
    return true;
  }

  std::string_view body_;
  size_t max_depth_;
  size_t position_ = 0;
  std::vector<Container> open_;  // outermost first
};

}  // namespace

bool is_plain_cbor(std::string_view body, size_t max_depth) {
  return StructureCheck(body, max_depth).run();
}

}  // namespace rushtrestle::protocol

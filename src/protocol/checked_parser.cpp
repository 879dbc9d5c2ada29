#include "protocol/checked_parser.h"

#include <boost/locale/utf.hpp>
#include <cmath>
#include <utility>
#include <vector>

namespace rushtrestle::protocol {

using store::Json;

namespace {

bool valid_utf8(const std::string& text) {
  namespace utf = boost::locale::utf;
  for (auto next = text.begin(); next != text.end();) {
    const utf::code_point decoded = utf::utf_traits<char>::decode(next, text.end());
    if (decoded == utf::illegal || decoded == utf::incomplete) return false;
  }
  return true;
}

// Builds the tree of a message and rejects, while it reads, what no message of the protocol has:
// deep nesting, byte strings, NaN, infinity and, in strict mode, text that is not UTF-8. The
// library's own tree builder accepts all of these.
class CheckedTreeBuilder final : public nlohmann::json_sax<Json> {
 public:
  explicit CheckedTreeBuilder(TextEncoding encoding) : encoding_(encoding) {}

  Json&& take_tree() { return std::move(tree_); }

  bool null() override { return add(nullptr); }
  bool boolean(bool value) override { return add(value); }
  bool number_integer(number_integer_t value) override { return add(value); }
  bool number_unsigned(number_unsigned_t value) override { return add(value); }
  bool number_float(number_float_t value, const string_t&) override {
    return std::isfinite(value) && add(value);
  }
  bool string(string_t& value) override { return valid(value) && add(std::move(value)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(size_t) override { return open(Json::object()); }
  bool key(string_t& name) override {
    if (!valid(name)) return false;
    member_ = &open_.back()->get_ref<Json::object_t&>()[name];
    return true;
  }
  bool end_object() override { return close(); }
  bool start_array(size_t) override { return open(Json::array()); }
  bool end_array() override { return close(); }
  bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool valid(const std::string& text) const {
    return encoding_ == TextEncoding::any || valid_utf8(text);
  }

  // Returns the place of the value in the tree.
  Json& insert(Json&& value) {
    if (open_.empty()) return tree_ = std::move(value);
    if (!open_.back()->is_array()) return *member_ = std::move(value);
    auto& elements = open_.back()->get_ref<Json::array_t&>();
    return elements.emplace_back(std::move(value));
  }
  bool add(Json&& value) {
    insert(std::move(value));
    return true;
  }
  bool open(Json&& container) {
    if (open_.size() == kMaxNesting) return false;
    open_.push_back(&insert(std::move(container)));
    return true;
  }
  bool close() {
    open_.pop_back();
    return true;
  }

  TextEncoding encoding_;
  Json tree_;
  std::vector<Json*> open_;  // the containers that are being read, outermost first
  Json* member_ = nullptr;   // the member whose key was read last
};

}  // namespace

std::optional<Json> parse_checked(const std::string& body, Json::input_format_t format,
                                  TextEncoding encoding) {
  CheckedTreeBuilder builder(encoding);
  if (body.empty() || !Json::sax_parse(body, &builder, format)) return std::nullopt;
  return builder.take_tree();
}

}  // namespace rushtrestle::protocol

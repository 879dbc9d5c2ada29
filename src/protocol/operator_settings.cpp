#include <sfsexp/sexp.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <memory>

#include "protocol/read_file.h"
#include "protocol/settings.h"

namespace rushtrestle::protocol {

namespace {

const char* rank_name(store::Rank rank) {
  static constexpr const char* kNames[] = {"low", "normal", "high", "production"};
  return kNames[static_cast<int>(rank)];
}

/// A top-level S-expression and its line. The S-expression parser reports no line numbers, so each
/// top-level form is extracted and parsed separately.
struct Form {
  std::string text;
  int line;
};

// The S-expression parser's tree is freed recursively: along each list, and for each list in
// another.
constexpr size_t kMaxFormBytes = size_t{16} * 1024;
constexpr int kMaxFormDepth = 8;  // settings are flat lists

std::vector<Form> split_forms(const std::string& text) {
  std::vector<Form> forms;
  int line = 1;
  int depth = 0;
  int start_line = 1;
  std::string current;
  bool in_comment = false;
  bool in_string = false;
  for (const char character : text) {
    if (in_comment) {
      if (character != '\n') continue;
      in_comment = false;
    }
    if (character == '"') in_string = !in_string;
    if (character == ';' && !in_string) {
      in_comment = true;
      continue;
    }
    if (depth == 0 && character != '(' && !std::isspace(static_cast<unsigned char>(character)))
      throw SettingsError("line " + std::to_string(line) + ": expected a setting in parentheses");
    if (character == '(' && !in_string && depth++ == 0) start_line = line;
    if (depth > kMaxFormDepth || current.size() == kMaxFormBytes)
      throw SettingsError("line " + std::to_string(start_line) +
                          ": setting nested too deep or too long");
    if (depth > 0) current += character == '\n' ? ' ' : character;
    if (character == ')' && !in_string && depth > 0 && --depth == 0) {
      forms.push_back({std::move(current), start_line});
      current.clear();
    }
    if (character == '\n') ++line;
  }
  if (depth != 0)
    throw SettingsError("line " + std::to_string(start_line) + ": missing closing parenthesis");
  return forms;
}

/// A parsed form: the name of a setting and its arguments.
class Setting {
 public:
  Setting(const Form& form, const store::Settings& platform)
      : line_(form.line),
        text_(form.text),
        platform_(platform),
        tree_(parse_sexp(text_.data(), text_.size()), destroy_sexp) {
    if (!tree_ || tree_->ty != SEXP_LIST || !tree_->list || tree_->list->ty != SEXP_VALUE)
      throw error_at_line("expected a list that begins with the name of a setting");
    name_ = tree_->list->val;
    arguments_ = tree_->list->next;
  }

  void apply(store::OperatorSettings& settings) const {
    if (name_ == "requeue-delay") {
      settings.requeue_delay_s = single_positive_number();
    } else if (name_ == "scan-period") {
      settings.scan_period_s = single_positive_number();
    } else if (name_ == "share-period") {
      settings.share_period_s = single_positive_number();
    } else if (name_ == "reclaim-guarantee") {
      settings.reclaim_guarantee = on_or_off();
    } else if (name_ == "consolidate") {
      settings.consolidate = on_or_off();
    } else if (name_ == "preemptible") {
      settings.preemptible = ranks();
    } else if (name_ == "team-share") {
      settings.team_shares.push_back(team_share());
    } else {
      throw error_at_line("unknown setting '" + name_ + "'");
    }
  }

 private:
  SettingsError error_at_line(const std::string& reason) const {
    return SettingsError("line " + std::to_string(line_) + ": " + reason);
  }

  double number(const sexp_t* node) const {
    double value = 0;
    if (!node || node->ty != SEXP_VALUE) throw error_at_line(name_ + ": missing number");
    const char* end = node->val + std::char_traits<char>::length(node->val);
    const auto [stopped_at, error] = std::from_chars(node->val, end, value);
    if (error != std::errc{} || stopped_at != end || !std::isfinite(value))
      throw error_at_line(name_ + ": '" + node->val + "' is not a number");
    return value;
  }

  double single_positive_number() const {
    const double value = number(arguments_);
    if (value <= 0) throw error_at_line(name_ + ": must be greater than 0");
    if (arguments_->next) throw error_at_line(name_ + ": expects exactly one number");
    return value;
  }

  bool on_or_off() const {
    const std::string word =
        arguments_ && arguments_->ty == SEXP_VALUE && !arguments_->next ? arguments_->val : "";
    if (word != "on" && word != "off") throw error_at_line(name_ + ": expects on or off");
    return word == "on";
  }

  std::vector<store::Rank> ranks() const {
    std::vector<store::Rank> ranks;
    for (const sexp_t* argument = arguments_; argument; argument = argument->next) {
      bool known = false;
      for (const auto rank :
           {store::Rank::low, store::Rank::normal, store::Rank::high, store::Rank::production})
        if (argument->ty == SEXP_VALUE && std::string(rank_name(rank)) == argument->val) {
          ranks.push_back(rank);
          known = true;
        }
      if (!known)
        throw error_at_line("preemptible: expects ranks: low, normal, high or production");
    }
    return ranks;
  }

  std::pair<std::string, double> team_share() const {
    if (!arguments_ || arguments_->ty != SEXP_VALUE)
      throw error_at_line("team-share: missing team name");
    const std::string team = arguments_->val;
    if (std::none_of(platform_.teams.begin(), platform_.teams.end(),
                     [&](const auto& known) { return known.name == team; }))
      throw error_at_line("team-share: unknown team '" + team + "'");
    const double share = number(arguments_->next);
    if (share <= 0 || arguments_->next->next)
      throw error_at_line("team-share: expects a team and one number greater than 0");
    return {team, share};
  }

  int line_;
  std::string text_;  // not const: the parser writes into this buffer
  const store::Settings& platform_;
  std::unique_ptr<sexp_t, void (*)(sexp_t*)> tree_;
  std::string name_;
  const sexp_t* arguments_ = nullptr;
};

}  // namespace

store::OperatorSettings parse_operator_settings(const std::string& text,
                                                const store::Settings& platform) {
  store::OperatorSettings settings;
  for (const auto& form : split_forms(text)) Setting(form, platform).apply(settings);
  return settings;
}

store::OperatorSettings read_operator_settings(const std::string& path,
                                               const store::Settings& platform) {
  try {
    return parse_operator_settings(read_file(path), platform);
  } catch (const SettingsError& error) {
    const std::string reason = error.what();
    throw SettingsError(reason.rfind(path, 0) == 0 ? reason : path + ": " + reason);
  }
}

}  // namespace rushtrestle::protocol

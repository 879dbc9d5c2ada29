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

/// The reader gives no line numbers, so each top-level form is cut out and parsed by itself.
struct Form {
  std::string text;
  int line;
};

std::vector<Form> split_forms(const std::string& text) {
  std::vector<Form> forms;
  int line = 1;
  int depth = 0;
  int start_line = 1;
  std::string current;
  bool comment = false;
  bool quoted = false;
  for (const char character : text) {
    if (comment) {
      if (character != '\n') continue;
      comment = false;
    }
    if (character == '"') quoted = !quoted;
    if (character == ';' && !quoted) {
      comment = true;
      continue;
    }
    if (depth == 0 && character != '(' && !std::isspace(static_cast<unsigned char>(character)))
      throw SettingsError("line " + std::to_string(line) + ": expected a form in parentheses");
    if (character == '(' && !quoted && depth++ == 0) start_line = line;
    if (depth > 0) current += character == '\n' ? ' ' : character;
    if (character == ')' && !quoted && depth > 0 && --depth == 0) {
      forms.push_back({std::move(current), start_line});
      current.clear();
    }
    if (character == '\n') ++line;
  }
  if (depth != 0)
    throw SettingsError("line " + std::to_string(start_line) + ": form is not closed");
  return forms;
}

/// One form: a setting's name and what follows it.
class Setting {
 public:
  Setting(const Form& form, const store::Settings& platform)
      : line_(form.line),
        text_(form.text),
        platform_(platform),
        tree_(parse_sexp(text_.data(), text_.size()), destroy_sexp) {
    if (!tree_ || tree_->ty != SEXP_LIST || !tree_->list || tree_->list->ty != SEXP_VALUE)
      throw fault("not a setting");
    name_ = tree_->list->val;
    arguments_ = tree_->list->next;
  }

  void apply(store::OperatorSettings& settings) const {
    if (name_ == "requeue-delay") {
      settings.requeue_delay_s = one_positive();
    } else if (name_ == "scan-period") {
      settings.scan_period_s = one_positive();
    } else if (name_ == "share-period") {
      settings.share_period_s = one_positive();
    } else if (name_ == "reclaim-guarantee") {
      settings.reclaim_guarantee = on_or_off();
    } else if (name_ == "consolidate") {
      settings.consolidate = on_or_off();
    } else if (name_ == "preemptible") {
      settings.preemptible = ranks();
    } else if (name_ == "team-share") {
      settings.team_shares.push_back(team_share());
    } else {
      throw fault("unknown setting '" + name_ + "'");
    }
  }

 private:
  SettingsError fault(const std::string& why) const {
    return SettingsError("line " + std::to_string(line_) + ": " + why);
  }

  double number(const sexp_t* at) const {
    double value = 0;
    if (!at || at->ty != SEXP_VALUE) throw fault(name_ + ": a number is missing");
    const char* end = at->val + std::char_traits<char>::length(at->val);
    const auto [stopped_at, error] = std::from_chars(at->val, end, value);
    if (error != std::errc{} || stopped_at != end || !std::isfinite(value))
      throw fault(name_ + ": '" + at->val + "' is no number");
    return value;
  }

  double one_positive() const {
    const double value = number(arguments_);
    if (value <= 0) throw fault(name_ + ": must be above 0");
    if (arguments_->next) throw fault(name_ + ": takes one number");
    return value;
  }

  bool on_or_off() const {
    const std::string word =
        arguments_ && arguments_->ty == SEXP_VALUE && !arguments_->next ? arguments_->val : "";
    if (word != "on" && word != "off") throw fault(name_ + ": takes on or off");
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
      if (!known) throw fault("preemptible: ranks are low, normal, high and production");
    }
    return ranks;
  }

  std::pair<std::string, double> team_share() const {
    if (!arguments_ || arguments_->ty != SEXP_VALUE)
      throw fault("team-share: a team's name is missing");
    const std::string team = arguments_->val;
    if (std::none_of(platform_.teams.begin(), platform_.teams.end(),
                     [&](const auto& known) { return known.name == team; }))
      throw fault("team-share: no team '" + team + "'");
    const double share = number(arguments_->next);
    if (share <= 0 || arguments_->next->next)
      throw fault("team-share: takes a team and one number above 0");
    return {team, share};
  }

  int line_;
  std::string text_;  // the parser writes into it
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
    const std::string why = error.what();
    throw SettingsError(why.rfind(path, 0) == 0 ? why : path + ": " + why);
  }
}

}  // namespace rushtrestle::protocol

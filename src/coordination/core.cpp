#include "coordination/core.h"

#include <algorithm>
#include <cmath>

#include "coordination/version.h"

namespace rushtrestle::coordination {

Core::Core(const store::Settings& settings, const store::OperatorSettings& operators, std::string incarnation, uint64_t seed,
           LogLine::Level log_level)
    : ctx_(settings, operators, std::move(incarnation), seed),
      model_(*this),
      link_(ctx_, model_),
      members_(ctx_, model_, link_),
      demand_(ctx_, model_, members_),
      owner_(ctx_, model_, link_, members_, images_, demand_),
      leader_(ctx_, model_, link_, members_, images_, demand_),
      users_(ctx_, model_, link_, members_) {
  ctx_.log_level = log_level;
  link_.on_lease_lost = [this] { members_.lease_lost(); };
  members_.own_state = [this] { return own_state(); };
  members_.on_gained = [this](int part) { owner_.gained(part); };
  members_.on_lost = [this](int part) { owner_.lost(part); };
}

void Core::job_changed(const std::string& id) {
  demand_.job_changed(id);
  owner_.job_changed(id);
}
void Core::machine_changed(const std::string& id) { owner_.machine_changed(id); }
void Core::holder_changed(const std::string& key) { members_.holder_changed(key); }

PeerState Core::own_state() {
  PeerState s;
  s.node = ctx_.settings.node;
  s.incarnation = ctx_.incarnation;
  s.has_state = link_.lease_valid() && !link_.in_doubt();
  s.synced = link_.synced();
  s.backlog = link_.backlog();
  s.budget_need = link_.need();
  for (int p = 0; p < members_.parts(); ++p)
    if (members_.held(p) != 0) s.parts.push_back(p);
  s.heard = owner_.heard_of_other_parts();
  s.nodes = members_.heard_nodes();
  s.at = ctx_.wall;
  s.revision = model_.revision();
  s.version = program_version();
  s.record_format = store::kRecordFormat;
  if (link_.ever_synced()) s.current_age_s = ctx_.now - link_.current_at();
  return s;
}

store::Json Core::stats() {
  store::Json j = {
      {"node", ctx_.settings.node},         {"revision", model_.revision()},           {"leading", members_.leading()},
      {"state_lease", link_.lease_valid()}, {"write_backlog", link_.backlog()},        {"writes", link_.stats()},
      {"version", program_version()},       {"record_format", model_.record_format()}, {"controllers", members_.versions()}};
  j["process"] = {{"lag_s", ctx_.lag}, {"cpu_s", ctx_.load.cpu_s}, {"memory_mb", ctx_.load.memory_mb}};
  j["known_jobs"] = model_.known_jobs();
  j["owner"] = owner_.stats();
  j["counters"] = ctx_.counters;
  return j;
}

void Core::take(Command&& command) {
  struct Taker {
    Core& core;
    void operator()(SubmitJob&& c) { core.users_.submit(std::move(c)); }
    void operator()(QueryJob&& c) { core.users_.query(c); }
    void operator()(CancelJob&& c) { core.users_.cancel(c); }
    void operator()(CheckHealth&& c) {
      core.ctx_.out.push_back(AnswerUser{c.request, core.users_.healthy() ? 200 : 503, std::nullopt, 1});
    }
    void operator()(ShowStats&& c) { core.ctx_.out.push_back(AnswerStats{c.request, core.stats()}); }
    void operator()(TakeReport&& c) { core.owner_.take_report(c.request, std::move(c.report)); }
    void operator()(TakeRelayedReport&& c) { core.owner_.take_relayed_report(c.request, c.report); }
    void operator()(TakePeerState&& c) {
      core.members_.asked_by(c.state);
      PeerState own = core.own_state();
      if (c.state.has) own.handover = core.members_.hand_over(c.state);
      core.ctx_.out.push_back(AnswerPeer{c.request, std::move(own)});
    }
    void operator()(CallDone&& c) { core.ctx_.returned(std::move(c)); }
    void operator()(Tick&&) {}
  };
  std::visit(Taker{*this}, std::move(command));
}

// A process that stood still, or gets too little processor time, comes late to what was due.
void Core::measure_lag() {
  const double late = wakeup_at_ > 0 ? std::max(0.0, ctx_.now - wakeup_at_) : 0;
  ctx_.lag = std::max(late, ctx_.lag * std::exp2((handled_at_ - ctx_.now) / ctx_.settings.report_s));
  handled_at_ = ctx_.now;
}

std::vector<Effect> Core::handle(std::deque<Command>& commands, const Clock& clock) {
  ctx_.now = clock.steady;
  ctx_.wall = clock.wall;
  ctx_.load = clock.load;
  measure_lag();
  while (!commands.empty()) {
    Command c = std::move(commands.front());
    commands.pop_front();
    take(std::move(c));
  }
  members_.tick();
  users_.tick();
  owner_.tick();
  leader_.tick();
  owner_.work();
  link_.tick();  // last: what the others want to write leaves in the same batch
  return std::exchange(ctx_.out, {});
}

// With a tick every eightieth of report_s, two turns in five had nothing to do, and a turn costs as much as a message.
double Core::next_wakeup() {
  const double shortest = ctx_.settings.report_s / 80;
  const double due =
      std::min({members_.next_due(), users_.next_due(), owner_.next_due(), leader_.next_due(), link_.next_due()});
  wakeup_at_ = ctx_.now + std::clamp(due - ctx_.now, shortest, longest_sleep());
  return wakeup_at_;
}

}  // namespace rushtrestle::coordination

#include "state_server.h"

#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <list>
#include <stdexcept>

#include "protocol/codec.h"
#include "simulation/fake_state_store.h"
#include "transport/http_server.h"
#include "wire.h"

namespace rushtrestle::scale {

using namespace coordination;
using store::Json;

namespace {

// Changes that the service keeps for watches, by the protocol.
constexpr size_t kHistoryChanges = 10000;
constexpr size_t kPageSize = 200;
constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
constexpr int kTasksOfFinishedJob = 10;

/// Returns the record of a finished job; the state service keeps such records for ever.
Json finished_job(const std::string& id) {
  store::JobRecord r;
  r.spec.id = id;
  r.spec.job_class = "history";
  r.spec.team = "team-0";
  r.spec.tasks = kTasksOfFinishedJob;
  r.spec.per_task = {1, 0, 1};
  r.spec.image = "image-history";
  r.spec.estimate_s = 10;
  r.status = store::JobStatus::done;
  r.submitted = 1.7e9;
  r.last_start = r.submitted + 1;
  r.attempts = kTasksOfFinishedJob;
  for (uint32_t task = 0; task < kTasksOfFinishedJob; ++task) r.done.insert(task);
  return to_json(r);
}

class StateServer {
 public:
  StateServer(transport::EventLoop& event_loop, const Experiment& experiment)
      : event_loop_(event_loop),
        latency_s_(experiment.state_latency_s),
        server_(event_loop, transport::parse_address(kStateAddress),
                {static_cast<size_t>(experiment.platform.nodes) * 64 + 64, kMaxBodyBytes, 600},
                [this](transport::ExchangeId id, transport::HttpMessage&& m) { serve(id, m); }) {
    store_.set_limits(experiment.platform.value_kb, experiment.platform.txn_ops);
    store_.set_write_rate(experiment.platform.state_write_rps);
    store_.set_request_rate(experiment.platform.state_rps);
    store_.set_page(kPageSize);
    store_.set_history(kHistoryChanges);
    for (int i = 0; i < experiment.finished_jobs; ++i) {
      const std::string id = "job-h" + std::to_string(i);
      store_.preset(store::job_key(id), finished_job(id));
    }
    event_loop_.after_each_iteration([this] { answer_watches(); });
    expire_leases();
  }

 private:
  struct WaitingWatch {
    transport::ExchangeId exchange = 0;
    uint64_t since = 0;
    double until = 0;
  };

  void serve(transport::ExchangeId id, const transport::HttpMessage& m) {
    if (m.target == "/counters") return answer(id, 200, counters().dump());
    std::optional<CallBody> body;
    try {
      body = decode_state_request(m.method, m.target, m.body);
    } catch (const std::exception&) {  // the request is malformed
      body.reset();
    }
    if (!body) return answer(id, 400, "");
    if (!store_.admit(event_loop_.now())) return answer(id, 429, "");
    if (const auto* watch = std::get_if<Watch>(&*body)) {
      watches_.push_back({id, watch->since, event_loop_.now() + watch->hold_s});
      return;
    }
    const CallDone done = store_.answer(Call{0, 0, std::move(*body)}, event_loop_.now());
    event_loop_.after(latency_s_, [this, id, status = done.status,
                                   text = encode_state_reply(done)] { answer(id, status, text); });
  }

  void answer_watches() {
    std::string cached;
    uint64_t cached_since = 0;
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (it->since >= store_.revision() && event_loop_.now() < it->until) {
        ++it;
        continue;
      }
      if (cached.empty() || cached_since != it->since) {
        const auto reply = store_.changes_since(it->since);
        cached_since = it->since;
        cached = reply ? encode_state_reply(CallDone{0, 200, *reply}) : "";
      }
      watched_bytes_ += cached.size();
      answer(it->exchange, cached.empty() ? 410 : 200, cached);
      it = watches_.erase(it);
    }
  }

  void expire_leases() {
    store_.expire_leases(event_loop_.now());
    // By the protocol, leases may expire up to 100 ms late.
    event_loop_.after(0.1, [this] { expire_leases(); });
  }

  void answer(transport::ExchangeId id, int status, const std::string& body) {
    server_.answer(id, status, body, "application/cbor");
  }

  Json counters() const {
    const auto& c = store_.counters();
    return {{"requests", c.requests},
            {"transactions", c.transactions},
            {"conflicts", c.conflicts},
            {"puts_asked", c.puts_requested},
            {"puts", c.puts},
            {"refused_for_rate", c.refused_for_rate},
            {"revision", store_.revision()},
            {"bytes_followed", watched_bytes_}};
  }

  transport::EventLoop& event_loop_;
  double latency_s_;
  testing::FakeStateStore store_;
  std::list<WaitingWatch> watches_;
  uint64_t watched_bytes_ = 0;
  transport::HttpServer server_;
};

}  // namespace

pid_t start_state_server(const Experiment& experiment) {
  int ready[2];
  if (pipe(ready) != 0) throw std::runtime_error("state service: cannot create a pipe");
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("state service: fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    close(ready[0]);
    try {
      transport::EventLoop event_loop;
      const StateServer server(event_loop, experiment);
      if (write(ready[1], "r", 1) == 1) event_loop.run();
    } catch (const std::exception&) {  // the parent sees the closed pipe
    }
    _exit(1);
  }
  close(ready[1]);
  char ready_byte = 0;
  const bool listens = read(ready[0], &ready_byte, 1) == 1;
  close(ready[0]);
  if (!listens)
    throw std::runtime_error(std::string("state service: cannot listen on ") + kStateAddress +
                             ", is it in use?");
  return pid;
}

}  // namespace rushtrestle::scale

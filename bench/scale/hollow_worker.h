// One hollow worker: the worker's side of the protocol, with tasks that only take their time.
#pragma once
#include <map>
#include <random>
#include <string>
#include <vector>

#include "coordination/runtime/messages.h"
#include "jobs.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace rushtrestle::scale {

/// What all workers of a run share.
struct WorkerSurroundings {
  transport::EventLoop& event_loop;
  JobBook& jobs;
  const Experiment& experiment;
  std::mt19937_64& random;
  size_t connections_in;  // of controllers that command a worker at the same time
};

struct WorkerTraffic {
  uint64_t reports = 0, commands = 0;           // messages from us, messages to us
  uint64_t bytes_sent = 0, bytes_received = 0;  // bodies and heads
  uint64_t leases_lapsed = 0, tasks_killed_by_lease = 0;
};

class HollowWorker {
 public:
  HollowWorker(WorkerSurroundings surroundings, std::string id, std::string address,
               const store::MachineType& type, std::string zone, bool spot);
  HollowWorker(const HollowWorker&) = delete;
  HollowWorker& operator=(const HollowWorker&) = delete;
  ~HollowWorker();

  /// The machine is up: listens and reports.
  void boot();
  /// The machine stops with all that is on it.
  void stop();
  /// Loses all tasks, and comes back with a new session after a while.
  void restart(double after_s);
  /// Sends and hears nothing; tasks go on until the lease is over.
  void cut(double for_s);

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  const store::MachineType& type() const { return type_; }
  const std::string& zone() const { return zone_; }
  bool spot() const { return spot_; }
  bool up() const { return up_; }
  const WorkerTraffic& traffic() const { return traffic_; }

 private:
  struct TaskId {
    std::string job;
    uint32_t task = 0;
    uint64_t attempt = 0;
    bool operator<(const TaskId& o) const {
      return std::tie(job, task, attempt) < std::tie(o.job, o.task, o.attempt);
    }
  };
  struct Task {
    coordination::TaskState state = coordination::TaskState::fetching;
    coordination::ExitCause cause = coordination::ExitCause::none;
    bool saved = false;
    double running_since = 0;
    transport::EventLoop::TimerId timer = 0;  // when its state changes next
  };
  using Tasks = std::map<TaskId, Task>;

  void arm_report(double after_s);
  void changed();
  void send_report();
  void report_answered(uint64_t agent_epoch, double sent_at, int controller, int status,
                       const std::string& body);
  void go_on_with(int controller, double after_s);
  void serve(transport::ExchangeId exchange, const transport::HttpMessage& message);
  coordination::Heartbeat report();

  void carry_out(const std::vector<coordination::WorkerCommand>& orders);
  void start(const coordination::WorkerCommand& order);
  void kill(const coordination::WorkerCommand& order);
  void image_ready(const TaskId& id);
  void end(Tasks::iterator task, coordination::ExitCause cause);
  double progress(const Job& job, const TaskId& id, const Task& task) const;
  bool has_room_for(const store::JobSpec& spec) const;
  double fetch_s(const store::JobSpec& spec);
  void forget_all();
  void renew_lease(double sent_at);
  void lease_lapsed();

  WorkerSurroundings at_;
  std::string id_, address_;
  const store::MachineType& type_;
  std::string zone_;
  bool spot_;
  bool up_ = false;
  double silent_until_ = 0;
  uint64_t session_ = 1, sequence_ = 0, token_ = 0;
  int controller_ = 0;  // that it reports to
  bool reporting_ = false;
  double last_report_ = -1;
  double token_told_at_ = -1;  // a higher token counts as a change at most once per half lease
  transport::EventLoop::TimerId report_timer_ = 0, lease_timer_ = 0;
  Tasks tasks_;
  std::vector<std::pair<std::string, double>> images_;  // with GB, most recently used last
  transport::HttpClient client_;
  std::unique_ptr<transport::HttpServer> server_;
  WorkerTraffic traffic_;
};

}  // namespace rushtrestle::scale

// A hollow worker: implements the worker's side of the protocol, with tasks that only take time.
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

/// State that all workers of a run share.
struct WorkerContext {
  transport::EventLoop& event_loop;
  JobTracker& jobs;
  const Experiment& experiment;
  std::mt19937_64& random;
  size_t incoming_connections;  // connections that controllers may hold to one worker
};

struct WorkerTraffic {
  uint64_t reports = 0, commands = 0;           // messages sent and received by workers
  uint64_t bytes_sent = 0, bytes_received = 0;  // HTTP bodies and heads
  uint64_t leases_lapsed = 0, tasks_killed_by_lease = 0;
};

class HollowWorker {
 public:
  HollowWorker(WorkerContext context, std::string id, std::string address,
               const store::MachineType& type, std::string zone, bool spot);
  HollowWorker(const HollowWorker&) = delete;
  HollowWorker& operator=(const HollowWorker&) = delete;
  ~HollowWorker();

  /// Starts the machine: the worker listens and reports.
  void boot();
  /// Stops the machine and all its tasks.
  void stop();
  /// Drops all tasks and images, and returns with a new session after `after_s` seconds.
  void restart(double after_s);
  /// Neither sends nor answers for `for_s` seconds; tasks run until the lease expires.
  void disconnect(double for_s);

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
    transport::EventLoop::TimerId timer = 0;  // of the next state change
  };
  using Tasks = std::map<TaskId, Task>;

  void schedule_report(double after_s);
  void report_change();
  void send_report();
  void on_report_response(uint64_t agent_epoch, double sent_at, int controller, int status,
                          const std::string& body);
  void switch_controller(int controller, double after_s);
  void serve(transport::ExchangeId exchange, const transport::HttpMessage& message);
  coordination::Heartbeat report();

  void run_commands(const std::vector<coordination::WorkerCommand>& commands);
  void start_task(const coordination::WorkerCommand& command);
  void stop_task(const coordination::WorkerCommand& command);
  void on_image_fetched(const TaskId& id);
  void end_task(Tasks::iterator task, coordination::ExitCause cause);
  double progress(const Job& job, const TaskId& id, const Task& task) const;
  bool fits(const store::JobSpec& spec) const;
  double fetch_s(const store::JobSpec& spec);
  void drop_all_tasks();
  void renew_lease(double sent_at);
  void on_lease_expired();

  WorkerContext context_;
  std::string id_, address_;
  const store::MachineType& type_;
  std::string zone_;
  bool spot_;
  bool up_ = false;
  double disconnected_until_ = 0;
  uint64_t session_ = 1, sequence_ = 0, token_ = 0;
  int controller_ = 0;  // index of the controller that it reports to
  bool report_in_flight_ = false;
  double last_report_at_ = -1;
  double token_reported_at_ = -1;  // a higher token is reported early once per half lease
  transport::EventLoop::TimerId report_timer_ = 0, lease_timer_ = 0;
  Tasks tasks_;
  std::vector<std::pair<std::string, double>> images_;  // name and GB, most recently used last
  transport::HttpClient client_;
  std::unique_ptr<transport::HttpServer> server_;
  WorkerTraffic traffic_;
};

}  // namespace rushtrestle::scale

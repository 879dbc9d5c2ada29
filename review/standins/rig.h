// A small deployment on loopback addresses for the cases of the review: controllers as separate
// processes, and stand-ins for the state service, the cloud, the workers and the users in this one.
#pragma once
#include <sys/types.h>

#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "store/json.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace review {

using rushtrestle::store::Json;
using rushtrestle::transport::Address;
using rushtrestle::transport::EventLoop;
using rushtrestle::transport::ExchangeId;
using rushtrestle::transport::HttpClient;
using rushtrestle::transport::HttpMessage;
using rushtrestle::transport::HttpServer;

struct Team {
  std::string name;
  double cpus, cpus_max, gpus, gpus_max;
};
struct MachineType {
  std::string name;
  double cpus, gpus, memory_gb, cache_gb, fetch_gb_per_s, price, spot_price, ready_s;
};

/// The settings of the deployment. The defaults are those of the site plugpoint-midlands, but for
/// the machine types, which are up sooner so that a case ends in two minutes.
struct Deployment {
  std::vector<std::string> zones{"trent", "soar", "severn"};
  int controllers = 3;
  std::vector<Team> teams{{"finder-ops", 56, 250, 8, 30}};
  std::vector<MachineType> types;
  int capacity = 8;  // machines of each type and zone
  double report_s = 1.5, lease_s = 12, cancel_s = 37;
  double state_rps = 100, write_rps = 25, value_kb = 16;
  size_t txn_ops = 12;
  double state_latency_s = 0.002;
  double cloud_rps = 2, cloud_latency_s = 0.25, list_lag_s = 2;
  double cores = 0.12, memory_mb = 56;
  int connections = 800;
  double restart_delay_s = 4;
  double clock_error_ms = 5, gang_wait_s = 35, gang_peer_s = 5;
};

class Rig;

/// A TCP proxy that can hold back what passes through it. While it holds, bytes of open connections
/// stay where they are and are delivered, in order, afterwards, also when their sender has closed
/// the connection meanwhile. Connections opened while it holds never complete.
class HoldProxy {
 public:
  HoldProxy(EventLoop& loop, const Address& at, const Address& to);
  ~HoldProxy();
  void hold();
  void release();

 private:
  struct Pair {
    int client = -1, server = -1;
    bool client_ended = false;
  };
  void on_accept();
  void pump(uint64_t id, bool from_client);
  void watch(uint64_t id);
  void unwatch(const Pair& pair);
  void close_pair(uint64_t id);

  EventLoop& loop_;
  Address to_;
  int listener_ = -1;
  bool holding_ = false;
  uint64_t next_ = 1;
  std::map<uint64_t, Pair> pairs_;
  std::vector<int> refused_;  // opened while holding
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// The state service. Every controller has an address of its own, so that it can be refused alone.
class StateService {
 public:
  explicit StateService(Rig& rig);
  Address address(int controller) const { return addresses_[static_cast<size_t>(controller)]; }
  /// Refuses (503) or serves the requests of one controller. Its open watches wait meanwhile.
  void refuse(int controller, bool refused);
  const Json* value(const std::string& key) const;
  /// Bytes of the changes after a revision, as a response to a watch would hold them.
  size_t bytes_since(uint64_t revision) const;
  uint64_t epoch() const { return epoch_; }
  std::function<void(int controller, const std::string& target, size_t bytes)> on_watch_answered;

 private:
  struct Entry {
    Json value;
    uint64_t stamp = 0, lease = 0;
  };
  struct Change {
    std::string key;
    std::optional<Json> value;
    uint64_t stamp = 0;
  };
  struct Lease {
    double ttl = 0, until = 0;
  };
  struct Watch {
    int controller;
    ExchangeId exchange;
    std::string starts, target;
    uint64_t since;
    double until;
  };
  struct Bucket {
    double level = 0, at = 0;
    bool take(double now, double rate, double amount);
  };
  void serve(int controller, ExchangeId id, const HttpMessage& m);
  std::pair<int, Json> handle(const HttpMessage& m);
  std::pair<int, Json> transact(const std::string& body);
  void put(const std::string& key, std::optional<Json> value, uint64_t lease);
  Json changes(uint64_t since, const std::string& starts) const;
  void answer_watches();
  void expire();
  void reply(int controller, ExchangeId id, int status, const std::string& body);

  Rig& rig_;
  std::vector<Address> addresses_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::set<int> refused_;
  std::map<std::string, Entry> keys_;
  std::deque<Change> log_;
  uint64_t oldest_kept_ = 0;
  std::map<uint64_t, Lease> leases_;
  uint64_t epoch_ = 1, next_lease_ = 1;
  std::list<Watch> watches_;
  Bucket requests_, writes_;
};

struct Machine {
  std::string id, type, zone;
  bool spot = false;
  double rented_at = 0, up_at = 0, gone_at = -1;
};

/// A worker: reports, holds a lease, and runs tasks that only take time.
class Worker {
 public:
  Worker(Rig& rig, const Machine& machine, const MachineType& type);
  ~Worker();
  const std::string& id() const { return id_; }
  /// Index of the controller that answered the last report with 200; -1: none yet.
  int controller() const { return answered_by_; }
  HoldProxy& commands() { return *proxy_; }
  size_t tasks_on_machine() const;

 private:
  struct Key {
    std::string job;
    uint32_t task;
    uint64_t attempt;
    auto operator<=>(const Key&) const = default;
  };
  struct Task {
    std::string state = "pulling", cause;
    bool kept = false;
    EventLoop::TimerId timer = 0;
    double since = 0;
  };
  Json report();
  void schedule(double after);
  void changed();
  void send();
  void on_response(uint64_t shift, double sent_at, int controller, int status, std::string&& body);
  void next_controller(int controller, double after);
  void renew(double sent_at);
  void on_lease_expired();
  void serve(ExchangeId id, const HttpMessage& m);
  void execute(const Json& orders, const char* by);
  void run(const Json& order, const char* by);
  void kill(const Json& order);
  void end(const Key& key, const std::string& cause);
  void drop_tasks(const char* why);

  Rig& rig_;
  std::string id_, zone_;
  bool spot_;
  const MachineType& type_;
  std::string address_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HoldProxy> proxy_;
  HttpClient client_;
  uint64_t shift_ = 1, tally_ = 0, baton_ = 0;
  int controller_ = 0, answered_by_ = -1;
  bool in_flight_ = false;
  double last_report_ = -1;
  EventLoop::TimerId report_timer_ = 0, lease_timer_ = 0;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
};

/// The cloud: rents machines, each of which becomes a worker.
class Cloud {
 public:
  explicit Cloud(Rig& rig);
  Address address() const { return address_; }
  std::map<std::string, std::unique_ptr<Worker>>& workers() { return workers_; }

 private:
  void serve(ExchangeId id, const HttpMessage& m);
  std::pair<int, Json> rent(const Json& request);
  Json list(const std::string& target) const;
  void remove(const std::string& id);

  Rig& rig_;
  Address address_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, Json> rentals_;
  int next_machine_ = 1;
  double budget_ = 0, budget_at_ = 0;
};

/// What the stand-ins know of a job: its description, and what users were told.
struct Job {
  Json spec;
  bool submitted = false;
  double accepted_at = -1, withdrawn_at = -1, done_told_at = -1;
  std::set<uint32_t> completed;
};

/// A user's connection through the load balancer: stays with one node until it is closed or reset.
class UserConnection {
 public:
  explicit UserConnection(Rig& rig);
  using Done = std::function<void(int status, const Json& body, int node)>;
  void request(const std::string& method, const std::string& target, const std::string& body,
               double timeout_s, Done done);
  int node() const { return node_; }
  void reset() { node_ = -1; }

 private:
  Rig& rig_;
  std::unique_ptr<HttpClient> client_;
  int node_ = -1;
};

/// Chooses nodes for connections, by the page's rules for the health of nodes.
class LoadBalancer {
 public:
  explicit LoadBalancer(Rig& rig);
  void start();
  int choose();
  bool healthy(int node) const { return nodes_[static_cast<size_t>(node)].healthy; }

 private:
  struct Node {
    bool healthy = false, ever = false;
    int failures = 0, successes = 0;
    std::deque<bool> last;
    double removed_at = -1e9, pause_s = 3;
  };
  void probe(int node);
  void on_probe(int node, bool ok);

  Rig& rig_;
  HttpClient client_;
  std::vector<Node> nodes_;
};

class Controllers {
 public:
  explicit Controllers(Rig& rig);
  ~Controllers();
  void start_all();
  pid_t pid(int index) const { return pids_[static_cast<size_t>(index)]; }
  void signal(int index, int number);
  int ended_by_themselves() const { return ended_; }

 private:
  void start(int index);
  void look();

  Rig& rig_;
  std::string directory_;
  std::vector<pid_t> pids_;
  int ended_ = 0;
};

class Rig {
 public:
  /// `trouble`: whether the case's disruption is played (TROUBLE is not 0).
  Rig(Deployment deployment, const std::string& record_file);
  ~Rig();

  EventLoop loop;
  const Deployment deployment;
  std::mt19937_64 random{std::random_device{}()};
  bool trouble = true;
  /// Whether the record holds what happens to each task.
  bool record_tasks = true;

  int count() const { return deployment.controllers; }
  /// The zone of a controller.
  const std::string& area(int index) const {
    return deployment.zones[static_cast<size_t>(index) % deployment.zones.size()];
  }
  std::string node(int index) const { return "trestle-" + std::to_string(index); }
  int node_index(const std::string& name) const;
  Address listen(int index) const { return listen_[static_cast<size_t>(index)]; }
  Address peer_listen(int index) const { return peer_listen_[static_cast<size_t>(index)]; }
  /// Where workers reach a controller.
  Address worker_side(int index) const { return worker_side_[static_cast<size_t>(index)]; }
  HoldProxy& reports(int index) { return *report_proxies_[static_cast<size_t>(index)]; }
  /// Returns an unused port on a loopback address of this run.
  Address free_address();

  double now() const { return loop.now() - began_; }
  void record(const std::string& line);
  void record_task(const std::string& line) {
    if (record_tasks) record(line);
  }
  double uniform(double from, double to);
  Job& job(const std::string& id) { return jobs[id]; }

  std::map<std::string, Job> jobs;
  std::unique_ptr<StateService> state;
  std::unique_ptr<Cloud> cloud;
  std::unique_ptr<LoadBalancer> balancer;
  std::unique_ptr<Controllers> controllers;
  std::list<UserConnection*> connections;

  /// Called when a task begins to run and when it leaves its machine.
  std::function<void(const std::string& job, uint32_t task, const std::string& machine)> on_start;
  std::function<void(const std::string& job, uint32_t task, const std::string& machine)> on_leave;

  /// Runs until `finish`, or for `seconds` at most; then the case could not be run.
  int run(double seconds);
  void finish(int status, const std::string& verdict);

 private:
  std::ofstream record_;
  double began_ = 0;
  int status_ = 2;
  uint32_t block_ = 0;
  std::vector<Address> listen_, peer_listen_, worker_side_;
  std::vector<std::unique_ptr<HoldProxy>> report_proxies_;
};

/// A submission with all the fields of the page.
Json job_spec(const std::string& id, const std::string& crew, const std::string& berth,
              const std::string& sort, const std::string& rank, int tasks, double cpus,
              double memory_gb, const std::string& image, double image_gb, double run_s);

std::string text_of(const Json& body);

}  // namespace review

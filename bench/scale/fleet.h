// The simulated cloud provider and the machines that it has rented out.
#pragma once
#include <map>
#include <memory>
#include <set>

#include "coordination/runtime/context.h"
#include "hollow_worker.h"

namespace rushtrestle::scale {

class Fleet {
 public:
  Fleet(WorkerContext context);

  /// Stops, disconnects or restarts a random share of the workers that are up, in one zone or all.
  void inject_fault(const Fault& fault);

  size_t up() const;
  size_t most_up() const { return most_up_; }
  /// Returns the traffic of all workers together, including those of deleted machines.
  WorkerTraffic traffic() const;
  /// Returns the total seconds from boot to deletion, or to now, of all machines.
  double seconds_up() const;

 private:
  struct RentedMachine {
    std::unique_ptr<HollowWorker> worker;
    double since = 0, up_at = 0, gone_at = -1;
    bool gone = false;  // deleted; kept because its timers and sockets may still be active
  };
  void serve(transport::ExchangeId exchange, const transport::HttpMessage& message);
  store::Json machine_types() const;
  store::Json list_machines(const std::string& target) const;
  std::vector<std::string> rent_machines(const store::Json& request);
  void delete_machines(const store::Json& request);
  std::string add_machine(const MachinePool& pool, const std::string& zone, bool spot,
                          double boot_s);
  int in_use(const std::string& type, const std::string& zone) const;

  WorkerContext context_;
  std::map<std::string, RentedMachine> machines_;  // by name, which sorts in order of creation
  std::map<std::string, std::vector<std::string>> granted_;  // machine names by request name
  size_t most_up_ = 0;
  coordination::TokenBucket rate_limiter_;
  transport::HttpServer server_;
};

}  // namespace rushtrestle::scale

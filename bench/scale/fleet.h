// The stand-in of the cloud, with the machines that it has rented out.
#pragma once
#include <map>
#include <memory>
#include <set>

#include "coordination/runtime/context.h"
#include "hollow_worker.h"

namespace rushtrestle::scale {

class Fleet {
 public:
  Fleet(WorkerSurroundings surroundings);

  /// Stops, cuts off or restarts a share of the workers that are up, of one zone or of all.
  void trouble(const Trouble& trouble);

  size_t up() const;
  size_t most_up() const { return most_up_; }
  /// Of all workers together, those that are gone included.
  WorkerTraffic traffic() const;
  /// Machine seconds that all workers were up.
  double seconds_up() const;

 private:
  struct Rented {
    std::unique_ptr<HollowWorker> worker;
    double since = 0, up_at = 0, gone_at = -1;
    bool gone = false;  // deleted; kept, as timers and sockets of it may be under way
  };
  void serve(transport::ExchangeId exchange, const transport::HttpMessage& message);
  store::Json flavors() const;
  store::Json list(const std::string& target) const;
  std::vector<std::string> rent(const store::Json& request);
  void remove(const store::Json& request);
  std::string add(const MachinePool& pool, const std::string& zone, bool spot, double boot_s);
  int in_use(const std::string& type, const std::string& zone) const;

  WorkerSurroundings at_;
  std::map<std::string, Rented> machines_;  // by name, which is the order of creation
  std::map<std::string, std::vector<std::string>> granted_;  // by request name
  size_t most_up_ = 0;
  coordination::TokenBucket rate_;
  transport::HttpServer server_;
};

}  // namespace rushtrestle::scale

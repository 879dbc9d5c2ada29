// The simulated cloud: rents, lists and deletes machines.
#include <algorithm>
#include <cstdio>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

void ClusterSimulation::rent_machines(const ProvisionMachines& request, CallDone& done) {
  const auto known = rentals_by_request_.find(request.request);
  if (known != rentals_by_request_.end()) {
    done.reply = ProvisionReply{known->second};
    return;
  }
  const auto type = std::find_if(types_.begin(), types_.end(), [&](const auto& machine_type) {
    return machine_type.name == request.type;
  });
  if (type == types_.end()) {
    done.status = 400;
    return;
  }
  int used = 0;
  for (const auto& [id, worker] : workers_)
    if (worker.type == request.type && worker.zone == request.zone && worker.spot == request.spot &&
        worker.phase != Worker::Phase::dead)
      ++used;
  const int limit = options_.capacity.count(request.type) ? options_.capacity.at(request.type) : 4;
  ProvisionReply reply;
  for (int i = 0; i < request.count && used < limit; ++i, ++used) {
    char id[16];
    std::snprintf(id, sizeof id, "n-%06d", static_cast<int>(next_machine_++));
    Worker worker;
    worker.id = worker.address = id;
    worker.type = request.type;
    worker.zone = request.zone;
    worker.spot = request.spot;
    worker.created = now_;
    worker.up_at = now_ + type->boot_s * std::uniform_real_distribution<>(0.1, 1.5)(rng_);
    if (options_.boot_failures && std::uniform_int_distribution<>(0, 19)(rng_) == 0)
      worker.up_at = 1e9;  // never finishes its boot
    worker.target = rng_() % nodes_.size();
    workers_[worker.id] = worker;
    reply.machines.push_back(worker.id);
    at(worker.up_at, [this, id = worker.id] {
      const auto it = workers_.find(id);
      if (it == workers_.end()) return;
      it->second.phase = Worker::Phase::up;
      it->second.lease_renewed_at = now_;
      worker_step(id);
    });
  }
  if (reply.machines.empty()) {
    done.status = 503;
  } else {
    rentals_by_request_[request.request] = reply.machines;
    done.reply = std::move(reply);
  }
}

CallDone ClusterSimulation::handle_cloud_call(const Call& call) {
  ++counters_.cloud_calls;
  CallDone done{call.id, 200, {}};
  if (std::holds_alternative<ListMachineTypes>(call.body)) {
    done.reply = MachineTypesReply{types_};
  } else if (const auto* request = std::get_if<ProvisionMachines>(&call.body)) {
    rent_machines(*request, done);
  } else if (const auto* deletion = std::get_if<DeleteMachines>(&call.body)) {
    for (const auto& id : deletion->machines) workers_.erase(id);
  } else if (const auto* list = std::get_if<ListMachines>(&call.body)) {
    constexpr size_t kPageEntries = 500;
    ListMachinesReply reply;
    for (auto it = workers_.upper_bound(list->after); it != workers_.end(); ++it) {
      const auto& [id, worker] = *it;
      if (now_ - worker.created <= settings_.list_lag_s) continue;
      if (reply.machines.size() == kPageEntries) {
        reply.more = true;
        break;
      }
      reply.machines.push_back({id, worker.address, worker.type, worker.zone, worker.spot,
                                worker.phase == Worker::Phase::up ? CloudMachine::State::running
                                                                  : CloudMachine::State::booting,
                                now_ - worker.created});
    }
    done.reply = std::move(reply);
  }
  return done;
}

}  // namespace rushtrestle::testing

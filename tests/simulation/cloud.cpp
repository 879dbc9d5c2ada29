// The stand-in of the cloud: machines rented, listed and deleted.
#include <algorithm>
#include <cstdio>

#include "simulation/cluster_simulation.h"

namespace rushtrestle::testing {

void ClusterSimulation::rent_machines(const ProvisionMachines& r, CallDone& done) {
  const auto known = hires_.find(r.request);
  if (known != hires_.end()) {
    done.reply = ProvisionReply{known->second};
    return;
  }
  const auto type =
      std::find_if(types_.begin(), types_.end(), [&](const auto& t) { return t.name == r.type; });
  if (type == types_.end()) {
    done.status = 400;
    return;
  }
  int used = 0;
  for (const auto& [id, w] : workers_)
    if (w.type == r.type && w.zone == r.zone && w.spot == r.spot && w.phase != Worker::Phase::dead)
      ++used;
  const int most = options_.capacity.count(r.type) ? options_.capacity.at(r.type) : 4;
  ProvisionReply reply;
  for (int i = 0; i < r.count && used < most; ++i, ++used) {
    char id[16];
    std::snprintf(id, sizeof id, "n-%06d", static_cast<int>(next_machine_++));
    Worker w;
    w.id = w.address = id;
    w.type = r.type;
    w.zone = r.zone;
    w.spot = r.spot;
    w.created = now_;
    w.up_at = now_ + type->boot_s * std::uniform_real_distribution<>(0.1, 1.5)(rng_);
    if (options_.boot_failures && std::uniform_int_distribution<>(0, 19)(rng_) == 0)
      w.up_at = 1e9;  // never comes up
    w.target = rng_() % nodes_.size();
    workers_[w.id] = w;
    reply.machines.push_back(w.id);
    at(w.up_at, [this, id = w.id] {
      const auto it = workers_.find(id);
      if (it == workers_.end()) return;
      it->second.phase = Worker::Phase::up;
      it->second.lease_from = now_;
      worker_step(id);
    });
  }
  if (reply.machines.empty()) {
    done.status = 503;
  } else {
    hires_[r.request] = reply.machines;
    done.reply = std::move(reply);
  }
}

CallDone ClusterSimulation::at_cloud(const Call& c) {
  ++work_.cloud_calls;
  CallDone done{c.id, 200, {}};
  if (std::holds_alternative<ListMachineTypes>(c.body)) {
    done.reply = MachineTypesReply{types_};
  } else if (const auto* r = std::get_if<ProvisionMachines>(&c.body)) {
    rent_machines(*r, done);
  } else if (const auto* d = std::get_if<DeleteMachines>(&c.body)) {
    for (const auto& id : d->machines) workers_.erase(id);
  } else if (const auto* list = std::get_if<ListMachines>(&c.body)) {
    constexpr size_t kPage = 500;
    ListMachinesReply reply;
    for (auto it = workers_.upper_bound(list->after); it != workers_.end(); ++it) {
      const auto& [id, w] = *it;
      if (now_ - w.created <= settings_.list_lag_s) continue;
      if (reply.machines.size() == kPage) {
        reply.more = true;
        break;
      }
      reply.machines.push_back({id, w.address, w.type, w.zone, w.spot,
                                w.phase == Worker::Phase::up ? CloudMachine::State::running
                                                             : CloudMachine::State::booting,
                                now_ - w.created});
    }
    done.reply = std::move(reply);
  }
  return done;
}

}  // namespace rushtrestle::testing

#include "coordination/fleet/unrecorded_machines.h"

#include <utility>

namespace rushtrestle::coordination {

void UnrecordedMachines::record(const store::MachineRecord& machine) {
  records_[machine.id] = machine;
  WriteRequest write;
  write.key = store::machine_key(machine.id);
  write.cause = WriteCause::machine_provisioned;
  write.prepare = [this, id = machine.id](PreparedWrite& prepared) {
    const auto unrecorded = records_.find(id);
    if (unrecorded == records_.end() || state_cache_.machine(id) ||
        !membership_.is_cluster_leader())
      return false;
    prepared.expected_mod_revision = 0;
    prepared.value = to_json(unrecorded->second);
    prepared.preconditions.push_back({store::leader_key, membership_.leader_fencing_token()});
    return true;
  };
  // If the write failed, the next listing of the cloud's machines finds the machine without a
  // record and adopts it.
  write.done = [this, id = machine.id](WriteOutcome, uint64_t) { records_.erase(id); };
  state_store_.write(std::move(write));
}

}  // namespace rushtrestle::coordination

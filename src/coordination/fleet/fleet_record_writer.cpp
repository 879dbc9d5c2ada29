#include "coordination/fleet/fleet_record_writer.h"

#include <utility>

namespace rushtrestle::coordination {

void FleetRecordWriter::update(const std::string& machine, WriteCause cause, Change change,
                               Done done) {
  WriteRequest write;
  write.key = store::machine_key(machine);
  write.cause = cause;
  write.prepare = [this, machine, change = std::move(change)](PreparedWrite& prepared) {
    const auto* known = state_cache_.machine(machine);
    if (!known || !membership_.is_cluster_leader()) return false;
    store::MachineRecord record = known->record;
    if (!change(record)) return false;
    prepared.expected_mod_revision = known->mod_revision;
    prepared.value = to_json(record);
    prepared.preconditions.push_back({store::leader_key, membership_.leader_fencing_token()});
    return true;
  };
  write.done = std::move(done);
  state_store_.write(std::move(write));
}

}  // namespace rushtrestle::coordination

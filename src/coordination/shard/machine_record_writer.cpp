#include "coordination/shard/machine_record_writer.h"

#include <utility>

namespace rushtrestle::coordination {

using store::MachineRecord;

void MachineRecordWriter::enqueue(const std::string& id, WriteCause cause, Change change) {
  ShardMachine* queued = state_.find_machine(id);
  if (!queued || queued->record_write_queued) return;
  queued->record_write_queued = true;
  WriteRequest request;
  request.key = store::machine_key(id);
  request.cause = cause;
  request.prepare = [this, id, change = std::move(change)](PreparedWrite& prepared) {
    return prepare_change(id, change, prepared);
  };
  request.done = [this, id](WriteOutcome, uint64_t) {
    ShardMachine* machine = state_.find_machine(id);
    if (!machine) return;
    machine->record_write_queued = false;
    machine->marking_for_deletion = false;
    dispatch_queue_.add(id);
  };
  state_store_.write(std::move(request));
}

// Writes of addresses have background priority: when a whole fleet starts at once they were a third
// of all writes, and work waited behind them.
void MachineRecordWriter::record_address(ShardMachine& queued) {
  queued.address_queued = true;
  WriteRequest request;
  request.key = store::machine_key(queued.id);
  request.cause = WriteCause::machine_address;
  request.prepare = [this, id = queued.id](PreparedWrite& prepared) {
    ShardMachine* machine = state_.find_machine(id);
    if (!machine) return false;
    machine->address_queued = false;
    const auto set_reported_address = [machine](MachineRecord& record) {
      if (record.address == machine->address) return false;
      record.address = machine->address;
      return true;
    };
    return prepare_change(id, set_reported_address, prepared);
  };
  request.done = [this, id = queued.id](WriteOutcome, uint64_t) { dispatch_queue_.add(id); };
  state_store_.write(std::move(request));
}

bool MachineRecordWriter::prepare_change(const std::string& id, const Change& change,
                                         PreparedWrite& prepared) const {
  const auto* durable = state_cache_.machine(id);
  if (!state_.find_machine(id) || !durable || durable->record.terminating()) return false;
  // The change may move the machine to another shard; until it is durable, the machine belongs to
  // this one.
  const int shard = durable->record.shard;
  const uint64_t shard_fencing_token = membership_.shard_fencing_token(shard);
  MachineRecord record = durable->record;
  if (shard_fencing_token == 0 || !change(record)) return false;
  prepared.expected_mod_revision = durable->mod_revision;
  prepared.value = to_json(record);
  prepared.preconditions.push_back({store::shard_key(shard), shard_fencing_token});
  return true;
}

}  // namespace rushtrestle::coordination

#include "coordination/shard/machine_record_writer.h"

#include <utility>

namespace rushtrestle::coordination {

using store::MachineRecord;

void MachineRecordWriter::enqueue(const std::string& id, WriteCause cause, Change change) {
  ShardMachine* m = state_.find_machine(id);
  if (!m || m->record_write_queued) return;
  m->record_write_queued = true;
  WriteRequest w;
  w.key = store::machine_key(id);
  w.cause = cause;
  w.prepare = [this, id, change = std::move(change)](Prepared& p) {
    const ShardMachine* mine = state_.find_machine(id);
    const auto* durable = state_cache_.machine(id);
    if (!mine || !durable || durable->record.terminating()) return false;
    const uint64_t held = membership_.shard_token(durable->record.shard);
    MachineRecord r = durable->record;
    if (held == 0 || !change(r)) return false;
    p.expected = durable->mod_revision;
    p.value = to_json(r);
    p.preconditions.push_back({store::shard_key(durable->record.shard), held});
    return true;
  };
  w.done = [this, id](WriteOutcome, uint64_t) {
    if (ShardMachine* mine = state_.find_machine(id)) {
      mine->record_write_queued = false;
      mine->marking_for_deletion = false;
      dispatch_queue_.add(id);
    }
  };
  state_store_.write(std::move(w));
}

// In a fleet that comes up at once these were a third of all writes, and work waited behind them.
void MachineRecordWriter::record_address(ShardMachine& m) {
  m.address_queued = true;
  WriteRequest w;
  w.key = store::machine_key(m.id);
  w.cause = WriteCause::machine_address;
  w.prepare = [this, id = m.id](Prepared& p) {
    ShardMachine* mine = state_.find_machine(id);
    if (mine) mine->address_queued = false;
    const auto* durable = state_cache_.machine(id);
    if (!mine || !durable || durable->record.terminating() ||
        durable->record.address == mine->address)
      return false;
    const uint64_t held = membership_.shard_token(durable->record.shard);
    if (held == 0) return false;
    MachineRecord r = durable->record;
    r.address = mine->address;
    p.expected = durable->mod_revision;
    p.value = to_json(r);
    p.preconditions.push_back({store::shard_key(r.shard), held});
    return true;
  };
  w.done = [this, id = m.id](WriteOutcome, uint64_t) { dispatch_queue_.add(id); };
  state_store_.write(std::move(w));
}

}  // namespace rushtrestle::coordination

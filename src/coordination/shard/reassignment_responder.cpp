#include "coordination/shard/reassignment_responder.h"

#include <string>

namespace rushtrestle::coordination {

using store::JobKind;
using store::JobRecord;
using store::MachinePhase;
using store::MachineRecord;
using store::Placement;

void ReassignmentResponder::answer_reassignment(ShardMachine& machine) {
  const auto* durable = state_cache_.machine(machine.id);
  if (!durable || durable->record.phase != MachinePhase::reassignment_requested) return;
  const bool may_drain =
      durable->record.drain && (machine.non_preemptible == 0 || durable->record.next_shard < 0);
  if (!machine.placed.empty() && may_drain) {
    drain(machine, durable->record);
  } else {
    write_answer(machine);
  }
}

// Stops the machine's tasks, which save their progress if they can and are queued again. The
// cluster leader takes the machine for a team within its guarantee, or to release it because the
// work fits on fewer machines. A release (no next shard) must lose no work: tasks that can't save
// run on.
void ReassignmentResponder::drain(const ShardMachine& machine, const MachineRecord& durable) {
  const bool keep_progress = durable.next_shard < 0;
  job_writer_.stop_tasks(machine, [&](const JobRecord& job, const Placement& placement) {
    const bool would_lose_work = job.spec.kind != JobKind::service && job.spec.checkpoint_s <= 0;
    return !placement.stopping && !(keep_progress && would_lose_work);
  });
}

// Releases or moves a machine that is empty now and still is when the write is sent; keeps any
// other.
void ReassignmentResponder::write_answer(const ShardMachine& requested) {
  const bool was_empty = requested.placed.empty();
  const auto answer = [this, was_empty, id = requested.id](MachineRecord& record) {
    if (record.phase != MachinePhase::reassignment_requested) return false;
    const ShardMachine* machine = state_.find_machine(id);
    record.drain = false;
    if (was_empty && machine && machine->placed.empty()) {
      if (record.next_shard < 0) {
        record.phase = MachinePhase::released;
        return true;
      }
      record.shard = record.next_shard;
    }
    record.phase = MachinePhase::assigned;
    record.next_shard = -1;
    return true;
  };
  machine_writer_.enqueue(requested.id, WriteCause::machine_reassignment_answer, answer);
}

}  // namespace rushtrestle::coordination

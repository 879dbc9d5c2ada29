#include "coordination/shard/reassignment_responder.h"

#include <set>
#include <string>

namespace rushtrestle::coordination {

using store::JobKind;
using store::MachinePhase;
using store::MachineRecord;

void ReassignmentResponder::answer_reassignment(ShardMachine& m) {
  const auto* record = state_cache_.machine(m.id);
  if (!record || record->record.phase != MachinePhase::reassignment_requested) return;
  const bool empty = m.placed.empty();
  if (!empty && record->record.drain && (m.non_preemptible == 0 || record->record.next_shard < 0)) {
    // The leader takes it back, for a team within its guarantee or because its work fits on fewer
    // machines: what runs here is stopped, saved and queued again. For the latter alone no work is
    // lost.
    const bool spare_work = record->record.next_shard < 0;
    std::set<std::string> changed;
    for (const auto& [key, attempt] : m.placed)
      if (ShardJob* j = state_.find_job(key.first))
        for (auto& p : j->desired.placed)
          if (p.task == key.second && !p.stopping &&
              !(spare_work && j->desired.spec.kind != JobKind::service &&
                j->desired.spec.checkpoint_s <= 0)) {
            p.stopping = true;
            changed.insert(key.first);
          }
    for (const auto& id : changed) job_writer_.enqueue(id, WriteCause::stop);
    return;
  }
  machine_writer_.enqueue(m.id, WriteCause::machine_reassignment_answer,
                          [this, empty, id = m.id](MachineRecord& r) {
                            if (r.phase != MachinePhase::reassignment_requested) return false;
                            const ShardMachine* mine = state_.find_machine(id);
                            r.drain = false;
                            if (empty && mine && mine->placed.empty()) {
                              if (r.next_shard < 0) {
                                r.phase = MachinePhase::released;
                                return true;
                              }
                              r.shard = r.next_shard;
                            }
                            r.phase = MachinePhase::assigned;
                            r.next_shard = -1;
                            return true;
                          });
}

}  // namespace rushtrestle::coordination

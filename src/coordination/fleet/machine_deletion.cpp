#include "coordination/fleet/machine_deletion.h"

namespace rushtrestle::coordination {

using store::MachinePhase;
using store::MachineRecord;

namespace {

constexpr size_t kMaxMachinesPerRequest = 100;  // limit of the cloud's protocol

}  // namespace

void MachineDeletion::reset() {
  next_request_ = 0;
  request_in_flight_ = false;
  confirmed_.clear();
}

void MachineDeletion::tick() {
  if (!request_in_flight_ && context_.now >= next_request_ && cloud_budget_.ready(context_.now))
    delete_terminating();
}

std::vector<std::string> MachineDeletion::machines_to_delete() const {
  std::vector<std::string> machines;
  for (const auto& [id, machine] : state_cache_.terminating_machines()) {
    if (machines.size() == kMaxMachinesPerRequest) break;
    if (!confirmed_.count(id)) machines.push_back(id);
  }
  return machines;
}

void MachineDeletion::delete_terminating() {
  const std::vector<std::string> machines = machines_to_delete();
  if (machines.empty()) {
    next_request_ = context_.now + context_.settings.heartbeat_interval_s / 20;
    return;
  }
  request_in_flight_ = true;
  cloud_budget_.take(1);
  context_.call(DeleteMachines{machines}, context_.settings.lease_s / 3,
                [this, machines](CallDone&& done) { on_answer(done, machines); });
}

void MachineDeletion::on_answer(const CallDone& done, const std::vector<std::string>& machines) {
  request_in_flight_ = false;
  if (done.status != 200) {
    next_request_ = context_.now + context_.jitter(context_.settings.heartbeat_interval_s / 2);
    return;
  }
  for (const auto& id : machines) {
    confirmed_.insert(id);
    on_deleted_(id);
    record_deleted(id);
  }
}

void MachineDeletion::record_deleted(const std::string& machine) {
  // A machine that was marked for deletion may have had tasks, and work may wait for their end, so
  // its write is more urgent than that of a released machine, which was empty.
  const auto* known = state_cache_.machine(machine);
  const bool empty = known && known->record.phase == MachinePhase::released;
  records_.update(
      machine, empty ? WriteCause::machine_deleted_empty : WriteCause::machine_deleted_with_tasks,
      [](MachineRecord& record) {
        if (record.phase == MachinePhase::deleted || !record.terminating()) return false;
        record.phase = MachinePhase::deleted;
        return true;
      },
      [this, machine](WriteOutcome outcome, uint64_t) {
        if (outcome != WriteOutcome::applied) confirmed_.erase(machine);
      });
}

}  // namespace rushtrestle::coordination

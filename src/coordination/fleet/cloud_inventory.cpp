#include "coordination/fleet/cloud_inventory.h"

#include <algorithm>
#include <variant>

namespace rushtrestle::coordination {

using store::MachinePhase;
using store::MachineRecord;

void CloudInventory::reset() {
  next_list_ = 0;
  list_in_flight_ = false;
  listed_once_ = false;
  running_.clear();
}

void CloudInventory::tick() {
  if (!list_in_flight_ && context_.now >= next_list_ && cloud_budget_.ready(context_.now))
    list_page("");
}

void CloudInventory::list_page(const std::string& after) {
  list_in_flight_ = true;
  cloud_budget_.take(1);
  context_.call(ListMachines{after}, context_.settings.lease_s / 3,
                [this](CallDone&& done) { on_page_listed(done); });
}

void CloudInventory::on_page_listed(const CallDone& done) {
  list_in_flight_ = false;
  const auto* reply = std::get_if<ListMachinesReply>(&done.reply);
  if (done.status != 200 || !reply) {
    next_list_ = context_.now + context_.jitter(context_.settings.heartbeat_interval_s);
    return;
  }
  compare_with_records(reply->machines);
  if (reply->more && !reply->machines.empty()) {
    list_page(reply->machines.back().id);
    return;
  }
  listed_once_ = true;
  next_list_ = context_.now + std::max(context_.settings.list_lag_s, context_.settings.lease_s / 2);
}

void CloudInventory::compare_with_records(const std::vector<CloudMachine>& machines) {
  OrphanShardSelector shard_selector(context_, state_cache_, membership_, unrecorded_);
  // A provisioning request in flight may have created machines that its reply will name, so a
  // machine without a record is not adopted meanwhile.
  const bool provisioning_in_flight = provisioner_.request_in_flight();
  for (const auto& machine : machines) {
    if (machine.state == CloudMachine::State::running) running_.insert(machine.id);
    const auto* known = state_cache_.machine(machine.id);
    if (!known && !unrecorded_.contains(machine.id)) {
      if (!provisioning_in_flight) adopt(machine, shard_selector);
    } else if (known && machine.state == CloudMachine::State::failed &&
               !known->record.terminating()) {
      mark_failed_for_deletion(machine.id);
    }
  }
}

void CloudInventory::adopt(const CloudMachine& orphan, OrphanShardSelector& shard_selector) {
  MachineRecord record;
  record.id = orphan.id;
  record.address = "";
  record.type = orphan.type;
  record.zone = orphan.zone;
  record.spot = orphan.spot;
  record.since = context_.wall - orphan.age_s;
  // If this shard does not need the machine, MachineReassignment::reassign_unused moves it later.
  record.shard = shard_selector.select_shard(orphan.type);
  context_.info("machine_adopted machine=" + orphan.id + " shard=" + std::to_string(record.shard));
  unrecorded_.record(record);
}

void CloudInventory::mark_failed_for_deletion(const std::string& machine) {
  records_.update(machine, WriteCause::machine_marked_for_deletion, [](MachineRecord& record) {
    if (record.terminating()) return false;
    record.phase = MachinePhase::marked_for_deletion;
    return true;
  });
}

}  // namespace rushtrestle::coordination

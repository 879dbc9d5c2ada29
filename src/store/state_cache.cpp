#include "store/state_cache.h"

#include <utility>

namespace rushtrestle::store {

namespace {

bool has_prefix(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

/// Returns the part of a key after the prefix; none if the key does not begin with the prefix.
std::optional<std::string> id_in_key(const std::string& key, const char* prefix) {
  if (!has_prefix(key, prefix)) return std::nullopt;
  return key.substr(std::char_traits<char>::length(prefix));
}

template <class Map>
auto find_value(const Map& map, const std::string& key) -> decltype(&map.begin()->second) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

}  // namespace

// ---- changes ----

bool StateCache::apply(const Change& change) try {
  const std::string& key = change.key;
  if (has_prefix(key, kShardPrefix) || key == leader_key) {
    apply_lease_holder(change);
    return true;
  }
  // Only lease keys are ever deleted, so a deletion of any other key is ignored.
  if (!change.value) return true;
  if (const auto job = id_in_key(key, kJobPrefix)) {
    apply_job(*job, change);
  } else if (const auto machine = id_in_key(key, kMachinePrefix)) {
    apply_machine(*machine, change);
  } else if (const auto cancelled_job = id_in_key(key, kCancelPrefix)) {
    apply_cancellation(*cancelled_job, change);
  } else if (key == types_key) {
    apply_types(change);
  } else if (key == format_key) {
    apply_format(change);
  }
  return true;
} catch (const Json::exception&) {
  return false;
}

void StateCache::apply_job(const std::string& id, const Change& change) {
  if (change.mod_revision <= job_mod_revision(id)) return;
  Versioned<JobRecord> incoming{job_record_from_json(*change.value), change.mod_revision};
  // A record that is too large to be written again stays open; the cancellation beside it decides.
  if (incoming.record.status == JobStatus::open && cancel_revisions_.count(id))
    incoming.record.status = JobStatus::cancelled;
  const CancellationNovelty novelty = cancellation_novelty(id);
  const auto& stored = jobs_[id] = std::move(incoming);
  if (stored.record.status == JobStatus::cancelled)
    confirm_cancellation({id, change.mod_revision}, novelty);
  const bool finished = stored.record.final_state() && stored.record.placed.empty();
  finished_.erase(id);
  if (finished) {
    live_.erase(id);
  } else {
    live_.insert(id);
  }
  update_cancelled_live(id);
  listener_.on_job_changed(id);
  if (finished) compact_finished_job(id);
}

// Replaces the record of a finished job by the few fields that are still needed. With whole
// records, each job ever accepted permanently took 540 bytes in every controller: a fleet of 44,000
// jobs a day filled a controller of 37 MB on the second day, which then accepted no more jobs.
void StateCache::compact_finished_job(const std::string& id) {
  const auto node = jobs_.extract(id);
  const auto& stored = node.mapped();
  finished_[id] = {stored.mod_revision, stored.record.done.size(), stored.record.status};
}

void StateCache::apply_machine(const std::string& id, const Change& change) {
  const auto* old = machine(id);
  if (old && change.mod_revision <= old->mod_revision) return;
  Versioned<MachineRecord> incoming{machine_record_from_json(*change.value), change.mod_revision};
  if (!old || old->record.shard != incoming.record.shard) assigned_at_[id] = change.mod_revision;
  const auto& stored = machines_[id] = std::move(incoming);
  const bool deleted = stored.record.phase == MachinePhase::deleted;
  if (deleted) {
    present_machines_.erase(id);
    assigned_at_.erase(id);
  } else {
    present_machines_[id] = &stored;
  }
  if (!deleted && stored.record.terminating()) {
    terminating_machines_[id] = &stored;
  } else {
    terminating_machines_.erase(id);
  }
  listener_.on_machine_changed(id);
}

void StateCache::apply_types(const Change& change) {
  if (change.mod_revision <= types_revision_) return;
  types_ = types_record_from_json(*change.value);
  types_revision_ = change.mod_revision;
}

void StateCache::apply_format(const Change& change) {
  if (change.mod_revision <= format_revision_) return;
  record_format_ = record_format_from_json(*change.value);
  format_revision_ = change.mod_revision;
}

// The value is read before anything changes: a value that can't be read must leave the holder as it
// was, not the old one under the new revision.
void StateCache::apply_lease_holder(const Change& change) {
  auto& holder = lease_holders_[change.key];
  if (change.mod_revision <= holder.mod_revision) return;
  if (change.value) holder.record = lease_holder_from_json(*change.value);
  holder.mod_revision = change.mod_revision;
  holder.present = change.value.has_value();
  listener_.on_lease_holder_changed(change.key);
}

// ---- cancellations ----

void StateCache::apply_cancellation(const std::string& id, const Change& change) {
  auto& mod_revision = cancel_revisions_[id];
  if (change.mod_revision <= mod_revision) return;
  mod_revision = change.mod_revision;
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.record.final_state()) return;
  const CancellationNovelty novelty = cancellation_novelty(id);
  found->second.record.status = JobStatus::cancelled;
  confirm_cancellation({id, change.mod_revision}, novelty);
  update_cancelled_live(id);
  listener_.on_job_changed(id);
}

StateCache::CancellationNovelty StateCache::cancellation_novelty(const std::string& id) const {
  return cancelled(id) ? CancellationNovelty::already_known : CancellationNovelty::first_seen;
}

void StateCache::confirm_cancellation(const Cancellation& cancellation,
                                      CancellationNovelty novelty) {
  unconfirmed_cancellations_.erase(cancellation.job);
  if (novelty == CancellationNovelty::first_seen) cancellations_.push_back(cancellation);
}

void StateCache::add_unconfirmed_cancellation(const Cancellation& cancellation) {
  const std::string& id = cancellation.job;
  const auto* known = job(id);
  if (cancelled(id) || job_mod_revision(id) >= cancellation.mod_revision) return;
  unconfirmed_cancellations_.insert(id);
  cancellations_.push_back(cancellation);
  update_cancelled_live(id);
  if (known) listener_.on_job_changed(id);
}

void StateCache::update_cancelled_live(const std::string& id) {
  if (live_.count(id) != 0 && cancelled(id)) {
    cancelled_live_.insert(id);
  } else {
    cancelled_live_.erase(id);
  }
}

bool StateCache::cancelled(const std::string& id) const {
  if (const auto* live = job(id); live && live->record.status == JobStatus::cancelled) return true;
  if (const auto* finished = finished_job(id); finished && finished->status == JobStatus::cancelled)
    return true;
  return unconfirmed_cancellations_.count(id) != 0;
}

// ---- queries ----

const Versioned<JobRecord>* StateCache::job(const std::string& id) const {
  return find_value(jobs_, id);
}

const FinishedJob* StateCache::finished_job(const std::string& id) const {
  return find_value(finished_, id);
}

const Versioned<MachineRecord>* StateCache::machine(const std::string& id) const {
  return find_value(machines_, id);
}

uint64_t StateCache::assigned_to_shard_at(const std::string& machine) const {
  const auto* mod_revision = find_value(assigned_at_, machine);
  return mod_revision ? *mod_revision : 0;
}

const LeaseHolder* StateCache::lease_holder(const std::string& key) const {
  return find_value(lease_holders_, key);
}

uint64_t StateCache::job_mod_revision(const std::string& id) const {
  if (const auto* live = job(id)) return live->mod_revision;
  const auto* finished = finished_job(id);
  return finished ? finished->mod_revision : 0;
}

uint64_t StateCache::cancel_mod_revision(const std::string& id) const {
  const auto* mod_revision = find_value(cancel_revisions_, id);
  return mod_revision ? *mod_revision : 0;
}

uint64_t StateCache::mod_revision_of(const std::string& key) const {
  if (const auto job = id_in_key(key, kJobPrefix)) return job_mod_revision(*job);
  if (const auto id = id_in_key(key, kMachinePrefix)) {
    const auto* known = machine(*id);
    return known ? known->mod_revision : 0;
  }
  if (const auto cancelled_job = id_in_key(key, kCancelPrefix))
    return cancel_mod_revision(*cancelled_job);
  if (key == types_key) return types_revision_;
  if (key == format_key) return format_revision_;
  const auto* holder = lease_holder(key);
  return holder && holder->present ? holder->mod_revision : 0;
}

const MachineType* StateCache::type(const std::string& name) const {
  for (const auto& type : types_)
    if (type.name == name) return &type;
  return nullptr;
}

}  // namespace rushtrestle::store

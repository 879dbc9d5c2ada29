#include "store/state_cache.h"

namespace rushtrestle::store {

namespace {
bool has_prefix(const std::string& s, const char* prefix) { return s.rfind(prefix, 0) == 0; }
template <class Map>
auto find_in(const Map& map, const std::string& key) -> decltype(&map.begin()->second) {
  auto it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}
}  // namespace

bool StateCache::apply(const Change& change) try {
  const std::string& key = change.key;
  if (has_prefix(key, "job/")) {
    if (change.value) apply_job(key.substr(4), change);
  } else if (has_prefix(key, "machine/")) {
    if (change.value) apply_machine(key.substr(8), change);
  } else if (has_prefix(key, "cancel/")) {
    if (change.value) apply_cancellation(key.substr(7), change);
  } else if (key == types_key) {
    if (change.value) apply_types(change);
  } else if (key == format_key) {
    if (change.value) apply_format(change);
  } else if (has_prefix(key, "part/") || key == leader_key) {
    apply_lease_holder(change);
  }
  return true;
} catch (const Json::exception&) {
  return false;
}

void StateCache::apply_job(const std::string& id, const Change& change) {
  if (change.mod_revision <= job_mod_revision(id)) return;
  Versioned<JobRecord> fresh{job_record_from_json(*change.value), change.mod_revision};
  // The record could not be written again: the cancellation beside it is its status.
  if (fresh.record.status == JobStatus::open && cancel_revisions_.count(id))
    fresh.record.status = JobStatus::cancelled;
  const bool known_before = cancelled(id);
  const auto& slot = jobs_[id] = std::move(fresh);
  if (slot.record.status == JobStatus::cancelled)
    note_cancelled(id, change.mod_revision, known_before);
  const bool over = slot.record.final_state() && slot.record.placed.empty();
  finished_.erase(id);
  if (over) {
    live_.erase(id);
  } else {
    live_.insert(id);
  }
  listener_.on_job_changed(id);
  if (over) finish_job(id);
}

// With its whole record each job that was ever accepted kept 540 bytes in every controller for
// ever, and a fleet of 44,000 jobs a day filled one of 37 MB on the second day, which from then on
// accepted nothing.
void StateCache::finish_job(const std::string& id) {
  const auto node = jobs_.extract(id);
  const auto& last = node.mapped();
  finished_[id] = {last.mod_revision, last.record.done.size(), last.record.status};
}

uint64_t StateCache::job_mod_revision(const std::string& id) const {
  if (const auto* live = job(id)) return live->mod_revision;
  const auto* finished = finished_job(id);
  return finished ? finished->mod_revision : 0;
}

void StateCache::apply_cancellation(const std::string& id, const Change& change) {
  auto& mod_revision = cancel_revisions_[id];
  if (change.mod_revision <= mod_revision) return;
  mod_revision = change.mod_revision;
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.record.final_state()) return;
  const bool known_before = cancelled(id);
  it->second.record.status = JobStatus::cancelled;
  note_cancelled(id, change.mod_revision, known_before);
  listener_.on_job_changed(id);
}

void StateCache::note_cancelled(const std::string& id, uint64_t mod_revision, bool known_before) {
  unconfirmed_cancellations_.erase(id);
  if (!known_before) cancellations_.push_back({id, mod_revision});
}

void StateCache::apply_machine(const std::string& id, const Change& change) {
  if (const auto* old = machine(id); old && change.mod_revision <= old->mod_revision) return;
  Versioned<MachineRecord> fresh{machine_record_from_json(*change.value), change.mod_revision};
  const auto& stored = machines_[id] = std::move(fresh);
  const bool gone = stored.record.phase == MachinePhase::deleted;
  if (gone) {
    present_machines_.erase(id);
  } else {
    present_machines_[id] = &stored;
  }
  if (!gone && stored.record.terminating()) {
    terminating_machines_[id] = &stored;
  } else {
    terminating_machines_.erase(id);
  }
  listener_.on_machine_changed(id);
}

void StateCache::apply_types(const Change& change) {
  if (change.mod_revision <= types_revision_) return;
  types_ = types_from_json(change.value->at("types"));
  types_revision_ = change.mod_revision;
}

void StateCache::apply_format(const Change& change) {
  if (change.mod_revision <= format_revision_) return;
  record_format_ = change.value->at("reads").get<uint64_t>();
  format_revision_ = change.mod_revision;
}

void StateCache::apply_lease_holder(const Change& change) {
  auto& slot = lease_holders_[change.key];
  if (change.mod_revision <= slot.mod_revision) return;
  slot.mod_revision = change.mod_revision;
  slot.present = change.value.has_value();
  if (change.value) slot.record = lease_holder_from_json(*change.value);
  listener_.on_lease_holder_changed(change.key);
}

void StateCache::add_unconfirmed_cancellation(const Cancellation& c) {
  const auto* known = job(c.job);
  if (cancelled(c.job) || job_mod_revision(c.job) >= c.mod_revision) return;
  unconfirmed_cancellations_.insert(c.job);
  cancellations_.push_back(c);
  if (known) listener_.on_job_changed(c.job);
}

bool StateCache::cancelled(const std::string& id) const {
  if (const auto* live = job(id))
    return live->record.status == JobStatus::cancelled || unconfirmed_cancellations_.count(id) != 0;
  const auto* finished = finished_job(id);
  return (finished && finished->status == JobStatus::cancelled) ||
         unconfirmed_cancellations_.count(id) != 0;
}

const Versioned<JobRecord>* StateCache::job(const std::string& id) const {
  return find_in(jobs_, id);
}
const FinishedJob* StateCache::finished_job(const std::string& id) const {
  return find_in(finished_, id);
}
const Versioned<MachineRecord>* StateCache::machine(const std::string& id) const {
  return find_in(machines_, id);
}
const LeaseHolder* StateCache::lease_holder(const std::string& key) const {
  return find_in(lease_holders_, key);
}

uint64_t StateCache::mod_revision_of(const std::string& key) const {
  if (has_prefix(key, "job/")) return job_mod_revision(key.substr(4));
  if (has_prefix(key, "machine/")) {
    const auto* m = machine(key.substr(8));
    return m ? m->mod_revision : 0;
  }
  if (has_prefix(key, "cancel/")) {
    const auto* mod_revision = find_in(cancel_revisions_, key.substr(7));
    return mod_revision ? *mod_revision : 0;
  }
  if (key == types_key) return types_revision_;
  if (key == format_key) return format_revision_;
  const auto* h = lease_holder(key);
  return h && h->present ? h->mod_revision : 0;
}

const MachineType* StateCache::type(const std::string& name) const {
  for (const auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

}  // namespace rushtrestle::store

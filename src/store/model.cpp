#include "store/model.h"

namespace rushtrestle::store {

namespace {
bool has_prefix(const std::string& s, const char* prefix) { return s.rfind(prefix, 0) == 0; }
template <class Map>
auto find_in(const Map& map, const std::string& key) -> decltype(&map.begin()->second) {
  auto it = map.find(key);
  return it == map.end() ? nullptr : &it->second;
}
}  // namespace

bool Model::apply(const Change& change) try {
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
    apply_holder(change);
  }
  return true;
} catch (const Json::exception&) {
  return false;
}

void Model::apply_job(const std::string& id, const Change& change) {
  if (change.stamp <= job_stamp(id)) return;
  Stamped<JobRecord> fresh{job_record_from_json(*change.value), change.stamp};
  // The record could not be written again: the cancellation beside it is its status.
  if (fresh.record.status == JobStatus::open && cancel_stamps_.count(id)) fresh.record.status = JobStatus::cancelled;
  const bool known_before = cancelled(id);
  const auto& slot = jobs_[id] = std::move(fresh);
  if (slot.record.status == JobStatus::cancelled) note_cancelled(id, change.stamp, known_before);
  const bool over = slot.record.final_state() && slot.record.placed.empty();
  finished_.erase(id);
  if (over) {
    live_.erase(id);
  } else {
    live_.insert(id);
  }
  listener_.job_changed(id);
  if (over) finish_job(id);
}

// With its whole record each job that was ever accepted kept 540 bytes in every controller for ever, and a fleet of 44,000
// jobs a day filled one of 37 MB on the second day, which from then on accepted nothing.
void Model::finish_job(const std::string& id) {
  const auto node = jobs_.extract(id);
  const auto& last = node.mapped();
  finished_[id] = {last.stamp, last.record.done.size(), last.record.status};
}

uint64_t Model::job_stamp(const std::string& id) const {
  if (const auto* live = job(id)) return live->stamp;
  const auto* finished = finished_job(id);
  return finished ? finished->stamp : 0;
}

void Model::apply_cancellation(const std::string& id, const Change& change) {
  auto& stamp = cancel_stamps_[id];
  if (change.stamp <= stamp) return;
  stamp = change.stamp;
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.record.final_state()) return;
  const bool known_before = cancelled(id);
  it->second.record.status = JobStatus::cancelled;
  note_cancelled(id, change.stamp, known_before);
  listener_.job_changed(id);
}

void Model::note_cancelled(const std::string& id, uint64_t stamp, bool known_before) {
  hearsay_.erase(id);
  if (!known_before) cancellations_.push_back({id, stamp});
}

void Model::apply_machine(const std::string& id, const Change& change) {
  if (const auto* old = machine(id); old && change.stamp <= old->stamp) return;
  Stamped<MachineRecord> fresh{machine_record_from_json(*change.value), change.stamp};
  const auto& stored = machines_[id] = std::move(fresh);
  const bool gone = stored.record.phase == MachinePhase::gone;
  if (gone) {
    present_machines_.erase(id);
  } else {
    present_machines_[id] = &stored;
  }
  if (!gone && stored.record.doomed()) {
    doomed_machines_[id] = &stored;
  } else {
    doomed_machines_.erase(id);
  }
  listener_.machine_changed(id);
}

void Model::apply_types(const Change& change) {
  if (change.stamp <= types_stamp_) return;
  types_ = types_from_json(change.value->at("types"));
  types_stamp_ = change.stamp;
}

void Model::apply_format(const Change& change) {
  if (change.stamp <= format_stamp_) return;
  record_format_ = change.value->at("reads").get<uint64_t>();
  format_stamp_ = change.stamp;
}

void Model::apply_holder(const Change& change) {
  auto& slot = holders_[change.key];
  if (change.stamp <= slot.stamp) return;
  slot.stamp = change.stamp;
  slot.present = change.value.has_value();
  if (change.value) slot.record = holder_from_json(*change.value);
  listener_.holder_changed(change.key);
}

void Model::hear(const Cancellation& c) {
  const auto* known = job(c.job);
  if (cancelled(c.job) || job_stamp(c.job) >= c.stamp) return;
  hearsay_.insert(c.job);
  cancellations_.push_back(c);
  if (known) listener_.job_changed(c.job);
}

bool Model::cancelled(const std::string& id) const {
  if (const auto* live = job(id)) return live->record.status == JobStatus::cancelled || hearsay_.count(id) != 0;
  const auto* finished = finished_job(id);
  return (finished && finished->status == JobStatus::cancelled) || hearsay_.count(id) != 0;
}

const Stamped<JobRecord>* Model::job(const std::string& id) const { return find_in(jobs_, id); }
const FinishedJob* Model::finished_job(const std::string& id) const { return find_in(finished_, id); }
const Stamped<MachineRecord>* Model::machine(const std::string& id) const { return find_in(machines_, id); }
const Holder* Model::holder(const std::string& key) const { return find_in(holders_, key); }

uint64_t Model::stamp_of(const std::string& key) const {
  if (has_prefix(key, "job/")) return job_stamp(key.substr(4));
  if (has_prefix(key, "machine/")) {
    const auto* m = machine(key.substr(8));
    return m ? m->stamp : 0;
  }
  if (has_prefix(key, "cancel/")) {
    const auto* stamp = find_in(cancel_stamps_, key.substr(7));
    return stamp ? *stamp : 0;
  }
  if (key == types_key) return types_stamp_;
  if (key == format_key) return format_stamp_;
  const auto* h = holder(key);
  return h && h->present ? h->stamp : 0;
}

const MachineType* Model::type(const std::string& name) const {
  for (const auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

}  // namespace rushtrestle::store

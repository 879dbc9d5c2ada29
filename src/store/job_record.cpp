#include "store/job_record.h"

#include <algorithm>

namespace rushtrestle::store {

namespace {

// Keys of the JSON form of a job's specification.
constexpr const char* kId = "id";
constexpr const char* kJobClass = "class";
constexpr const char* kTeam = "team";
constexpr const char* kKind = "kind";
constexpr const char* kRank = "rank";
constexpr const char* kTasks = "tasks";
constexpr const char* kCpus = "cpus";
constexpr const char* kGpus = "gpus";
constexpr const char* kMemoryGb = "mem";
constexpr const char* kTypes = "types";
constexpr const char* kZone = "zone";
constexpr const char* kOneZone = "one_zone";
constexpr const char* kSpread = "spread";
constexpr const char* kSpot = "spot";
constexpr const char* kImage = "image";
constexpr const char* kImageGb = "gb";
constexpr const char* kEstimateS = "est";
constexpr const char* kCheckpointS = "ckpt";
constexpr const char* kSaveS = "save";
constexpr const char* kDeadlineS = "due";

// Keys of the JSON form of a job's record.
constexpr const char* kSpec = "job";
constexpr const char* kStatus = "status";
constexpr const char* kWrittenAt = "at";  // time of submission or of cancellation
constexpr const char* kLastStart = "start";
constexpr const char* kNotBefore = "not_before";
constexpr const char* kAttempts = "tries";
constexpr const char* kDone = "done";
constexpr const char* kPlaced = "placed";

// A placement is encoded as an array: task, machine, attempt, flags.
constexpr int kRunningFlag = 1;
constexpr int kStoppingFlag = 2;

/// Reads a task's number or a number of tasks. The scheduler's loops are bounded by it.
uint32_t task_number(const Json& json, uint32_t largest) {
  const auto number = json.get<uint64_t>();
  if (number > largest) throw Json::out_of_range::create(kOutOfRange, "too many tasks", &json);
  return static_cast<uint32_t>(number);
}

Json to_json(const Placement& placement) {
  const int flags =
      (placement.running ? kRunningFlag : 0) | (placement.stopping ? kStoppingFlag : 0);
  return Json::array({placement.task, placement.machine, placement.attempt, flags});
}

Placement placement_from_json(const Json& json) {
  const int flags = json.at(3).get<int>();
  return {task_number(json.at(0), kMaxTasks - 1), json.at(1).get<std::string>(),
          json.at(2).get<uint64_t>(), (flags & kRunningFlag) != 0, (flags & kStoppingFlag) != 0};
}

}  // namespace

const Placement* JobRecord::placement_of(uint32_t task) const {
  for (const auto& placement : placed)
    if (placement.task == task) return &placement;
  return nullptr;
}

const Placement* JobRecord::same_placement(const Placement& placement) const {
  const Placement* own = placement_of(placement.task);
  const bool same = own && own->attempt == placement.attempt && own->machine == placement.machine;
  return same ? own : nullptr;
}

uint32_t JobRecord::running() const {
  return static_cast<uint32_t>(std::count_if(
      placed.begin(), placed.end(), [](const Placement& placement) { return placement.running; }));
}

Json to_json(const JobSpec& spec) {
  Json json = {
      {kId, spec.id},       {kJobClass, spec.job_class}, {kTeam, spec.team},
      {kTasks, spec.tasks}, {kCpus, spec.per_task.cpus}, {kMemoryGb, spec.per_task.memory_gb},
      {kImage, spec.image}, {kImageGb, spec.image_gb},   {kRank, static_cast<int>(spec.rank)}};
  if (spec.kind != JobKind::array) json[kKind] = static_cast<int>(spec.kind);
  if (spec.per_task.gpus > 0) json[kGpus] = spec.per_task.gpus;
  if (spec.types) json[kTypes] = *spec.types;
  if (spec.zone) json[kZone] = *spec.zone;
  if (spec.one_zone) json[kOneZone] = true;
  if (spec.spread) json[kSpread] = true;
  if (spec.spot) json[kSpot] = true;
  if (spec.estimate_s > 0) json[kEstimateS] = spec.estimate_s;
  if (spec.checkpoint_s > 0) json[kCheckpointS] = spec.checkpoint_s;
  if (spec.save_s > 0) json[kSaveS] = spec.save_s;
  if (spec.deadline_s) json[kDeadlineS] = *spec.deadline_s;
  return json;
}

JobSpec job_spec_from_json(const Json& json) {
  JobSpec spec;
  spec.id = json.at(kId).get<std::string>();
  spec.job_class = json.at(kJobClass).get<std::string>();
  spec.team = json.at(kTeam).get<std::string>();
  spec.kind = enumerator_from_json(get_or<Json>(json, kKind, 0), JobKind::gang);
  spec.rank = enumerator_from_json(json.at(kRank), Rank::production);
  spec.tasks = task_number(json.at(kTasks), kMaxTasks);
  spec.per_task = {json.at(kCpus).get<double>(), get_or(json, kGpus, 0.0),
                   json.at(kMemoryGb).get<double>()};
  if (json.contains(kTypes)) spec.types = json[kTypes].get<std::vector<std::string>>();
  if (json.contains(kZone)) spec.zone = json[kZone].get<std::string>();
  spec.one_zone = get_or(json, kOneZone, false);
  spec.spread = get_or(json, kSpread, false);
  spec.spot = get_or(json, kSpot, false);
  spec.image = json.at(kImage).get<std::string>();
  spec.image_gb = json.at(kImageGb).get<double>();
  spec.estimate_s = get_or(json, kEstimateS, 0.0);
  spec.checkpoint_s = get_or(json, kCheckpointS, 0.0);
  spec.save_s = get_or(json, kSaveS, 0.0);
  if (json.contains(kDeadlineS)) spec.deadline_s = json[kDeadlineS].get<double>();
  return spec;
}

Json to_json(const JobRecord& record) {
  Json json = {{kSpec, to_json(record.spec)},
               {kStatus, static_cast<int>(record.status)},
               {kWrittenAt, record.submitted}};
  if (record.last_start > 0) json[kLastStart] = record.last_start;
  if (record.not_before > 0) json[kNotBefore] = record.not_before;
  if (record.attempts > 0) json[kAttempts] = record.attempts;
  if (record.done.size() > 0) json[kDone] = record.done.to_json();
  if (!record.placed.empty()) {
    Json placed = Json::array();
    for (const auto& placement : record.placed) placed.push_back(to_json(placement));
    json[kPlaced] = std::move(placed);
  }
  return json;
}

JobRecord job_record_from_json(const Json& json) {
  JobRecord record;
  record.spec = job_spec_from_json(json.at(kSpec));
  record.status = enumerator_from_json(json.at(kStatus), JobStatus::done);
  record.submitted = json.at(kWrittenAt).get<double>();
  record.last_start = get_or(json, kLastStart, 0.0);
  record.not_before = get_or(json, kNotBefore, 0.0);
  record.attempts = get_or<uint64_t>(json, kAttempts, 0);
  if (json.contains(kDone)) record.done = TaskSet::from_json(json[kDone]);
  if (json.contains(kPlaced))
    for (const auto& placement : json[kPlaced])
      record.placed.push_back(placement_from_json(placement));
  return record;
}

Json cancellation_to_json(double cancelled_at) { return {{kWrittenAt, cancelled_at}}; }

}  // namespace rushtrestle::store

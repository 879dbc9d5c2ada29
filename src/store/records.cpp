#include "store/records.h"

#include <algorithm>

namespace rushtrestle::store {

bool TaskSet::contains(uint32_t task) const {
  auto it = runs_.upper_bound(task);
  return it != runs_.begin() && std::prev(it)->second >= task;
}

void TaskSet::insert(uint32_t task) {
  if (contains(task)) return;
  ++size_;
  auto next = runs_.upper_bound(task);
  const bool joins_next = next != runs_.end() && next->first == task + 1;
  if (next != runs_.begin() && std::prev(next)->second + 1 == task) {
    auto prev = std::prev(next);
    prev->second = joins_next ? next->second : task;
    if (joins_next) runs_.erase(next);
  } else if (joins_next) {
    const uint32_t last = next->second;
    runs_.erase(next);
    runs_[task] = last;
  } else {
    runs_[task] = task;
  }
}

uint32_t TaskSet::first_missing(uint32_t from) const {
  auto it = runs_.upper_bound(from);
  if (it == runs_.begin()) return from;
  const uint32_t last = std::prev(it)->second;
  return last >= from ? last + 1 : from;
}

Json TaskSet::to_json() const {
  Json j = Json::array();
  for (auto [first, last] : runs_) {
    j.push_back(first);
    j.push_back(last);
  }
  return j;
}

TaskSet TaskSet::from_json(const Json& j) {
  TaskSet s;
  for (size_t i = 0; i + 1 < j.size(); i += 2) {
    const auto first = j[i].get<uint32_t>(), last = j[i + 1].get<uint32_t>();
    s.runs_[first] = last;
    s.size_ += last - first + 1;
  }
  return s;
}

const Placement* JobRecord::placement_of(uint32_t task) const {
  for (const auto& p : placed)
    if (p.task == task) return &p;
  return nullptr;
}

const Placement* JobRecord::same_placement(const Placement& p) const {
  const Placement* mine = placement_of(p.task);
  return mine && mine->attempt == p.attempt && mine->machine == p.machine ? mine : nullptr;
}

uint32_t JobRecord::running() const {
  return static_cast<uint32_t>(
      std::count_if(placed.begin(), placed.end(), [](const Placement& p) { return p.running; }));
}

size_t stored_size(const Json& value) {
  const std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto separators =
      std::count_if(text.begin(), text.end(), [](char c) { return c == ',' || c == ':'; });
  return text.size() + static_cast<size_t>(separators);
}

namespace {
template <class T>
T get_or(const Json& j, const char* key, T fallback) {
  auto it = j.find(key);
  return it == j.end() || it->is_null() ? fallback : it->get<T>();
}
}  // namespace

Json to_json(const JobSpec& s) {
  Json j = {{"id", s.id},       {"class", s.job_class},    {"team", s.team},
            {"tasks", s.tasks}, {"cpus", s.per_task.cpus}, {"mem", s.per_task.memory_gb},
            {"image", s.image}, {"gb", s.image_gb},        {"rank", static_cast<int>(s.rank)}};
  if (s.kind != JobKind::array) j["kind"] = static_cast<int>(s.kind);
  if (s.per_task.gpus > 0) j["gpus"] = s.per_task.gpus;
  if (s.types) j["types"] = *s.types;
  if (s.zone) j["zone"] = *s.zone;
  if (s.one_zone) j["one_zone"] = true;
  if (s.spread) j["spread"] = true;
  if (s.spot) j["spot"] = true;
  if (s.estimate_s > 0) j["est"] = s.estimate_s;
  if (s.checkpoint_s > 0) j["ckpt"] = s.checkpoint_s;
  if (s.save_s > 0) j["save"] = s.save_s;
  if (s.deadline_s) j["due"] = *s.deadline_s;
  return j;
}

JobSpec job_spec_from_json(const Json& j) {
  JobSpec s;
  s.id = j.at("id").get<std::string>();
  s.job_class = j.at("class").get<std::string>();
  s.team = j.at("team").get<std::string>();
  s.kind = static_cast<JobKind>(get_or(j, "kind", 0));
  s.rank = static_cast<Rank>(j.at("rank").get<int>());
  s.tasks = j.at("tasks").get<uint32_t>();
  s.per_task = {j.at("cpus").get<double>(), get_or(j, "gpus", 0.0), j.at("mem").get<double>()};
  if (j.contains("types")) s.types = j["types"].get<std::vector<std::string>>();
  if (j.contains("zone")) s.zone = j["zone"].get<std::string>();
  s.one_zone = get_or(j, "one_zone", false);
  s.spread = get_or(j, "spread", false);
  s.spot = get_or(j, "spot", false);
  s.image = j.at("image").get<std::string>();
  s.image_gb = j.at("gb").get<double>();
  s.estimate_s = get_or(j, "est", 0.0);
  s.checkpoint_s = get_or(j, "ckpt", 0.0);
  s.save_s = get_or(j, "save", 0.0);
  if (j.contains("due")) s.deadline_s = j["due"].get<double>();
  return s;
}

Json to_json(const JobRecord& r) {
  Json j = {{"job", to_json(r.spec)}, {"status", static_cast<int>(r.status)}, {"at", r.submitted}};
  if (r.last_start > 0) j["start"] = r.last_start;
  if (r.not_before > 0) j["not_before"] = r.not_before;
  if (r.attempts > 0) j["tries"] = r.attempts;
  if (r.done.size() > 0) j["done"] = r.done.to_json();
  if (!r.placed.empty()) {
    Json placed = Json::array();
    for (const auto& p : r.placed)
      placed.push_back({p.task, p.machine, p.attempt, (p.running ? 1 : 0) | (p.stopping ? 2 : 0)});
    j["placed"] = std::move(placed);
  }
  return j;
}

JobRecord job_record_from_json(const Json& j) {
  JobRecord r;
  r.spec = job_spec_from_json(j.at("job"));
  r.status = static_cast<JobStatus>(j.at("status").get<int>());
  r.submitted = j.at("at").get<double>();
  r.last_start = get_or(j, "start", 0.0);
  r.not_before = get_or(j, "not_before", 0.0);
  r.attempts = get_or<uint64_t>(j, "tries", 0);
  if (j.contains("done")) r.done = TaskSet::from_json(j["done"]);
  if (j.contains("placed")) {
    for (const auto& p : j["placed"]) {
      const int flags = p.at(3).get<int>();
      r.placed.push_back(Placement{p.at(0).get<uint32_t>(), p.at(1).get<std::string>(),
                                   p.at(2).get<uint64_t>(), (flags & 1) != 0, (flags & 2) != 0});
    }
  }
  return r;
}

Json to_json(const MachineRecord& r) {
  Json j = {{"id", r.id},
            {"type", r.type},
            {"zone", r.zone},
            {"part", r.shard},
            {"phase", static_cast<int>(r.phase)},
            {"at", r.since}};
  if (!r.address.empty()) j["addr"] = r.address;
  if (r.spot) j["spot"] = true;
  if (r.next_shard >= 0) j["next"] = r.next_shard;
  if (r.drain) j["drain"] = true;
  return j;
}

MachineRecord machine_record_from_json(const Json& j) {
  MachineRecord r;
  r.id = j.at("id").get<std::string>();
  r.type = j.at("type").get<std::string>();
  r.zone = j.at("zone").get<std::string>();
  r.shard = j.at("part").get<int>();
  r.phase = static_cast<MachinePhase>(j.at("phase").get<int>());
  r.since = j.at("at").get<double>();
  r.address = get_or<std::string>(j, "addr", "");
  r.spot = get_or(j, "spot", false);
  r.next_shard = get_or(j, "next", -1);
  r.drain = get_or(j, "drain", false);
  return r;
}

Json to_json(const LeaseHolderRecord& r) { return {{"node", r.node}, {"inc", r.incarnation}}; }

LeaseHolderRecord lease_holder_from_json(const Json& j) {
  return {j.at("node").get<std::string>(), j.at("inc").get<std::string>()};
}

Json to_json(const std::vector<MachineType>& types) {
  Json j = Json::array();
  for (const auto& t : types)
    j.push_back({{"name", t.name},
                 {"cpus", t.size.cpus},
                 {"gpus", t.size.gpus},
                 {"mem", t.size.memory_gb},
                 {"cache", t.cache_gb},
                 {"fetch", t.fetch_gb_per_s},
                 {"price", t.price},
                 {"spot", t.spot_price},
                 {"boot", t.boot_s},
                 {"zones", t.zones}});
  return j;
}

std::vector<MachineType> types_from_json(const Json& j) {
  std::vector<MachineType> types;
  for (const auto& t : j)
    types.push_back(
        {t.at("name").get<std::string>(),
         {t.at("cpus").get<double>(), t.at("gpus").get<double>(), t.at("mem").get<double>()},
         t.at("cache").get<double>(),
         t.at("fetch").get<double>(),
         t.at("price").get<double>(),
         t.at("spot").get<double>(),
         t.at("boot").get<double>(),
         t.at("zones").get<std::vector<std::string>>()});
  return types;
}

}  // namespace rushtrestle::store

// The records in the state service and their form there.
#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "store/domain.h"

namespace rushtrestle::store {

using Json = nlohmann::json;

/// Task numbers that are done, as sorted runs: tasks start in order, so few holes appear
/// and a job of 100,000 tasks still fits into one value.
class TaskSet {
 public:
  bool contains(uint32_t task) const;
  void insert(uint32_t task);
  uint32_t size() const { return size_; }
  /// The lowest task at or after `from` that is not in the set.
  uint32_t first_missing(uint32_t from) const;
  Json to_json() const;
  static TaskSet from_json(const Json& j);
  const std::map<uint32_t, uint32_t>& runs() const { return runs_; }

 private:
  std::map<uint32_t, uint32_t> runs_;  // first -> last
  uint32_t size_ = 0;
};

struct Placement {
  uint32_t task = 0;
  std::string machine;
  uint64_t attempt = 0;
  bool running = false;   // reported running; for display and for last_start
  bool stopping = false;  // an eviction was committed: stop it, then queue it again
};

struct JobRecord {
  JobSpec spec;
  JobStatus status = JobStatus::open;
  double submitted = 0;   // time of day
  double last_start = 0;  // time of day, rewritten at every start; 0: never started
  double not_before = 0;  // cooldown after a committed requeue
  uint64_t attempts = 0;  // attempts are numbered through the whole job
  TaskSet done;
  std::vector<Placement> placed;

  bool final_state() const { return status != JobStatus::open; }
  const Placement* placement_of(uint32_t task) const;
  /// The very same: a placement that was given up and then carried out late has this one's attempt
  /// number, too.
  const Placement* same_placement(const Placement& p) const;
  uint32_t running() const;
};

enum class MachinePhase {
  assigned,                // belongs to its part
  reassignment_requested,  // the cluster leader asks its shard leader for it: to release it, or to
                           // move it to `next_shard`
  released,                // empty, to be deleted; never left but for `deleted`
  marked_for_deletion,     // not to be trusted, to be deleted; never left but for `deleted`
  deleted                  // the cloud confirmed the deletion
};

struct MachineRecord {
  std::string id, address, type, zone;
  bool spot = false;
  int shard = 0;
  int next_shard = -1;  // with `reassignment_requested`: where it goes; -1: release
  bool drain = false;   // with `reassignment_requested`: what may be stopped on it is to make room
  MachinePhase phase = MachinePhase::assigned;
  double since = 0;  // time of day of renting or adoption

  bool usable() const { return phase == MachinePhase::assigned; }
  bool terminating() const {
    return phase == MachinePhase::released || phase == MachinePhase::marked_for_deletion ||
           phase == MachinePhase::deleted;
  }
};

/// part/<i> and leader: who holds it.
struct LeaseHolderRecord {
  std::string node;
  std::string incarnation;
};

/// Bytes that a value takes by the state service's count, which is of its JSON form; with a space
/// after each separator, as some writers put there.
size_t stored_size(const Json& value);

Json to_json(const JobSpec& s);
JobSpec job_spec_from_json(const Json& j);
Json to_json(const JobRecord& r);
JobRecord job_record_from_json(const Json& j);
Json to_json(const MachineRecord& r);
MachineRecord machine_record_from_json(const Json& j);
Json to_json(const LeaseHolderRecord& r);
LeaseHolderRecord lease_holder_from_json(const Json& j);
Json to_json(const std::vector<MachineType>& types);
std::vector<MachineType> types_from_json(const Json& j);

inline std::string job_key(const std::string& id) { return "job/" + id; }
/// A cancellation beside a job record that is too large to be written again. Its key counts as the
/// record's status.
inline std::string cancel_key(const std::string& id) { return "cancel/" + id; }
inline std::string machine_key(const std::string& id) { return "machine/" + id; }
inline std::string shard_key(int shard) { return "part/" + std::to_string(shard); }
inline const std::string leader_key = "leader";
inline const std::string types_key = "types";
/// Names the record format that every controller is known to read.
inline const std::string format_key = "format";

/// The newest record format that this version reads. 0: job, machine, holder and type records, as
/// read by every version. 1: cancellations beside job records.
constexpr uint64_t kRecordFormat = 1;

}  // namespace rushtrestle::store

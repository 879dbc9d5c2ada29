// StateCache: this controller's copy of the state store, as far as the controller knows it.
//
// The cache is updated by list-and-watch, the outcomes of the controller's own writes, single reads
// and peers (unconfirmed cancellations), and is read by all modules of coordination. The listener
// is notified of each change after the cache has applied it.
//
// Invariants:
// - The newest mod revision ever seen of a key wins, so changes may be applied in any order and
//   more than once.
// - A job is in exactly one of `jobs_` and `finished_`. A job that is finished and holds no machine
//   is in `jobs_` only while the listener is notified of that.
// - A job or a machine never leaves the cache.
// - `present_machines_` and `terminating_machines_` point to nodes of `machines_`, which are never
//   erased.
// - A job is in `cancellations_` at most once, added when its cancellation first becomes known.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/records.h"

namespace rushtrestle::store {

/// A change to a key of the state store.
struct Change {
  std::string key;
  std::optional<Json> value;  // none: deleted
  uint64_t mod_revision = 0;
};

/// A record with the mod revision of the write that stored it.
template <class Record>
struct Versioned {
  Record record;
  uint64_t mod_revision = 0;
};

/// The fields kept of a job that has finished and holds no machine: those that answers, repeated
/// submissions and the exchange of cancellations need. The record in the state store is unchanged.
struct FinishedJob {
  uint64_t mod_revision = 0;
  uint32_t tasks_done = 0;
  JobStatus status = JobStatus::done;
};

/// A cancelled job, with a mod revision at which the state store shows the cancellation.
struct Cancellation {
  std::string job;
  uint64_t mod_revision = 0;
};

/// The state of a lease key. The record is the last one seen, even if the key has been deleted.
struct LeaseHolder {
  LeaseHolderRecord record;
  uint64_t mod_revision = 0;
  bool present = false;
};

class StateCache {
 public:
  /// Is notified after a job, a machine or a lease key has changed in the cache.
  struct Listener {
    virtual ~Listener() = default;
    virtual void on_job_changed(const std::string& id) = 0;
    virtual void on_machine_changed(const std::string& id) = 0;
    virtual void on_lease_holder_changed(const std::string& key) = 0;
  };
  /// Keeps a reference to the listener.
  explicit StateCache(Listener& listener) : listener_(listener) {}

  /// Applies a change unless a newer mod revision of its key is known: watch events, results of own
  /// writes and reads may arrive in any order. Returns false for a value that cannot be decoded;
  /// such a value is not stored.
  bool apply(const Change& change);
  /// Records that all changes up to this revision of the state store have been applied.
  void reached(uint64_t revision) { revision_ = std::max(revision_, revision); }
  uint64_t revision() const { return revision_; }

  /// Adds a cancellation that a peer's state cache holds and this one has not read yet. It can be
  /// trusted, because a cancellation is never undone.
  void add_unconfirmed_cancellation(const Cancellation& cancellation);
  /// Returns the record format that every controller reads, as recorded by the cluster leader.
  uint64_t record_format() const { return record_format_; }
  /// Whether the job's record, the cancellation beside it or a peer says that it is cancelled.
  bool cancelled(const std::string& id) const;
  /// Returns all known cancellations, in the order in which they became known.
  const std::vector<Cancellation>& cancellations() const { return cancellations_; }

  /// Returns null for an unknown job, and for a finished one that holds no machine (except while
  /// the listener is notified that it has finished).
  const Versioned<JobRecord>* job(const std::string& id) const;
  /// Returns null for a job that has not finished, still holds machines, or is unknown.
  const FinishedJob* finished_job(const std::string& id) const;
  bool knows_job(const std::string& id) const { return job(id) || finished_job(id); }
  size_t known_jobs() const { return jobs_.size() + finished_.size(); }
  /// Returns deleted machines, too; null for an unknown one.
  const Versioned<MachineRecord>* machine(const std::string& id) const;
  /// Returns the mod revision of the first record known that has the machine in its present shard;
  /// 0 for an unknown machine.
  uint64_t assigned_to_shard_at(const std::string& machine) const;
  /// Returns null for an unknown key. A deleted key is returned with `present` false.
  const LeaseHolder* lease_holder(const std::string& key) const;
  /// Returns the mod revision of any key; 0 if the key is absent as far as this controller knows.
  uint64_t mod_revision_of(const std::string& key) const;

  using Machines = std::map<std::string, const Versioned<MachineRecord>*>;
  /// Returns the machines that are not deleted. Deleted ones stay available by `machine` forever,
  /// and iterating over them too took longer with each machine ever provisioned.
  const Machines& present_machines() const { return present_machines_; }
  /// Returns the present machines that are released or marked for deletion: the cluster leader
  /// deletes them.
  const Machines& terminating_machines() const { return terminating_machines_; }
  /// Returns the cloud's machine types; empty until the cluster leader has recorded them.
  const std::vector<MachineType>& types() const { return types_; }
  /// Returns null for a type that the cloud does not have.
  const MachineType* type(const std::string& name) const;
  /// Returns the jobs that have not finished or still hold machines.
  const std::set<std::string>& live_jobs() const { return live_; }
  /// Returns the live jobs that are cancelled: their tasks were not all known to be gone when the
  /// record was written.
  const std::set<std::string>& cancelled_live_jobs() const { return cancelled_live_; }

 private:
  /// Whether a cancellation was known before the change that is being applied.
  enum class CancellationNovelty { first_seen, already_known };

  void apply_job(const std::string& id, const Change& change);
  void apply_machine(const std::string& id, const Change& change);
  void apply_cancellation(const std::string& id, const Change& change);
  void apply_types(const Change& change);
  void apply_format(const Change& change);
  void apply_lease_holder(const Change& change);

  uint64_t job_mod_revision(const std::string& id) const;
  uint64_t cancel_mod_revision(const std::string& id) const;
  void compact_finished_job(const std::string& id);
  CancellationNovelty cancellation_novelty(const std::string& id) const;
  void confirm_cancellation(const Cancellation& cancellation, CancellationNovelty novelty);

  void update_cancelled_live(const std::string& id);

  Listener& listener_;
  uint64_t revision_ = 0;
  // Jobs that have not finished or still hold machines.
  std::unordered_map<std::string, Versioned<JobRecord>> jobs_;
  std::unordered_map<std::string, FinishedJob> finished_;  // all other jobs
  std::set<std::string> live_;                             // the keys of `jobs_`, in order
  std::set<std::string> cancelled_live_;                   // those of them that are cancelled
  std::map<std::string, Versioned<MachineRecord>> machines_;
  // By id of each present machine, the value of `assigned_to_shard_at`.
  std::unordered_map<std::string, uint64_t> assigned_at_;
  Machines present_machines_;
  Machines terminating_machines_;
  std::map<std::string, LeaseHolder> lease_holders_;
  std::vector<MachineType> types_;
  uint64_t types_revision_ = 0;
  std::vector<Cancellation> cancellations_;
  std::set<std::string> unconfirmed_cancellations_;   // learned from peers, not read here yet
  std::map<std::string, uint64_t> cancel_revisions_;  // mod revisions of `cancel/<id>` keys
  uint64_t record_format_ = 0;
  uint64_t format_revision_ = 0;
};

}  // namespace rushtrestle::store

// StateCache: what the state store holds, as far as this controller has heard.
//
// Fed by list-and-watch, by the outcomes of own writes, by single reads, and by peers (unconfirmed
// cancellations); read by everything in coordination. Listeners are told of each change when the
// cache holds it.
//
// Invariants:
// - Of each key the newest mod revision that was ever seen wins, so changes may be applied in any
//   order and more than once.
// - A job is in `jobs_` or in `finished_`, never in both (but while listeners are told that it is
//   over), and never leaves the cache. A machine never leaves it either.
// - `present_machines_` and `terminating_machines_` point into `machines_`, whose nodes stay.
// - A job is in `cancellations_` at most once, from when its cancellation is first known.
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

/// What happened to a key.
struct Change {
  std::string key;
  std::optional<Json> value;  // none: deleted
  uint64_t mod_revision = 0;
};

/// A record with the mod revision at which its key had this value.
template <class Record>
struct Versioned {
  Record record;
  uint64_t mod_revision = 0;
};

/// What is kept of a job that is over and holds no machine: all that an answer, a repeated
/// submission and the exchange of cancellations need. Its record stays in the state store as it is.
struct FinishedJob {
  uint64_t mod_revision = 0;
  uint32_t tasks_done = 0;
  JobStatus status = JobStatus::done;
};

/// A job known to be cancelled, with a mod revision at which its record says so.
struct Cancellation {
  std::string job;
  uint64_t mod_revision = 0;
};

/// A lease key. The record is the last one that was seen, also when the key has been deleted.
struct LeaseHolder {
  LeaseHolderRecord record;
  uint64_t mod_revision = 0;
  bool present = false;
};

class StateCache {
 public:
  /// Is told when the cache holds something new of a job, a machine or a lease key.
  struct Listener {
    virtual ~Listener() = default;
    virtual void on_job_changed(const std::string& id) = 0;
    virtual void on_machine_changed(const std::string& id) = 0;
    virtual void on_lease_holder_changed(const std::string& key) = 0;
  };
  /// Keeps a reference to the listener.
  explicit StateCache(Listener& listener) : listener_(listener) {}

  /// The newer mod revision wins, so events, own writes and reads may arrive in any order.
  /// A value that can't be read is passed over (false).
  bool apply(const Change& change);
  /// All changes up to this revision of the state store have been applied.
  void reached(uint64_t revision) { revision_ = std::max(revision_, revision); }
  uint64_t revision() const { return revision_; }

  /// What another controller's state cache holds: true, as a cancellation is never undone, though
  /// not read here yet.
  void add_unconfirmed_cancellation(const Cancellation& cancellation);
  /// The record format that every controller reads, as the cluster leader has recorded it.
  uint64_t record_format() const { return record_format_; }
  /// By the record, by the cancellation beside it, or by what a peer has told.
  bool cancelled(const std::string& id) const;
  /// All that are known, in the order in which they became known.
  const std::vector<Cancellation>& cancellations() const { return cancellations_; }

  /// None for a job that is over and holds no machine, but while listeners are told of that.
  const Versioned<JobRecord>* job(const std::string& id) const;
  /// None for any other job.
  const FinishedJob* finished_job(const std::string& id) const;
  bool knows_job(const std::string& id) const { return job(id) || finished_job(id); }
  size_t known_jobs() const { return jobs_.size() + finished_.size(); }
  /// Also of a deleted machine; none: never heard of.
  const Versioned<MachineRecord>* machine(const std::string& id) const;
  /// None: never heard of. Look at `present`.
  const LeaseHolder* lease_holder(const std::string& key) const;
  /// Of any key; 0: absent, as far as is known here.
  uint64_t mod_revision_of(const std::string& key) const;

  using Machines = std::map<std::string, const Versioned<MachineRecord>*>;
  /// Machines that are not deleted. Those that are stay known by `machine`, for ever: to look
  /// through them, too, took longer with each machine that was ever provisioned.
  const Machines& present_machines() const { return present_machines_; }
  /// Of these, released ones and those marked for deletion: the cluster leader deletes them.
  const Machines& terminating_machines() const { return terminating_machines_; }
  /// The cloud's machine types, as the cluster leader has recorded them; empty: not yet.
  const std::vector<MachineType>& types() const { return types_; }
  /// None for a name that the cloud doesn't have.
  const MachineType* type(const std::string& name) const;
  /// Jobs that are not over, or are over but still hold machines.
  const std::set<std::string>& live_jobs() const { return live_; }

 private:
  /// Whether a cancellation tells something new.
  enum class CancellationNews { first_known_now, known_before };

  void apply_job(const std::string& id, const Change& change);
  void apply_machine(const std::string& id, const Change& change);
  void apply_cancellation(const std::string& id, const Change& change);
  void apply_types(const Change& change);
  void apply_format(const Change& change);
  void apply_lease_holder(const Change& change);

  uint64_t job_mod_revision(const std::string& id) const;
  uint64_t cancel_mod_revision(const std::string& id) const;
  void finish_job(const std::string& id);
  CancellationNews news_of_cancellation(const std::string& id) const;
  void confirm_cancellation(const Cancellation& cancellation, CancellationNews news);

  Listener& listener_;
  uint64_t revision_ = 0;
  // Not over, or still holding machines.
  std::unordered_map<std::string, Versioned<JobRecord>> jobs_;
  std::unordered_map<std::string, FinishedJob> finished_;  // all other jobs
  std::set<std::string> live_;                             // the keys of `jobs_`, in order
  std::map<std::string, Versioned<MachineRecord>> machines_;
  Machines present_machines_;
  Machines terminating_machines_;
  std::map<std::string, LeaseHolder> lease_holders_;
  std::vector<MachineType> types_;
  uint64_t types_revision_ = 0;
  std::vector<Cancellation> cancellations_;
  std::set<std::string> unconfirmed_cancellations_;   // learned from peers, not in the record yet
  std::map<std::string, uint64_t> cancel_revisions_;  // of the cancellations beside job records
  uint64_t record_format_ = 0;
  uint64_t format_revision_ = 0;
};

}  // namespace rushtrestle::store

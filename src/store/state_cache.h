// The state cache: what the state service holds, as far as this node has heard.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/records.h"

namespace rushtrestle::store {

struct Change {
  std::string key;
  std::optional<Json> value;  // none: deleted
  uint64_t mod_revision = 0;
};

template <class Record>
struct Versioned {
  Record record;
  uint64_t mod_revision = 0;
};

/// What is kept of a job that is over and holds no machine: all that an answer, a repeated
/// submission and the hand-over of cancellations need. Its record stays in the state service as it
/// is.
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

struct LeaseHolder {
  LeaseHolderRecord record;
  uint64_t mod_revision = 0;
  bool present = false;
};

class StateCache {
 public:
  struct Listener {
    virtual ~Listener() = default;
    virtual void on_job_changed(const std::string& id) = 0;
    virtual void on_machine_changed(const std::string& id) = 0;
    virtual void on_lease_holder_changed(const std::string& key) = 0;
  };
  explicit StateCache(Listener& listener) : listener_(listener) {}

  /// The newer mod revision wins, so events, own writes and reads may arrive in any order.
  /// A value that can't be read is passed over (false).
  bool apply(const Change& change);
  void reached(uint64_t revision) { revision_ = std::max(revision_, revision); }
  uint64_t revision() const { return revision_; }

  /// What another controller's state cache holds: true, as a cancellation is never undone, though
  /// not read here yet.
  void add_unconfirmed_cancellation(const Cancellation& cancellation);
  /// The record format that every controller reads, as the cluster leader has recorded it.
  uint64_t record_format() const { return record_format_; }
  /// By the record, by the cancellation beside it, or by what was heard.
  bool cancelled(const std::string& id) const;
  /// All that are known, in the order in which they became known.
  const std::vector<Cancellation>& cancellations() const { return cancellations_; }

  /// None for a job that is over and holds no machine, but while listeners are told of that.
  const Versioned<JobRecord>* job(const std::string& id) const;
  const FinishedJob* finished_job(const std::string& id) const;
  bool knows_job(const std::string& id) const { return job(id) || finished_job(id); }
  size_t known_jobs() const { return jobs_.size() + finished_.size(); }
  const Versioned<MachineRecord>* machine(const std::string& id) const;
  const LeaseHolder* lease_holder(const std::string& key) const;
  uint64_t mod_revision_of(const std::string& key) const;

  using Machines = std::map<std::string, const Versioned<MachineRecord>*>;
  /// Machines that are not gone. Those that are gone stay known by `machine`, for ever: to look
  /// through them, too, took longer with each machine that was ever rented.
  const Machines& present_machines() const { return present_machines_; }
  /// Of these, released ones and those marked for deletion: the cluster leader deletes them.
  const Machines& terminating_machines() const { return terminating_machines_; }
  const std::vector<MachineType>& types() const { return types_; }
  const MachineType* type(const std::string& name) const;
  /// Jobs that are not over, or are over but still hold machines.
  const std::set<std::string>& live_jobs() const { return live_; }

 private:
  uint64_t job_mod_revision(const std::string& id) const;
  void finish_job(const std::string& id);
  void apply_job(const std::string& id, const Change& change);
  void apply_machine(const std::string& id, const Change& change);
  void apply_cancellation(const std::string& id, const Change& change);
  void apply_types(const Change& change);
  void apply_format(const Change& change);
  void apply_lease_holder(const Change& change);
  void note_cancelled(const std::string& id, uint64_t mod_revision, bool known_before);

  Listener& listener_;
  uint64_t revision_ = 0, types_revision_ = 0;
  std::unordered_map<std::string, Versioned<JobRecord>>
      jobs_;                                               // not over, or still holding machines
  std::unordered_map<std::string, FinishedJob> finished_;  // all others
  std::map<std::string, Versioned<MachineRecord>> machines_;
  Machines present_machines_, terminating_machines_;
  std::map<std::string, LeaseHolder> lease_holders_;
  std::vector<MachineType> types_;
  std::set<std::string> live_;
  std::vector<Cancellation> cancellations_;
  std::set<std::string> unconfirmed_cancellations_;   // learned from peers, not in the record yet
  std::map<std::string, uint64_t> cancel_revisions_;  // of the cancellations beside job records
  uint64_t record_format_ = 0;
  uint64_t format_revision_ = 0;
};

}  // namespace rushtrestle::store

// Submissions, polls and cancellations; any node serves any of them.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "coordination/membership/membership.h"

namespace rushtrestle::coordination {

class JobService {
 public:
  JobService(Context& context, store::StateCache& state_cache, StateStoreClient& state_store,
             Membership& membership)
      : context_(context),
        state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership) {}

  void submit(SubmitJob&& s);
  void query(const QueryJob& q);
  void cancel(const CancelJob& c);
  bool healthy() const;
  void tick();
  /// When `tick` has something to do by the clock alone.
  double next_due() const;

 private:
  enum class Kind { submit, cancel };
  struct Pending {
    Kind kind = Kind::submit;
    std::string id;
    store::JobSpec spec;
    double deadline = 0;
  };
  void answer(RequestId r, int status, const std::string& id = "");
  void refuse(RequestId r, double retry_after_s);
  bool final_state(const std::string& id) const;
  bool answer_if_final(RequestId r, const std::string& id);
  bool near_memory_limit() const;
  bool can_ever_run(const store::JobSpec& s) const;
  void write_submit(RequestId r);
  void write_cancel(RequestId r);
  void write_cancel_beside(RequestId r);
  void cancel_written(RequestId r, const std::string& id, WriteOutcome outcome);
  void settle(RequestId r, int status);

  Context& context_;
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  Membership& membership_;
  std::map<RequestId, Pending> pending_;
};

}  // namespace rushtrestle::coordination

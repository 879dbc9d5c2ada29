// Answers the cluster leader's requests for machines of our shards: an empty one is released or
// moved, one with work that may be stopped is drained first, any other is kept. Called by
// ShardController on each round over the machines.
//
// Invariant: a machine is given away only if it is empty both at the decision and when the write of
// the answer leaves.
#pragma once
#include "coordination/shard/job_record_writer.h"
#include "coordination/shard/machine_record_writer.h"

namespace rushtrestle::coordination {

class ReassignmentResponder {
 public:
  ReassignmentResponder(store::StateCache& state_cache, ShardState& state,
                        JobRecordWriter& job_writer, MachineRecordWriter& machine_writer)
      : state_cache_(state_cache),
        state_(state),
        job_writer_(job_writer),
        machine_writer_(machine_writer) {}

  /// Answers the request for this machine, if there is one.
  void answer_reassignment(ShardMachine& machine);

 private:
  void drain(const ShardMachine& machine, const store::MachineRecord& durable);
  void write_answer(const ShardMachine& machine);

  store::StateCache& state_cache_;
  ShardState& state_;
  JobRecordWriter& job_writer_;
  MachineRecordWriter& machine_writer_;
};

}  // namespace rushtrestle::coordination

// Answers the cluster leader's requests to release or move machines of the shards that this
// controller leads: an empty machine is released or moved, one whose work may be stopped is drained
// first, and any other is kept. Called by ShardController in each round over the machines.
//
// Invariant: a machine is released or moved only if it is empty both at the decision and when the
// write of the answer is sent.
#pragma once
#include "coordination/shard/job_record_writer.h"
#include "coordination/shard/machine_record_writer.h"

namespace rushtrestle::coordination {

/// Decides on reassignment requests, and writes the answers to the machines' records.
class ReassignmentResponder {
 public:
  ReassignmentResponder(store::StateCache& state_cache, ShardState& state,
                        JobRecordWriter& job_writer, MachineRecordWriter& machine_writer)
      : state_cache_(state_cache),
        state_(state),
        job_writer_(job_writer),
        machine_writer_(machine_writer) {}

  /// Answers the reassignment request for this machine, if there is one.
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

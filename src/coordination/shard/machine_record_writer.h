// Writes the records of machines of the shards that this controller leads.
//
// Invariant: each write is conditioned on the shard's key, so that it fails if this controller no
// longer leads the shard, and on the record that the change was made to. Called by the modules of
// this package that decide on machines.
#pragma once
#include <functional>
#include <string>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

class MachineRecordWriter {
 public:
  /// Changes the record as it stands when the write leaves; false: there is nothing to write.
  using Change = std::function<bool(store::MachineRecord&)>;

  MachineRecordWriter(store::StateCache& state_cache, StateStoreClient& state_store,
                      const Membership& membership, ShardState& state,
                      DispatchQueue& dispatch_queue)
      : state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        state_(state),
        dispatch_queue_(dispatch_queue) {}

  /// Queues a change of the machine's record. One write a machine at a time: while one waits,
  /// another is passed over.
  void enqueue(const std::string& id, WriteCause cause, Change change);
  /// Queues a write that brings the address that the worker reported into the record; it leaves
  /// when the write budget allows.
  void record_address(ShardMachine& machine);

 private:
  /// Prepares the write of the changed record, conditioned on the record as it is durable and on
  /// the shard's key. False: the machine is not ours or terminating, or there is nothing to write.
  bool prepare_change(const std::string& id, const Change& change, Prepared& prepared) const;

  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
};

}  // namespace rushtrestle::coordination

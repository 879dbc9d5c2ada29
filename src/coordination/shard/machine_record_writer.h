// Writes the records of machines of the shards that this controller leads.
//
// Invariant: each write is conditioned on the shard's key, so that it fails if this controller no
// longer leads the shard, and on the durable record that the change is based on. Called by the
// modules of this folder that decide about machines.
#pragma once
#include <functional>
#include <string>

#include "coordination/shard/shard_state.h"

namespace rushtrestle::coordination {

class MachineRecordWriter {
 public:
  /// Changes the durable record, as it is when the write is sent. Returns false if there is nothing
  /// to write.
  using Change = std::function<bool(store::MachineRecord&)>;

  MachineRecordWriter(store::StateCache& state_cache, StateStoreClient& state_store,
                      const Membership& membership, ShardState& state,
                      DispatchQueue& dispatch_queue)
      : state_cache_(state_cache),
        state_store_(state_store),
        membership_(membership),
        state_(state),
        dispatch_queue_(dispatch_queue) {}

  /// Queues a change of the machine's record, unless another change that `enqueue` queued for the
  /// machine is still under way.
  void enqueue(const std::string& id, WriteCause cause, Change change);
  /// Queues a write of the address that the worker reported; it is sent when the write budget
  /// allows.
  void record_address(ShardMachine& machine);

 private:
  /// Prepares the write of the changed record, conditioned on the durable record and the shard's
  /// key. Returns false if this controller does not lead the machine's shard, the machine is
  /// terminating, or there is nothing to write.
  bool prepare_change(const std::string& id, const Change& change, PreparedWrite& prepared) const;

  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
};

}  // namespace rushtrestle::coordination

// Writes the records of machines of the shards that this controller leads, each under the condition
// that it still leads the shard.
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

  /// One write a machine at a time: while one waits, another is passed over.
  void enqueue(const std::string& id, WriteCause cause, Change change);
  /// Brings the address that the worker told into the record, when the budget allows.
  void record_address(ShardMachine& machine);

 private:
  store::StateCache& state_cache_;
  StateStoreClient& state_store_;
  const Membership& membership_;
  ShardState& state_;
  DispatchQueue& dispatch_queue_;
};

}  // namespace rushtrestle::coordination

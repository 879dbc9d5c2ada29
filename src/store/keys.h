// The keys of the state store. Frozen: earlier versions read and write them.
#pragma once
#include <string>

namespace rushtrestle::store {

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kCancelPrefix = "cancel/";
inline constexpr const char* kMachinePrefix = "machine/";
inline constexpr const char* kShardPrefix = "part/";

/// The key of a job's record.
inline std::string job_key(const std::string& id) { return kJobPrefix + id; }
/// The key of a cancellation beside a job record that is too large to be written again. The key
/// cancels a job whose record is open.
inline std::string cancel_key(const std::string& id) { return kCancelPrefix + id; }
/// The key of a machine's record.
inline std::string machine_key(const std::string& id) { return kMachinePrefix + id; }
/// The key of the shard leader's record; bound to a lease.
inline std::string shard_key(int shard) { return kShardPrefix + std::to_string(shard); }
/// The key of the cluster leader's record; bound to a lease.
inline const std::string leader_key = "leader";
/// The key of the cloud's machine types.
inline const std::string types_key = "types";
/// The key of the record format that every controller is known to read.
inline const std::string format_key = "format";

}  // namespace rushtrestle::store

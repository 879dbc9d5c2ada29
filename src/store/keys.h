// The keys of the state store. Frozen: earlier versions read and write them.
#pragma once
#include <string>

namespace rushtrestle::store {

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kCancelPrefix = "cancel/";
inline constexpr const char* kMachinePrefix = "machine/";
inline constexpr const char* kShardPrefix = "part/";

/// Of a job's record.
inline std::string job_key(const std::string& id) { return kJobPrefix + id; }
/// A cancellation beside a job record that is too large to be written again. Its key counts as the
/// record's status.
inline std::string cancel_key(const std::string& id) { return kCancelPrefix + id; }
/// Of a machine's record.
inline std::string machine_key(const std::string& id) { return kMachinePrefix + id; }
/// Names the shard leader; leased.
inline std::string shard_key(int shard) { return kShardPrefix + std::to_string(shard); }
/// Names the cluster leader; leased.
inline const std::string leader_key = "leader";
/// Of the cloud's machine types.
inline const std::string types_key = "types";
/// Names the record format that every controller is known to read.
inline const std::string format_key = "format";

}  // namespace rushtrestle::store

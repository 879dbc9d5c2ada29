// The record of a machine in the state store (`machine/<id>`), the record of the cloud's machine
// types (`types`), and their JSON forms.
//
// Invariant of a machine's phase: released and marked for deletion are left for `deleted` alone,
// which is final. Written by the cluster leader (provisioning, reassignment requests, deletion) and
// by the machine's shard leader (its answers, marks for deletion). The JSON forms are frozen:
// earlier versions read and write them.
#pragma once
#include <string>
#include <vector>

#include "store/domain.h"
#include "store/json.h"

namespace rushtrestle::store {

enum class MachinePhase {
  assigned,                // belongs to its shard
  reassignment_requested,  // the cluster leader asks its shard leader for it: to release it, or to
                           // move it to `next_shard`
  released,                // empty, to be deleted; never left but for `deleted`
  marked_for_deletion,     // not to be trusted, to be deleted; never left but for `deleted`
  deleted                  // the cloud confirmed the deletion
};

struct MachineRecord {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  int shard = 0;
  int next_shard = -1;  // with `reassignment_requested`: where it goes; -1: release
  bool drain = false;   // with `reassignment_requested`: what may be stopped on it is to make room
  MachinePhase phase = MachinePhase::assigned;
  double since = 0;  // time of day of provisioning or adoption

  /// Tasks may be placed on it.
  bool usable() const { return phase == MachinePhase::assigned; }
  /// On its way out of the fleet, or out of it.
  bool terminating() const {
    return phase == MachinePhase::released || phase == MachinePhase::marked_for_deletion ||
           phase == MachinePhase::deleted;
  }
};

Json to_json(const MachineRecord& record);
/// Throws Json::exception for a field that is missing or of another type, as do all of these.
MachineRecord machine_record_from_json(const Json& json);

/// The list within the record of the machine types.
Json to_json(const std::vector<MachineType>& types);
std::vector<MachineType> types_from_json(const Json& json);

/// The value of `types_key`.
Json types_record_to_json(const std::vector<MachineType>& types);
std::vector<MachineType> types_record_from_json(const Json& json);

}  // namespace rushtrestle::store

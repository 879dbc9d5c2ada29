// The record of a machine in the state store (`machine/<id>`), the record of the cloud's machine
// types (`types`), and their JSON forms.
//
// Invariant of a machine's phase: `released` and `marked_for_deletion` change only to `deleted`,
// which is final. Records are written by the cluster leader (provisioning, reassignment requests,
// deletion) and by the machine's shard leader (answers to reassignment requests, marks for
// deletion). The JSON forms are frozen: earlier versions read and write them.
#pragma once
#include <string>
#include <vector>

#include "store/domain.h"
#include "store/json.h"

namespace rushtrestle::store {

enum class MachinePhase {
  assigned,                // belongs to its shard
  reassignment_requested,  // the cluster leader asks the shard leader to release the machine or to
                           // move it to `next_shard`
  released,                // empty and awaiting deletion; changes only to `deleted`
  marked_for_deletion,     // not trusted and awaiting deletion; changes only to `deleted`
  deleted                  // the cloud confirmed the deletion
};

struct MachineRecord {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  int shard = 0;
  int next_shard = -1;  // with `reassignment_requested`: the new shard; -1: release
  bool drain = false;   // with `reassignment_requested`: stop the tasks that may be stopped
  MachinePhase phase = MachinePhase::assigned;
  double since = 0;  // time of day of provisioning or adoption

  /// Whether tasks may be placed on the machine.
  bool usable() const { return phase == MachinePhase::assigned; }
  /// Whether the machine is leaving the fleet or has left it.
  bool terminating() const {
    return phase == MachinePhase::released || phase == MachinePhase::marked_for_deletion ||
           phase == MachinePhase::deleted;
  }
};

Json to_json(const MachineRecord& record);
/// Throws Json::exception for a field that is missing or of the wrong type, as do all functions
/// that read JSON here.
MachineRecord machine_record_from_json(const Json& json);

/// Converts the list within the record of the machine types.
Json to_json(const std::vector<MachineType>& types);
std::vector<MachineType> types_from_json(const Json& json);

/// Converts the record of the machine types, the value of `types_key`.
Json types_record_to_json(const std::vector<MachineType>& types);
std::vector<MachineType> types_record_from_json(const Json& json);

}  // namespace rushtrestle::store

// All records of the state store and their keys: jobs, machines, machine types, lease holders and
// the record format. The JSON form of each record is in the record's own module and is frozen:
// earlier versions read and write it.
#pragma once
#include <cstdint>
#include <string>

#include "store/domain.h"
#include "store/job_record.h"
#include "store/json.h"
#include "store/keys.h"
#include "store/machine_record.h"
#include "store/task_set.h"

namespace rushtrestle::store {

/// The value of `part/<i>` and `leader`: the controller that holds the lease.
struct LeaseHolderRecord {
  std::string node;
  std::string incarnation;
};

Json to_json(const LeaseHolderRecord& record);
/// Throws Json::exception for a field that is missing or of the wrong type.
LeaseHolderRecord lease_holder_from_json(const Json& json);

/// The newest record format that this version reads. 0: job, machine, lease holder and type
/// records, as read by every version. 1: cancellations beside job records.
constexpr uint64_t kRecordFormat = 1;
/// The first format with cancellations beside job records.
constexpr uint64_t kFormatWithCancellations = 1;

/// Returns the value of `format_key`.
Json record_format_to_json(uint64_t format);
/// Throws Json::exception for a field that is missing or of the wrong type.
uint64_t record_format_from_json(const Json& json);

}  // namespace rushtrestle::store

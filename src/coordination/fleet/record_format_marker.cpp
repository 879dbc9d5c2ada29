#include "coordination/fleet/record_format_marker.h"

#include <string>
#include <utility>

namespace rushtrestle::coordination {

bool RecordFormatMarker::ready_to_enable() const {
  return state_cache_.record_format() < store::kRecordFormat &&
         membership_.all_peers_read_format(store::kRecordFormat);
}

void RecordFormatMarker::tick() {
  if (write_in_flight_ || !ready_to_enable()) return;
  write_in_flight_ = true;
  WriteRequest write;
  write.key = store::format_key;
  write.prepare = [this](PreparedWrite& prepared) {
    prepared.expected_mod_revision = state_cache_.mod_revision_of(store::format_key);
    prepared.value = store::Json{{"reads", store::kRecordFormat}};
    prepared.preconditions.push_back({store::leader_key, membership_.leader_fencing_token()});
    return membership_.is_cluster_leader() && ready_to_enable();
  };
  write.done = [this](WriteOutcome outcome, uint64_t) {
    write_in_flight_ = false;
    if (outcome == WriteOutcome::applied)
      context_.info("record_format_opened format=" + std::to_string(store::kRecordFormat));
  };
  state_store_.write(std::move(write));
}

}  // namespace rushtrestle::coordination

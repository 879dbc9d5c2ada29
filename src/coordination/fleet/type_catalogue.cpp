#include "coordination/fleet/type_catalogue.h"

#include <utility>
#include <variant>

namespace rushtrestle::coordination {

namespace {

store::Json to_json_without_prices(std::vector<store::MachineType> types) {
  for (auto& type : types) type.price = type.spot_price = 0;
  return to_json(types);
}

}  // namespace

void TypeCatalogue::reset() {
  next_fetch_ = 0;
  fetch_in_flight_ = false;
}

void TypeCatalogue::tick() {
  if (!fetch_in_flight_ && context_.now >= next_fetch_ && cloud_budget_.ready(context_.now))
    fetch();
}

void TypeCatalogue::fetch() {
  fetch_in_flight_ = true;
  cloud_budget_.take(1);
  context_.call(ListMachineTypes{}, context_.settings.lease_s / 3,
                [this](CallDone&& done) { on_fetched(done); });
}

void TypeCatalogue::on_fetched(const CallDone& done) {
  fetch_in_flight_ = false;
  const auto* reply = std::get_if<MachineTypesReply>(&done.reply);
  if (done.status != 200 || !reply || reply->types.empty()) {
    next_fetch_ = context_.now + context_.jitter(context_.settings.heartbeat_interval_s / 2);
    return;
  }
  next_fetch_ = context_.now + context_.settings.lease_s * 4;
  prices_ = reply->types;
  if (to_json_without_prices(prices_) != to_json_without_prices(state_cache_.types()))
    record_types();
}

void TypeCatalogue::record_types() {
  WriteRequest write;
  write.key = store::types_key;
  write.prepare = [this](PreparedWrite& prepared) {
    prepared.expected_mod_revision = state_cache_.mod_revision_of(store::types_key);
    prepared.value = store::Json{{"types", to_json(prices_)}};
    prepared.preconditions.push_back({store::leader_key, membership_.leader_fencing_token()});
    return membership_.is_cluster_leader();
  };
  write.done = [](WriteOutcome, uint64_t) {};
  state_store_.write(std::move(write));
}

}  // namespace rushtrestle::coordination

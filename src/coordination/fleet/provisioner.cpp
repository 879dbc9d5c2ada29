#include "coordination/fleet/provisioner.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "coordination/fleet/unused_machines.h"

namespace rushtrestle::coordination {

using store::MachineRecord;

namespace {

constexpr size_t kMaxMachinesPerRequest = 50;  // limit of the cloud's protocol
constexpr int kTooManyRequests = 429;
constexpr int kNoAnswer = 0;

}  // namespace

void Provisioner::reset() {
  requests_.clear();
  unavailable_kinds_.clear();
}

void Provisioner::tick() {
  for (auto& request : requests_)
    if (!request.in_flight && context_.now >= request.next_attempt &&
        cloud_budget_.ready(context_.now))
      send(request);
}

double Provisioner::next_due() const {
  double due = kNoDueTime;
  for (const auto& request : requests_)
    if (!request.in_flight) due = std::min(due, request.next_attempt);
  return due;
}

bool Provisioner::request_in_flight() const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [](const Request& request) { return request.in_flight; });
}

bool Provisioner::has_request(const MachineKind& kind) const {
  return std::any_of(requests_.begin(), requests_.end(),
                     [&](const Request& request) { return request.kind == kind; });
}

void Provisioner::add_to(CloudView& cloud_view) const {
  for (const auto& [kind, unavailability] : unavailable_kinds_)
    if (context_.now < unavailability.until) cloud_view.unavailable.insert(kind);
  for (const auto& request : requests_)
    for (const int shard : request.shards) cloud_view.requested[shard].push_back(request.kind);
}

// Serves the shortages in turn, one machine each.
Provisioner::Order Provisioner::divide_round_robin(const MachineKind& kind,
                                                   const std::vector<MachineShortage*>& shortages) {
  Order order{kind, store::Rank::low, {}, {}};
  for (bool more = true; more;) {
    more = false;
    for (MachineShortage* shortage : shortages) {
      if (shortage->machines() == 0) continue;
      if (shortage->urgent > 0) {
        order.urgent.push_back(shortage->shard);
        order.rank = std::max(order.rank, shortage->rank);
      } else {
        order.expected.push_back(shortage->shard);
      }
      shortage->remove_one();
      more |= shortage->machines() > 0;
    }
  }
  return order;
}

std::vector<Provisioner::Order> Provisioner::orders_for(std::vector<MachineShortage> shortages,
                                                        std::vector<std::string> unused) const {
  UnusedMachines reassignable(std::move(unused), state_cache_);
  std::map<MachineKind, std::vector<MachineShortage*>> by_kind;
  for (auto& shortage : shortages) {
    // An unused machine of another shard covers one missing machine: it is reassigned instead.
    while (shortage.machines() > 0 && reassignable.take(shortage.kind, shortage.shard))
      shortage.remove_one();
    if (shortage.machines() > 0) by_kind[shortage.kind].push_back(&shortage);
  }
  std::vector<Order> orders;
  for (const auto& [kind, of_kind] : by_kind)
    if (!has_request(kind)) orders.push_back(divide_round_robin(kind, of_kind));
  std::stable_sort(orders.begin(), orders.end(), [](const Order& a, const Order& b) {
    if (a.urgent.empty() != b.urgent.empty()) return b.urgent.empty();
    if (a.rank != b.rank) return a.rank > b.rank;
    return a.urgent.size() > b.urgent.size();
  });
  return orders;
}

// The cloud accepts few calls, so unsent requests are not queued: each plan asks anew, by kind of
// machine for all shards together, and what the budget of calls does not cover now is left to the
// next plan. In a queue by shard and machine, requests waited for minutes behind others for kinds
// that the cloud had long refused, and queued machines counted as capacity on its way.
void Provisioner::provision(std::vector<MachineShortage> shortages,
                            std::vector<std::string> unused) {
  place_orders(orders_for(std::move(shortages), std::move(unused)));
}

// Sends requests as long as the budget of calls allows, the first of each kind before the second of
// any. Only one request of fifty machines per plan and kind left the budget idle while thousands of
// machines were lacking.
void Provisioner::place_orders(const std::vector<Order>& orders) {
  for (size_t from = 0, longest = 1; from < longest; from += kMaxMachinesPerRequest)
    for (const auto& order : orders) {
      std::vector<int> shards = order.urgent;
      shards.insert(shards.end(), order.expected.begin(), order.expected.end());
      longest = std::max(longest, shards.size());
      if (from >= shards.size()) continue;
      if (!cloud_budget_.ready(context_.now)) return;
      const auto first = shards.begin() + static_cast<long>(from);
      const auto last = shards.begin() +
                        static_cast<long>(std::min(shards.size(), from + kMaxMachinesPerRequest));
      requests_.push_back({order.kind, std::vector<int>(first, last),
                           std::to_string(membership_.leader_fencing_token()) + "-" +
                               std::to_string(++requests_made_),
                           0, false});
      send(requests_.back());
    }
}

void Provisioner::send(Request& request) {
  request.in_flight = true;
  cloud_budget_.take(1);
  context_.call(ProvisionMachines{request.idempotency_key, request.kind.type, request.kind.zone,
                                  request.kind.spot, static_cast<int>(request.shards.size())},
                context_.settings.lease_s / 3,
                [this, key = request.idempotency_key](CallDone&& done) { on_answer(done, key); });
}

void Provisioner::on_answer(const CallDone& done, const std::string& idempotency_key) {
  const auto request = std::find_if(
      requests_.begin(), requests_.end(),
      [&](const Request& candidate) { return candidate.idempotency_key == idempotency_key; });
  // The request is of an earlier leadership: the machines that it created are found by listing.
  if (request == requests_.end()) return;
  request->in_flight = false;
  const auto* reply = std::get_if<ProvisionReply>(&done.reply);
  if (done.status == 200 && reply) {
    on_provisioned(*request, reply->machines);
    requests_.erase(request);
  } else if (done.status == kNoAnswer || done.status == kTooManyRequests) {
    // Resent with the same idempotency key, so that the cloud carries it out at most once.
    request->next_attempt =
        context_.now + context_.jitter(context_.settings.heartbeat_interval_s / 2);
  } else {
    on_kind_unavailable(request->kind);
    requests_.erase(request);
  }
}

void Provisioner::on_provisioned(const Request& request, const std::vector<std::string>& machines) {
  context_.info("machines_provisioned count=" + std::to_string(machines.size()) + " requested=" +
                std::to_string(request.shards.size()) + " type=" + request.kind.type +
                " zone=" + request.kind.zone + " spot=" + (request.kind.spot ? "true" : "false"));
  for (size_t i = 0; i < machines.size() && i < request.shards.size(); ++i) {
    MachineRecord record;
    record.id = machines[i];
    record.type = request.kind.type;
    record.zone = request.kind.zone;
    record.spot = request.kind.spot;
    record.shard = request.shards[i];
    record.since = context_.wall;
    unrecorded_.record(record);
  }
  if (machines.size() < request.shards.size()) {
    on_kind_unavailable(request.kind);
  } else {
    unavailable_kinds_.erase(request.kind);
  }
}

// The cloud's free capacity seldom changes except by this cluster's own deletions, so the pause
// before the next request of the kind doubles with each refusal: refused requests would otherwise
// use up the budget of calls.
void Provisioner::on_kind_unavailable(const MachineKind& kind) {
  auto& unavailability = unavailable_kinds_[kind];
  unavailability.backoff_s = std::clamp(unavailability.backoff_s * 2, context_.settings.lease_s / 2,
                                        context_.settings.lease_s * 4);
  unavailability.until = context_.now + context_.jitter(unavailability.backoff_s);
}

}  // namespace rushtrestle::coordination

#include "simulation/fake_state_store.h"

#include <algorithm>

namespace rushtrestle::testing {

using namespace coordination;
using store::Json;

void FakeStateStore::set_limits(double value_kb, int txn_ops) {
  value_kb_ = value_kb;
  txn_ops_ = static_cast<size_t>(txn_ops);
}

void FakeStateStore::set_write_rate(double per_second) {
  write_rate_.emplace();
  write_rate_->set_rate(per_second);
}

void FakeStateStore::set_request_rate(double per_second) {
  request_rate_.emplace();
  request_rate_->set_rate(per_second);
}

bool FakeStateStore::admit(double now) {
  ++counters_.requests;
  if (!request_rate_) return true;
  if (!request_rate_->ready(now)) {
    ++counters_.refused_for_rate;
    return false;
  }
  request_rate_->take(1);
  return true;
}

void FakeStateStore::change(const std::string& key, std::optional<Json> value, uint64_t lease) {
  const bool put = value.has_value();
  if (put) {
    keys_[key] = {*value, revision_, lease};
  } else {
    keys_.erase(key);
  }
  log_.push_back({key, std::move(value), revision_});
  while (history_ && log_.size() > *history_) {
    oldest_kept_ = log_.front().mod_revision;
    log_.pop_front();
  }
  if (put && on_put) on_put(key);
}

void FakeStateStore::preset(const std::string& key, Json value) {
  ++revision_;
  change(key, std::move(value), 0);
}

const Json* FakeStateStore::value_of(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second.value;
}

void FakeStateStore::expire_leases(double now) {
  std::vector<uint64_t> expired;
  for (const auto& [id, lease] : leases_)
    if (now > lease.until) expired.push_back(id);
  for (const uint64_t id : expired) {
    leases_.erase(id);
    std::vector<std::string> attached_keys;
    for (const auto& [key, entry] : keys_)
      if (entry.lease == id) attached_keys.push_back(key);
    for (const auto& key : attached_keys) {
      ++revision_;
      change(key, std::nullopt, 0);
    }
  }
}

void FakeStateStore::renew_all_leases(double now) {
  for (auto& [id, lease] : leases_) lease.until = now + lease.ttl_s;
}

std::optional<WatchReply> FakeStateStore::changes_since(uint64_t revision) const {
  if (revision < oldest_kept_) return std::nullopt;
  WatchReply reply{revision_, {}};
  for (auto it = log_.rbegin(); it != log_.rend() && it->mod_revision > revision; ++it)
    reply.events.push_back(*it);
  std::reverse(reply.events.begin(), reply.events.end());
  return reply;
}

bool FakeStateStore::leases_exist(const Txn& transaction) const {
  return std::all_of(transaction.writes.begin(), transaction.writes.end(), [&](const Write& write) {
    return write.lease == 0 || leases_.count(write.lease) != 0;
  });
}

bool FakeStateStore::too_large(const Txn& transaction) const {
  const auto limit = static_cast<size_t>(value_kb_ * 1024);
  return std::any_of(transaction.writes.begin(), transaction.writes.end(), [&](const Write& write) {
    return write.value && write.value->dump().size() > limit;
  });
}

void FakeStateStore::apply(const Txn& transaction, double now, CallDone& done) {
  ++counters_.transactions;
  counters_.puts_requested += transaction.writes.size();
  if (transaction.writes.size() > txn_ops_ || transaction.preconditions.size() > txn_ops_ * 4) {
    done.status = 400;
    return;
  }
  if (write_rate_) {
    if (!write_rate_->ready(now)) {
      ++counters_.refused_for_rate;
      done.status = 429;
      return;
    }
    write_rate_->take(static_cast<double>(transaction.writes.size()));
  }
  TxnReply reply;
  for (const auto& condition : transaction.preconditions) {
    const auto it = keys_.find(condition.key);
    if ((it == keys_.end() ? 0 : it->second.mod_revision) != condition.mod_revision)
      reply.failed.push_back(condition.key);
  }
  reply.revision = revision_;
  if (!reply.failed.empty()) {
    ++counters_.conflicts;
    done.status = 409;
    done.reply = std::move(reply);
    return;
  }
  if (!leases_exist(transaction) || too_large(transaction)) {
    done.status = 400;
    return;
  }
  reply.revision = ++revision_;
  counters_.puts += transaction.writes.size();
  for (const auto& write : transaction.writes) change(write.key, write.value, write.lease);
  done.reply = std::move(reply);
}

void FakeStateStore::read(const ReadKey& request, CallDone& done) const {
  KeyReply reply;
  reply.revision = revision_;
  const auto it = keys_.find(request.key);
  if (it == keys_.end()) {
    done.status = 404;
  } else {
    reply.entry = store::Change{request.key, it->second.value, it->second.mod_revision};
    reply.revision = it->second.mod_revision;
  }
  done.reply = std::move(reply);
}

ListKeysReply FakeStateStore::list_page(const ListKeys& request) const {
  ListKeysReply reply;
  reply.revision = revision_;
  for (auto it = keys_.upper_bound(request.after); it != keys_.end(); ++it) {
    if (reply.entries.size() == page_) {
      reply.more = true;
      break;
    }
    reply.entries.push_back({it->first, it->second.value, it->second.mod_revision});
  }
  return reply;
}

CallDone FakeStateStore::answer(const Call& call, double now) {
  CallDone done{call.id, 200, {}};
  if (const auto* transaction = std::get_if<Txn>(&call.body)) {
    apply(*transaction, now, done);
  } else if (const auto* key = std::get_if<ReadKey>(&call.body)) {
    read(*key, done);
  } else if (const auto* page = std::get_if<ListKeys>(&call.body)) {
    done.reply = list_page(*page);
  } else if (const auto* grant = std::get_if<GrantLease>(&call.body)) {
    leases_[next_lease_] = {grant->ttl_s, now + grant->ttl_s};
    done.reply = LeaseReply{next_lease_++};
  } else if (const auto* extend = std::get_if<RenewLease>(&call.body)) {
    const auto it = leases_.find(extend->lease);
    if (it == leases_.end()) {
      done.status = 404;
    } else {
      it->second.until = now + it->second.ttl_s;
    }
  }
  return done;
}

}  // namespace rushtrestle::testing

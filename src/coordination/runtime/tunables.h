// Every tunable of the service, each as a ratio to a figure of the settings.
#pragma once
#include <algorithm>

#include "store/domain.h"

namespace rushtrestle::coordination {

struct Tunables {
  explicit Tunables(const store::Settings& s)
      : state_lease_s(s.lease_s / 4),
        renew_every_s(state_lease_s / 3),
        watch_hold_s(s.lease_s / 3.5),
        peer_every_s(s.heartbeat_interval_s / 2),
        peer_fresh_s(s.heartbeat_interval_s * 1.5),
        probe_after_s(s.heartbeat_interval_s * 2.5),
        probe_every_s(s.heartbeat_interval_s / 2),
        command_timeout_s(s.heartbeat_interval_s),
        silence_limit_s(s.lease_s * 0.6),
        correlated_silence_limit_s(std::max(s.lease_s * 2, s.cancel_s * 1.25)),
        disconnected_limit_s((s.cancel_s - s.lease_s) * 0.95),
        home_steady_s(s.lease_s * 1.5),
        forward_s(s.lease_s * 2),
        forward_limit_s(s.lease_s * 4),
        user_wait_s(4.0),
        poll_wait_s(1.5),
        shed_polls_lag_s(poll_wait_s / 2),
        coalesce_s(s.heartbeat_interval_s),
        background_s(s.lease_s / 2),
        demand_memory_s(s.heartbeat_interval_s * 2),
        drain_s(s.heartbeat_interval_s / 2),
        command_slots(slots(s, kCommandShare)),
        silent_command_slots(slots(s, kCommandShare * kSilentShare)),
        forward_slots(slots(s, kRelayShare)) {}

  // Grants survive two lost renewals; a dead controller's parts are free after a quarter of a
  // worker lease.
  double state_lease_s, renew_every_s;
  double watch_hold_s;
  double peer_every_s, peer_fresh_s;
  // A worker speaks every 1.25 report_s at the latest: twice that is suspicious.
  double probe_after_s, probe_every_s, command_timeout_s;
  double silence_limit_s, correlated_silence_limit_s;
  // Without the state service a cancellation may be acknowledged elsewhere: the lease of our
  // workers, counted from when they sent their last heartbeat, has to lapse within cancel_s of
  // that. The rest is for clocks.
  double disconnected_limit_s;
  double home_steady_s;
  // Heartbeats are passed on for so long before the worker is sent to its shard leader again (a try
  // costs it half a lease), and a machine reached through others alone is kept for so long.
  double forward_s, forward_limit_s;
  double user_wait_s;  // the protocol gives a submission 5 s
  double poll_wait_s;  // and a poll 2 s
  // A poll has waited about so long when it is read, and its answer takes as long again: from here
  // on it would come after its user has given up.
  double shed_polls_lag_s;
  // While the budget of writes is short, ends of single tasks wait so long for other changes of
  // their record, and what is for display longer.
  double coalesce_s, background_s;
  // A controller's need of the budget: its puts of so long ago count half, and its backlog is to
  // leave in so long.
  double demand_memory_s, drain_s;
  // Commands to workers that may wait for their answers at once, of those the ones to machines that
  // did not answer the last time, and heartbeats that are passed on. Each takes a socket.
  size_t command_slots, silent_command_slots, forward_slots;

  // Shares of a node's part of state.rps.
  static constexpr double kBudget = 0.9, kWatchShare = 0.35, kBarrierShare = 0.25, kTxnShare = 0.4;
  static constexpr int kTxnsInFlight = 4;
  // How far the budget of writes must stand for each priority, in seconds' worth. Users wait for
  // the first two, so these may overdraw: other nodes seldom use all of theirs, and a 429 costs a
  // tenth of a second.
  static constexpr double kWriteFloor[] = {-1.0, -0.5, 0.0, 0.4, 0.4};
  // The same for what has waited longer than its priority may.
  static constexpr double kOverdueFloor[] = {-1.0, -1.0, -0.5, 0.0, 0.0};
  // While others than users wait too long, the puts are divided in these parts, what a priority has
  // no use for going to the next by order: a flood of acceptances kept placements from leaving at
  // all.
  static constexpr double kContendedShare[] = {0.3, 0.35, 0.25, 0.06, 0.04};
  // What an idle controller keeps of an even share of the budget, for a burst that its peers have
  // not heard of.
  static constexpr double kIdleShare = 0.25;
  static constexpr double kCorrelatedSilenceShare =
      0.4;  // a cut silences all of a zone; more silent than this share points to one
  static constexpr double kMarkForDeletionShare =
      0.15;  // of a node's machines, marked for deletion for silence in one silence limit
  // Times readyS: half as long again is usual, by the protocol. Then the plan reckons without the
  // machine, and in the end it is deleted, as some never come up and are charged all the same.
  static constexpr double kBootUsual = 1.6, kBootPatience = 2.5;
  static constexpr int kFaultyJobs = 2;  // different jobs failing on a machine in a row

 private:
  // Of a controller's sockets; with those for the state service, the cloud and the peers less than
  // the transport has for connections of its own (transport/node.cpp).
  static constexpr double kCommandShare = 0.2, kSilentShare = 0.75, kRelayShare = 0.05;
  static size_t slots(const store::Settings& s, double share) {
    return static_cast<size_t>(std::max(2.0, s.max_connections * share));
  }
};

}  // namespace rushtrestle::coordination

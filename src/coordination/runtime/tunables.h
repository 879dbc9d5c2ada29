// The tunables of the service. Most are ratios to a figure of the platform's settings, and change
// with it. "Heartbeat interval", "worker lease" and `cancel_s` below are those of the settings.
#pragma once
#include <algorithm>

#include "store/domain.h"

namespace rushtrestle::coordination {

struct Tunables {
  explicit Tunables(const store::Settings& s)
      : state_lease_s(s.lease_s / 4),
        renew_every_s(state_lease_s / 3),
        watch_timeout_s(s.lease_s / 3.5),
        peer_every_s(s.heartbeat_interval_s / 2),
        peer_timeout_s(s.heartbeat_interval_s * 1.5),
        probe_after_s(s.heartbeat_interval_s * 2.5),
        probe_every_s(s.heartbeat_interval_s / 2),
        command_timeout_s(s.heartbeat_interval_s),
        silence_limit_s(s.lease_s * 0.6),
        correlated_silence_limit_s(std::max(s.lease_s * 2, s.cancel_s * 1.25)),
        disconnected_limit_s((s.cancel_s - s.lease_s) * 0.95),
        home_stable_s(s.lease_s * 1.5),
        redirect_retry_s(s.lease_s * 2),
        forward_only_limit_s(s.lease_s * 4),
        write_wait_s(4.0),
        query_timeout_s(1.5),
        shed_queries_lag_s(query_timeout_s / 2),
        coalesced_write_delay_s(s.heartbeat_interval_s),
        background_write_delay_s(s.lease_s / 2),
        write_demand_half_life_s(s.heartbeat_interval_s * 2),
        backlog_drain_s(s.heartbeat_interval_s / 2),
        command_slots(slots(s, kCommandShare)),
        silent_command_slots(slots(s, kCommandShare * kSilentCommandShare)),
        forward_slots(slots(s, kForwardShare)) {}

  // ---- leases and watches at the state store ----

  /// Time to live of this controller's lease at the state store, in seconds. A dead controller's
  /// shards are free after this time, a quarter of a worker lease. Too large: they stay without a
  /// leader for longer. Too small: a short outage costs a live controller its shards.
  double state_lease_s;
  /// Interval of the lease renewals and timeout of each, in seconds. At a third of the lease, the
  /// lease survives two lost renewals. Too large: it survives fewer.
  double renew_every_s;
  /// How long the state store may hold a watch request open when nothing changes, in seconds. Too
  /// large: the state cache is proven current less often, which counts against
  /// `disconnected_limit_s` in an outage. Too small: more watch requests, which are limited by
  /// `kWatchShare`.
  double watch_timeout_s;

  // ---- peers ----

  /// Interval of the state queries to each peer and timeout of each, in seconds. Too small: more
  /// messages between controllers. Too large: live peers count as dead (`peer_timeout_s`).
  double peer_every_s;
  /// A peer counts as alive if it was heard within this time, in seconds; a state that is older
  /// than this and twice the clock error is ignored. Too small: one late answer makes a live peer
  /// count as dead. Too large: a dead peer counts as alive for longer.
  double peer_timeout_s;

  // ---- commands to workers, and their silence ----

  /// A worker that was silent for longer, in seconds, is probed with a command. A worker sends a
  /// heartbeat every 1.25 heartbeat intervals at the latest; this is twice that. Too small: healthy
  /// workers are probed. Too large: a silent machine is noticed later.
  double probe_after_s;
  /// Pause between a command that failed and the next one to the same machine, in seconds. Too
  /// small: unreachable machines take more command slots. Too large: a machine that can be reached
  /// again is noticed later.
  double probe_every_s;
  /// Timeout of a command to a worker and of a forwarded heartbeat, in seconds. Too large: a
  /// machine that is gone holds its slot for longer. Too small: slow answers count as failures.
  double command_timeout_s;
  /// A machine is marked for deletion when its worker has been silent, or has answered no command
  /// though it sends heartbeats, for longer than this, in seconds. Also the period to which
  /// `kMarkForDeletionShare` applies. Too small: machines that would come back are deleted. Too
  /// large: their tasks restart elsewhere later.
  double silence_limit_s;
  /// The limit in place of `silence_limit_s`, in seconds, while a network partition is suspected:
  /// many machines of the zone are silent, or a peer hears the machine. Too small: a partition
  /// deletes machines that run on.
  double correlated_silence_limit_s;
  /// Worker leases are renewed for this long, in seconds, after the time up to which every
  /// acknowledged cancellation is known here. Without the state store, a cancellation may be
  /// acknowledged by another controller: the leases, counted from when the workers sent their last
  /// heartbeats, have to expire within `cancel_s` of that. Too large: cancelled tasks run for
  /// longer than `cancel_s`. Too small: tasks survive shorter outages only. The remaining 5 % allow
  /// for clock errors.
  double disconnected_limit_s;

  // ---- shard leaders ----

  /// A shard is released to its home controller when that has been alive, connected and synced for
  /// this long, in seconds. Too small: shards move to a home that fails again. Too large: shards
  /// stay away from their homes for longer.
  double home_stable_s;
  /// How long a worker's heartbeats are forwarded to its shard leader, in seconds, before the
  /// worker is redirected there again. Too small: workers that can't reach the leader try it more
  /// often, and each try costs them half a lease.
  double redirect_retry_s;
  /// How long a machine that is reached only through other controllers is kept, in seconds. Nothing
  /// new can be started on it. Too small: machines are deleted in a partition that ends soon after.
  double forward_only_limit_s;

  // ---- users ----

  /// How long a submission or cancellation waits for its write, in seconds. The protocol allows 5 s
  /// for the answer to a submission. Too large: answers come after their users have given up. Too
  /// small: requests are refused whose writes would have succeeded.
  double write_wait_s;
  /// Time for the answer to a query, in seconds, from which the limits of a read barrier are
  /// derived. The protocol allows 2 s. Also the timeout of transactions and of the reads that look
  /// up their outcome. Too large: answers come after their users have given up.
  double query_timeout_s;
  /// Queries are refused while the lag is larger, in seconds. A query has waited for about the lag
  /// when it is read and its answer takes as long again. Too large: answers come after their users
  /// have given up.
  double shed_queries_lag_s;

  // ---- writes to the state store ----

  /// How long, in seconds, the end of a single task waits for other changes of its record while the
  /// write budget is short. Too small: more writes of the same record. Too large: the end is
  /// durable later.
  double coalesced_write_delay_s;
  /// The same for writes that nobody needs soon, such as data for display, in seconds.
  double background_write_delay_s;
  /// Half-life, in seconds, of a past write in the estimate of this controller's need of the write
  /// budget.
  double write_demand_half_life_s;
  /// This controller's need of the write budget is set so that its backlog is written within this
  /// time, in seconds. Too large: the backlog lasts longer.
  double backlog_drain_s;

  // ---- sockets ----

  /// Maximum number of commands to workers that wait for their answers at once; each takes a
  /// socket. Too large: no socket is left for the state store, and the lease there expires.
  size_t command_slots;
  /// Maximum number, out of `command_slots`, of commands to machines that did not answer the last
  /// one. Too large: lost machines keep commands from those that answer.
  size_t silent_command_slots;
  /// Maximum number of forwarded heartbeats that wait for their answers at once; each takes a
  /// socket. Beyond it, workers are told to ask another controller.
  size_t forward_slots;

  // ---- rate limits ----

  /// Share of the platform's rates (`state.rps`, `state.write_rps`, `cloud.rps`) that is used.
  /// Too large: requests are refused with 429.
  static constexpr double kRateLimitShare = 0.9;
  /// Share of a controller's part of `state.rps` for watch requests.
  static constexpr double kWatchShare = 0.35;
  /// Share of a controller's part of `state.rps` for read barriers.
  static constexpr double kBarrierShare = 0.25;
  /// Share of a controller's part of `state.rps` for transactions.
  static constexpr double kTxnShare = 0.4;
  /// Maximum number of transactions that wait for their answers at once.
  static constexpr int kTxnsInFlight = 4;
  /// By write priority: a write is sent only while the write budget is above this level, as a share
  /// of one second's budget. Users wait for the first two priorities, so these may overdraw it:
  /// other controllers seldom use all of their parts, and a 429 costs a tenth of a second.
  static constexpr double kWriteFloor[] = {-1.0, -0.5, 0.0, 0.4, 0.4};
  /// The same for writes that have waited for longer than their priority allows.
  static constexpr double kOverdueFloor[] = {-1.0, -1.0, -0.5, 0.0, 0.0};
  /// By write priority: share of the writes while writes below the first priority are overdue. What
  /// a priority does not use goes to the next in order. Without these shares, a flood of accepted
  /// submissions kept all placements from being written.
  static constexpr double kContendedShare[] = {0.3, 0.35, 0.25, 0.06, 0.04};
  /// Share of an even part of the write budget that an idle controller keeps for a burst that its
  /// peers have not heard of.
  static constexpr double kIdleBudgetShare = 0.25;

  // ---- failing machines ----

  /// Share of a zone's machines; if more are silent, a network partition is suspected, which
  /// silences all of a zone. Too large: machines behind a partition are deleted.
  static constexpr double kCorrelatedSilenceShare = 0.4;
  /// Maximum share of a controller's machines that are marked for deletion for silence within one
  /// `silence_limit_s`. Too large: a partition that peers don't see deletes a zone's machines.
  static constexpr double kMarkForDeletionShare = 0.15;
  /// A boot that takes this many times the machine type's boot time is overdue, and capacity is
  /// planned without the machine. By the protocol, half as long again as the boot time is usual.
  static constexpr double kBootOverdueFactor = 1.6;
  /// A machine that has not come up after this many times its type's boot time and one worker lease
  /// is deleted: some never come up, and are charged all the same.
  static constexpr double kBootTimeoutFactor = 2.5;
  /// Different jobs in a row that have to fail on a machine before it counts as faulty.
  static constexpr int kMinFailedJobs = 2;

 private:
  // Shares of a controller's sockets. Together with the calls to the state store, the cloud and the
  // peers, commands and forwarded heartbeats have to need less than kClientShare, which is the
  // share of all outgoing connections (transport/controller_server.cpp).

  /// Share for commands to workers.
  static constexpr double kCommandShare = 0.2;
  /// Share of `command_slots` for machines that did not answer the last command.
  static constexpr double kSilentCommandShare = 0.75;
  /// Share for forwarded heartbeats.
  static constexpr double kForwardShare = 0.05;

  static size_t slots(const store::Settings& s, double share) {
    return static_cast<size_t>(std::max(2.0, s.max_connections * share));
  }
};

}  // namespace rushtrestle::coordination

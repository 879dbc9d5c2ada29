// Who is alive, who holds which part, who leads; all proven by leased keys.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "coordination/state_link.h"

namespace rushtrestle::coordination {

class Membership {
 public:
  Membership(Context& ctx, store::Model& model, StateLink& link);

  void tick();
  void heard(const PeerState& state);
  /// A peer has told its state and is told ours in the answer.
  void asked_by(const PeerState& state);
  /// When `tick` has something to do by the clock alone; a time that has passed: as soon as can be.
  double next_due() const;
  void holder_changed(const std::string& key);
  void lease_lost();

  int parts() const { return ctx_.settings.nodes; }
  int part_of_team(const std::string& team) const;  // -1: unknown team
  /// Stamp of the part's key if this node holds it and its model covers that; 0 otherwise.
  uint64_t held(int part) const;
  bool leading() const { return lead_stamp_ != 0 && link_.lease_valid() && model_.revision() >= lead_stamp_; }
  uint64_t lead_stamp() const { return lead_stamp_; }
  /// May this node still answer workers of the parts it holds?
  bool may_answer_workers() const;
  /// Without a lease: may a worker's lease be renewed all the same?
  bool may_answer_blind() const;
  /// Node that holds the part according to the model; empty: none known.
  std::string holder_of(int part) const;
  bool peer_hears(const std::string& machine) const;
  std::vector<std::string> heard_nodes() const;
  /// Address of a controller that we hear; empty: we don't.
  std::string address_of(const std::string& node) const;
  /// A controller that we hear and that hears `node`; empty: none.
  std::string go_between(const std::string& node) const;
  bool holds_a_part(const std::string& node) const;
  bool outage_shared() const;
  /// Every other controller has said within the last moments that it reads this record format.
  bool all_read(uint64_t record_format) const;
  /// What each controller runs, for operators.
  store::Json versions() const;
  /// In answer to a peer: the cancellations that it has not shown to know.
  Handover hand_over(const PeerState& asker) const;

  std::function<PeerState()> own_state;
  std::function<void(int part)> on_gained, on_lost;

 private:
  struct Peer {
    store::PeerSettings settings;
    PeerState state;  // but for the machines that it hears:
    std::unordered_set<std::string> hears;
    double heard_at = kLongAgo, steady_since = 0;
    double next_tell = 0;
    bool telling = false;
    HandoverMark known;               // of its cancellations, here
    double covered_until = kLongAgo;  // every cancellation that it told before this time is known here
  };
  bool fresh(const Peer& p) const { return ctx_.now - p.heard_at < ctx_.tune.peer_fresh_s; }
  const Peer* peer(const std::string& node) const;
  void tell(Peer& p);
  void divide_budget();
  void take_over(Peer& p, const PeerState& said, double asked_at);
  double covered_until() const;
  bool knows_cancellations() const;
  void claim(const std::string& key, uint64_t expected);
  void consider(const std::string& key, int home, int distance);
  void hand_back(int part);

  Context& ctx_;
  store::Model& model_;
  StateLink& link_;
  std::vector<Peer> peers_;
  std::vector<std::string> nodes_;  // sorted by name: the i-th is home of part i
  std::vector<std::string> teams_;  // sorted by name
  std::map<std::string, double> absent_since_;
  std::map<std::string, bool> claiming_;
  std::map<int, uint64_t> held_;  // part -> stamp of its key
  std::set<int> gaining_;         // held, but the model does not cover the key's stamp yet
  uint64_t lead_stamp_ = 0;
  double former_self_covered_until_ = kLongAgo;  // what earlier incarnations of this node told
};

}  // namespace rushtrestle::coordination

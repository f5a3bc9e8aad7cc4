#ifndef TEASELHITCH_LIB_MEMBERSHIP_MEMBERSHIPCORE_H
#define TEASELHITCH_LIB_MEMBERSHIP_MEMBERSHIPCORE_H

/// \file
/// The state machine behind Membership. MembershipCore.cpp has probes and
/// timers, MembershipMessages.cpp has datagrams, MembershipMerge.cpp decides on
/// received records, Membership.cpp has what the own node writes.

#include "GossipQueue.h"
#include "Roster.h"
#include "teaselhitch/Membership/DatagramSize.h"

#include <deque>

namespace teaselhitch {

inline QuarantineKey keyOf(const QuarantineRecord &Record) {
  return {Record.Fingerprint, Record.Crash, Record.Repeated, Record.Service};
}

inline QuarantineRecord recordOf(const QuarantineKey &Key, Duration Rest) {
  return {Key.Fingerprint, static_cast<std::uint32_t>(Rest.ms()), Key.Crash,
          Key.Repeated, Key.Service};
}

class MembershipCore final : public Membership {
public:
  MembershipCore(MembershipSettings Chosen, NodeRecord Own,
                 RandomSource &Random, Time Now);

  MembershipActions tick(Time Now) override;
  MembershipActions receive(const Datagram &Message, const Endpoint &From,
                            Time Now) override;
  void addSeeds(std::vector<Endpoint> Addresses) override;
  void publish(const BackendServerRecord &Record, Time Now) override;
  void offerHead(const ConfigHead &Head, Time Now) override;
  void spreadQuarantine(const QuarantineRecord &Record, Time Now) override;
  void leave(Time Now) override;
  Digest digest() const override;
  std::vector<Delta> deltasFor(const Digest &Other,
                               std::size_t MaxRecords) const override;
  MembershipActions apply(const Delta &Changes, Time Now) override;
  std::shared_ptr<const FleetView> view() const override;
  const NodeRecord &self() const override { return Self->Record; }
  MembershipCounters counters() const override { return Counters; }

private:
  /// Where a record came from. Claims that arrive by anti-entropy may be old,
  /// so they are checked by a probe before they count.
  enum class Source : std::uint8_t { Gossip, Sync };

  /// The circumstances of a merge.
  struct Merge {
    Source From = Source::Gossip;
    /// Where to send the own record when the sender's copy is out of date.
    const Endpoint *ReplyTo = nullptr;
    Time Now;
    MembershipActions &Out;
    /// What was new.
    std::vector<GossipItem> Learned;
  };

  struct PendingProbe {
    NodeName Target;
    Time IndirectAt;
    Time FailsAt;
    bool IndirectSent = false;
  };

  /// A probe on behalf of another node.
  struct Relay {
    NodeName Target;
    Endpoint Origin;
    std::uint64_t Sequence = 0;
    Time Until;
  };

  // Timers.
  bool isJoining(Time Now) const { return JoinUntil && Now < *JoinUntil; }
  void checkLateness(Time Now);
  void checkProbes(Time Now, MembershipActions &Out);
  void checkSuspicions(Time Now, MembershipActions &Out);
  void askSuspect(NodeEntry &Entry, Time Now, MembershipActions &Out);
  void startDueProbes(Time Now, MembershipActions &Out);
  void gossip(Time Now, MembershipActions &Out);
  void startDueSync(Time Now, MembershipActions &Out);
  void contactOutsiders(Time Now, MembershipActions &Out);
  void dropExpired(Time Now);

  // Probes.
  NodeEntry *nextProbeTarget();
  void shuffleProbeOrder();
  void startProbe(const NodeEntry &Target, std::vector<NodeRecord> First,
                  Time Now, MembershipActions &Out);
  void sendIndirectProbes(std::uint64_t Sequence, const NodeEntry &Target,
                          Time Now, MembershipActions &Out);
  std::vector<const NodeEntry *> chooseHelpers(const NodeEntry &Target);
  void contact(const Endpoint &To, std::vector<NodeRecord> First, Time Now,
               MembershipActions &Out);
  std::vector<const NodeEntry *> gossipTargets();
  std::vector<const NodeEntry *> randomPeers(std::size_t Count);

  // Messages.
  void onProbe(const Datagram &Message, const Endpoint &From, Time Now,
               MembershipActions &Out);
  void onProbeAck(const Datagram &Message, Time Now, MembershipActions &Out);
  void onIndirectProbe(const Datagram &Message, const Endpoint &From, Time Now,
                       MembershipActions &Out);
  std::optional<NodeRecord> claimAbout(const Datagram &Message) const;
  Datagram compose(DatagramKind Kind, const std::vector<NodeRecord> &First,
                   std::uint32_t Copies, Time Now, const NodeName &Target = {});
  GossipQueue::Verdict offer(const GossipItem &Item, Delta &Changes,
                             DatagramSize &Size, Time Now) const;
  void reply(const Endpoint &To, const NodeRecord &First, Time Now,
             MembershipActions &Out);
  std::uint32_t transmitLimit() const;

  // Merging.
  void merge(const Delta &Changes, Merge &M);
  void mergeNode(const NodeRecord &Record, Merge &M);
  void mergeNewer(NodeEntry &Entry, const NodeRecord &Record, Merge &M);
  void mergeClaim(NodeEntry &Entry, NodeState Claim, Merge &M);
  void mergeSelf(const NodeRecord &Record, Merge &M);
  void mergeServer(const BackendServerRecord &Record, Merge &M);
  void mergeOwnServer(const BackendServerRecord &Record, Time Now);
  void mergeQuarantine(const QuarantineRecord &Record, Merge &M);
  void mergeHead(const ConfigHead &Received, Merge &M);
  void setState(NodeEntry &Entry, NodeState State, Time Now,
                MembershipActions &Out);
  void suspect(NodeEntry &Entry, Time Now, MembershipActions &Out);
  void becameUsable(const NodeEntry &Entry, Merge &M);
  Duration suspicionTime() const;

  // Own records.
  void refute(const RecordVersion &Claim, Time Now);
  void raiseIncarnation(std::uint64_t Claimed, Time Now);
  void writeServer(BackendServerRecord Record);
  void storeQuarantine(const QuarantineKey &Key, Time Until, Time Now);

  MembershipSettings Settings;
  RandomSource &Random;
  Roster Records;
  NodeEntry *Self;
  GossipQueue Queue;
  MembershipCounters Counters;

  ConfigHead Head;
  std::map<QuarantineKey, Time> Quarantines;

  std::map<std::uint64_t, PendingProbe> Pending;
  std::map<std::uint64_t, Relay> Relays;
  std::set<NodeName> Suspects;
  /// Nodes that a peer holds for dead while we do not.
  std::set<NodeName> ToVerify;
  std::vector<NodeName> ProbeOrder;
  std::size_t ProbePosition = 0;
  std::uint64_t LastSequence = 0;
  bool NextIsRingProbe = true;

  std::uint64_t ServerSequence = 0;
  std::optional<Time> LastRaise;
  /// Least time between raises of the own incarnation.
  Duration RaiseInterval = Duration::seconds(1);
  unsigned RepliesLeft = 0;
  Time NextReplies;

  std::optional<Time> LastTick;
  /// End of the time after the start; set by the first tick.
  std::optional<Time> JoinUntil;
  Time NextProbe;
  Time NextGossip;
  Time NextSync;
  Time NextOutsider;
  Time NextCleanup;
  /// A node to prefer for the next anti-entropy.
  NodeName SyncHint;
  bool HasSynced = false;
};

} // namespace teaselhitch

#endif

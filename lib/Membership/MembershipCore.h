#ifndef TEASELHITCH_LIB_MEMBERSHIP_MEMBERSHIPCORE_H
#define TEASELHITCH_LIB_MEMBERSHIP_MEMBERSHIPCORE_H

/// \file
/// The state machine that implements Membership. MembershipCore.cpp has the
/// probes and timers, MembershipMessages.cpp the datagrams, MembershipMerge.cpp
/// the rules for received records, MembershipRemote.cpp what is sent to remote
/// failure domains, and Membership.cpp the records that this node writes.

#include "DomainDistance.h"
#include "GossipQueue.h"
#include "Roster.h"
#include "teaselhitch/Membership/DatagramSize.h"

#include <deque>

namespace teaselhitch {

inline QuarantineKey makeQuarantineKey(const QuarantineRecord &Record) {
  return {Record.Fingerprint, Record.CrashId, Record.Repeated, Record.Service};
}

inline QuarantineRecord makeQuarantineRecord(const QuarantineKey &Key,
                                             Duration Remaining) {
  return {Key.Fingerprint, static_cast<std::uint32_t>(Remaining.ms()),
          Key.CrashId, Key.Repeated, Key.Service};
}

class MembershipCore final : public Membership {
public:
  MembershipCore(MembershipSettings InitialSettings, NodeRecord SelfRecord,
                 RandomSource &Random, Time Now);

  MembershipActions tick(Time Now) override;
  MembershipActions receive(const Datagram &Message, const Endpoint &From,
                            Time Now) override;
  void addSeeds(std::vector<Endpoint> Addresses) override;
  void publish(const BackendServerRecord &Record, Time Now) override;
  void publishHead(const ConfigHead &Head, Time Now) override;
  void publishQuarantine(const QuarantineRecord &Record, Time Now) override;
  void leave(Time Now) override;
  Digest digest() const override;
  std::vector<Delta> deltasFor(const Digest &Other,
                               std::size_t MaxRecords) const override;
  MembershipActions apply(const Delta &Changes, const NodeName &Sender,
                          Time Now) override;
  std::shared_ptr<const FleetView> view() const override;
  const NodeRecord &self() const override { return Self->Record; }
  MembershipCounters counters() const override { return Counters; }

private:
  /// Number of times that a node sends an item to each remote domain at most.
  static constexpr std::uint32_t RemoteCopies = 3;

  /// Channel by which a record arrived. Claims that arrive by anti-entropy may
  /// be outdated, so a probe verifies them before they are accepted.
  enum class ChannelKind : std::uint8_t { Gossip, Sync };

  /// Context of a merge.
  struct MergeContext {
    ChannelKind Channel = ChannelKind::Gossip;
    /// Address to which the own record is sent if the sender's copy is
    /// outdated; null if no reply is possible.
    const Endpoint *ReplyAddress = nullptr;
    /// Node that sent the changes, or empty.
    NodeName Sender;
    Time Now;
    MembershipActions &Out;
    /// Items that were unknown or newer than the known ones.
    std::vector<GossipItem> NewItems;
  };

  struct PendingProbe {
    NodeName Target;
    Time IndirectProbeTime;
    Time Deadline;
    bool IndirectSent = false;
    Time SentAt;
  };

  /// A probe that this node sends on behalf of Origin.
  struct RelayedProbe {
    NodeName Target;
    Endpoint Origin;
    NodeName OriginNode;
    std::uint64_t Sequence = 0;
    Time ExpiresAt;
  };

  // Timers.
  bool isJoining(Time Now) const { return JoinEnd && Now < *JoinEnd; }
  void checkTickGap(Time Now);
  void checkProbes(Time Now, MembershipActions &Out);
  void checkSuspicions(Time Now, MembershipActions &Out);
  void probeSuspect(NodeEntry &Entry, Time Now, MembershipActions &Out);
  void startDueProbes(Time Now, MembershipActions &Out);
  void gossip(Time Now, MembershipActions &Out);
  void startDueSync(Time Now, MembershipActions &Out);
  void discoverPeers(Time Now, MembershipActions &Out);
  void dropExpired(Time Now);

  // Probes.
  NodeEntry *nextProbeTarget();
  void shuffleProbeOrder();
  void startProbe(const NodeEntry &Target,
                  std::vector<NodeRecord> PriorityRecords, Time Now,
                  MembershipActions &Out);
  void sendIndirectProbes(std::uint64_t Sequence, const NodeEntry &Target,
                          Time Now, MembershipActions &Out);
  std::vector<const NodeEntry *> chooseRelayNodes(const NodeEntry &Target);
  /// \param To the node with this address, or null if it is not known.
  void contact(const Endpoint &Address, const NodeEntry *To,
               std::vector<NodeRecord> PriorityRecords, Time Now,
               MembershipActions &Out);
  std::vector<const NodeEntry *> gossipTargets();
  std::vector<NodeEntry *> sameDomainPeers() const;
  const NodeEntry *chooseSyncPeer(Time Now);
  std::vector<const NodeEntry *> randomPeers(std::size_t Count);

  // Messages.
  void onProbe(const Datagram &Message, const Endpoint &From, Time Now,
               MembershipActions &Out);
  void onProbeAck(const Datagram &Message, Time Now, MembershipActions &Out);
  void onIndirectProbe(const Datagram &Message, const Endpoint &From, Time Now,
                       MembershipActions &Out);
  std::optional<NodeRecord> senderClaim(const Datagram &Message) const;
  /// Composes a datagram of PriorityRecords and then of queued gossip items.
  /// The items count as sent Copies times.
  /// \param To receiver, or null if it is not known. A receiver in a remote
  /// domain gets only items that are queued for that domain.
  Datagram compose(DatagramKind Kind, const NodeEntry *To,
                   const std::vector<NodeRecord> &PriorityRecords,
                   std::uint32_t Copies, Time Now, const NodeName &Target = {});
  /// \param To the node with this address, or null if it is not known.
  void send(const Endpoint &Address, const NodeEntry *To, Datagram Message,
            MembershipActions &Out) const;
  GossipQueue::OfferResult addItem(const GossipItem &Item, Delta &Changes,
                                   DatagramSize &Size, Time Now) const;
  void reply(const Endpoint &Address, const NodeEntry *To,
             const NodeRecord &Record, Time Now, MembershipActions &Out);
  std::uint32_t transmitLimit() const;

  // Remote failure domains.
  enum class ItemOrigin : std::uint8_t {
    /// This node wrote the record or found the change.
    Own,
    /// Other nodes of the own domain learn the change as well.
    Shared,
  };
  bool isRemote(const NodeEntry &Entry) const {
    return Distance.isRemote(Entry.Record.Domain);
  }
  /// Queues an item for gossip in the near domains, and for remote ones if it
  /// is this node's task.
  void enqueue(const GossipItem &Item, ItemOrigin Origin,
               const NodeName &Sender = {});
  void enqueueForRemote(const GossipItem &Item, ItemOrigin Origin,
                        const NodeName &Sender);
  /// Records that Sender knows an item.
  void noteDuplicate(const GossipItem &Item, const NodeName &Sender);
  /// Returns true if this node is among those of its domain that forward the
  /// item to remote domains.
  bool isForwarder(const GossipItem &Item) const;
  bool isRoutine(const GossipItem &Item) const;
  std::uint64_t itemHash(const GossipItem &Item) const;
  void gossipToRemote(Time Now, MembershipActions &Out);
  std::vector<const NodeEntry *> nearGossipTargets();
  /// Returns the live peers that are in remote domains, or those that are not.
  std::vector<NodeEntry *> peersByDistance(bool Remote) const;
  NodeEntry *nextRemoteProbeTarget();
  NodeEntry *probeTargetInFailingDomain();
  const NodeEntry *chooseSyncPeerByDistance(Time Now);
  void recordRoundTrip(const PendingProbe &Probe, Time Now);

  // Merging.
  void merge(const Delta &Changes, MergeContext &M);
  void mergeNode(const NodeRecord &Record, MergeContext &M);
  void mergeNewer(NodeEntry &Entry, const NodeRecord &Record, MergeContext &M);
  void mergeClaim(NodeEntry &Entry, NodeState Claim, MergeContext &M);
  void mergeSelf(const NodeRecord &Record, MergeContext &M);
  void mergeServer(const BackendServerRecord &Record, MergeContext &M);
  void mergeOwnServer(const BackendServerRecord &Record, MergeContext &M);
  void mergeQuarantine(const QuarantineRecord &Record, MergeContext &M);
  void mergeHead(const ConfigHead &Received, MergeContext &M);
  void setState(NodeEntry &Entry, NodeState State, Time Now,
                MembershipActions &Out);
  void suspect(NodeEntry &Entry, Time Now, MembershipActions &Out);
  void onNodeUp(const NodeEntry &Entry, MergeContext &M);
  Duration suspicionDuration() const;

  // Own records.
  void refute(const RecordVersion &Claim, Time Now);
  void raiseIncarnation(std::uint64_t Claimed, Time Now);
  void writeServer(BackendServerRecord Record);
  void storeQuarantine(const QuarantineKey &Key, Time ExpiresAt, Time Now);

  MembershipSettings Settings;
  RandomSource &Random;
  Roster Records;
  NodeEntry *Self;
  GossipQueue Queue;
  DomainDistance Distance;
  /// Changes to send to remote domains.
  std::map<FailureDomain, GossipQueue> RemoteQueues;
  MembershipCounters Counters;

  ConfigHead Head;
  std::map<QuarantineKey, Time> Quarantines;

  std::map<std::uint64_t, PendingProbe> PendingProbes;
  std::map<std::uint64_t, RelayedProbe> RelayedProbes;
  std::set<NodeName> Suspects;
  /// Nodes that a peer considers dead while this node does not. Each is probed
  /// before the claim counts.
  std::set<NodeName> VerificationTargets;
  std::vector<NodeName> ProbeOrder;
  std::size_t ProbePosition = 0;
  std::uint64_t LastSequence = 0;
  bool NextIsRingProbe = true;
  std::uint64_t ProbeCount = 0;

  std::uint64_t ServerSequence = 0;
  std::optional<Time> LastRaise;
  /// Minimum time between raises of the own incarnation.
  Duration RaiseInterval = Duration::seconds(1);
  unsigned RepliesLeft = 0;
  Time NextReplies;

  std::optional<Time> LastTick;
  /// End of the join period; set by the first tick.
  std::optional<Time> JoinEnd;
  Time NextProbe;
  Time NextGossip;
  Time NextRemoteGossip;
  Time NextSync;
  Time NextDiscovery;
  Time NextCleanup;
  /// Preferred peer for the next anti-entropy; empty if there is none.
  NodeName PreferredSyncPeer;
  bool HasSynced = false;
};

} // namespace teaselhitch

#endif

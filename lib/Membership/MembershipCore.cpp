#include "MembershipCore.h"

#include <algorithm>
#include <set>

namespace teaselhitch {

namespace {

/// A longer gap between two ticks shows that this process was stalled, so
/// missing answers are no evidence that other nodes failed.
constexpr Duration MaxTickGap = Duration(200);
/// Interval between contacts to nodes outside the live view: to a seed while
/// there are no peers, and to one unreachable node, which detects the end of a
/// partition.
constexpr Duration DiscoveryInterval = Duration::seconds(1);
/// Discovery interval while this node knows no other node, because it cannot
/// serve requests before it does.
constexpr Duration IsolatedDiscoveryInterval = Duration(100);
/// Number of seeds contacted at once while this node knows no other node.
constexpr std::size_t IsolatedSeedContacts = 3;
/// Share of the discovery intervals that are used when the fleet looks
/// complete. Limits the traffic while single nodes stay dead for hours.
constexpr double IdleDiscoveryShare = 0.1;
/// Ratio of unreachable to live nodes at which every discovery interval is
/// used.
constexpr double PartitionRatio = 0.25;
/// Share of anti-entropy that is done with a peer of the own failure domain.
constexpr double SameDomainSyncShare = 0.75;
/// Time after the start in which a node contacts an unknown seed in every
/// discovery interval and runs anti-entropy more often. Otherwise nodes that
/// start together may form groups, each with one or two peers, that find each
/// other only after 10 s or more.
constexpr Duration JoinPeriod = Duration::seconds(15);
constexpr Duration JoinSyncInterval = Duration::seconds(1);
constexpr Duration CleanupInterval = Duration::seconds(5);
/// Time before the end of a suspicion in which the suspect is probed directly,
/// and the interval of these probes. Most refutations have arrived by then, so
/// few probes are sent.
constexpr Duration FinalProbeWindow = Duration::seconds(1);
constexpr Duration SuspectProbeInterval = Duration(350);
/// Maximum number of probes per tick to nodes that a peer considers dead.
constexpr std::size_t MaxVerificationProbes = 4;
/// Maximum number of corrections sent to outdated peers per interval. Bounds
/// the traffic when two nodes disagree permanently.
constexpr unsigned MaxReplies = 8;
constexpr Duration ReplyInterval = Duration::seconds(1);
/// Number of random draws for each relay node, first from other failure
/// domains, then from all.
constexpr unsigned DrawsPerRelayNode = 8;

} // namespace

MembershipActions MembershipCore::tick(Time Now) {
  MembershipActions Out;
  if (Now >= NextReplies) {
    NextReplies = Now + ReplyInterval;
    RepliesLeft = MaxReplies;
  }
  if (!JoinEnd)
    JoinEnd = Now + JoinPeriod;
  checkTickGap(Now);
  checkProbes(Now, Out);
  checkSuspicions(Now, Out);
  startDueProbes(Now, Out);
  startDueSync(Now, Out);
  discoverPeers(Now, Out);
  gossip(Now, Out);
  if (Now >= NextCleanup) {
    NextCleanup = Now + CleanupInterval;
    dropExpired(Now);
  }
  return Out;
}

void MembershipCore::checkTickGap(Time Now) {
  bool IsLate = LastTick && Now - *LastTick > MaxTickGap;
  Duration Gap = LastTick ? Now - *LastTick : Duration();
  LastTick = Now;
  if (!IsLate)
    return;
  ++Counters.LateTicks;
  // Acknowledgements may still be waiting in the socket buffer. Suspicion
  // deadlines are extended by the gap, and to at least one whole timeout from
  // now, so that refutations can be read.
  PendingProbes.clear();
  for (const NodeName &Name : Suspects) {
    NodeEntry *Entry = Records.find(Name);
    if (Entry != nullptr && Entry->SuspicionDeadline)
      Entry->SuspicionDeadline = std::max(*Entry->SuspicionDeadline + Gap,
                                          Now + Settings.SuspicionTimeout);
  }
}

void MembershipCore::checkProbes(Time Now, MembershipActions &Out) {
  for (auto It = PendingProbes.begin(); It != PendingProbes.end();) {
    PendingProbe &Probe = It->second;
    NodeEntry *Target = Records.find(Probe.Target);
    if (Target == nullptr || Target->isDead()) {
      It = PendingProbes.erase(It);
      continue;
    }
    if (!Probe.IndirectSent && Now >= Probe.IndirectProbeTime) {
      Probe.IndirectSent = true;
      // Indirect probes get a whole timeout even if the tick interval is
      // coarse.
      Probe.Deadline = std::max(Probe.Deadline, Now + Settings.ProbeTimeout);
      sendIndirectProbes(It->first, *Target, Now, Out);
    }
    if (Now < Probe.Deadline) {
      ++It;
      continue;
    }
    It = PendingProbes.erase(It);
    bool WasSuspected = Target->SuspicionDeadline.has_value();
    suspect(*Target, Now, Out);
    if (!WasSuspected && Target->Record.State == NodeState::Suspected)
      enqueueForRemote(GossipItem::node(Target->Record.Name), ItemOrigin::Own,
                       NodeName());
  }
}

void MembershipCore::checkSuspicions(Time Now, MembershipActions &Out) {
  for (auto It = Suspects.begin(); It != Suspects.end();) {
    NodeEntry *Entry = Records.find(*It);
    if (Entry == nullptr || !Entry->SuspicionDeadline || Entry->isDead()) {
      It = Suspects.erase(It);
      continue;
    }
    if (Now < *Entry->SuspicionDeadline) {
      probeSuspect(*Entry, Now, Out);
      ++It;
      continue;
    }
    It = Suspects.erase(It);
    setState(*Entry, NodeState::Dead, Now, Out);
  }
}

/// Probes a suspect directly before it is declared dead, because its refutation
/// may have been lost only on the way to this node.
void MembershipCore::probeSuspect(NodeEntry &Entry, Time Now,
                                  MembershipActions &Out) {
  if (*Entry.SuspicionDeadline - Now > FinalProbeWindow ||
      Now < Entry.NextSuspectProbe)
    return;
  Entry.NextSuspectProbe = Now + SuspectProbeInterval;
  contact(Entry.Record.Address, &Entry, {Entry.Record}, Now, Out);
}

void MembershipCore::startDueProbes(Time Now, MembershipActions &Out) {
  if (Now >= NextProbe) {
    NextProbe = Now + Settings.ProbeInterval;
    if (NodeEntry *Target = nextProbeTarget())
      startProbe(*Target, {}, Now, Out);
  }
  for (std::size_t I = 0;
       I != MaxVerificationProbes && !VerificationTargets.empty(); ++I) {
    auto Position = static_cast<std::ptrdiff_t>(
        Random.uniformInt(VerificationTargets.size()));
    auto It = std::next(VerificationTargets.begin(), Position);
    NodeEntry *Target = Records.find(*It);
    VerificationTargets.erase(It);
    if (Target == nullptr || Target->Record.State != NodeState::Alive)
      continue;
    // The probe carries the claim, so that the node can refute it.
    NodeRecord Claim = Target->Record;
    Claim.State = NodeState::Dead;
    startProbe(*Target, {Claim}, Now, Out);
  }
}

NodeEntry *MembershipCore::nextProbeTarget() {
  if (NodeEntry *Target = nextRemoteProbeTarget())
    return Target;
  NextIsRingProbe = !NextIsRingProbe;
  // Random choice alone occasionally leaves a node without a probe for several
  // intervals. Every second probe goes to the ring successor, so that each node
  // is probed by its predecessor in every second interval.
  if (NextIsRingProbe)
    return Records.ringSuccessor(Distance.remote());
  for (int Round = 0; Round != 2; ++Round) {
    while (ProbePosition < ProbeOrder.size()) {
      NodeEntry *Entry = Records.find(ProbeOrder[ProbePosition++]);
      if (Entry != nullptr && Entry->LiveIndex && !isRemote(*Entry))
        return Entry;
    }
    shuffleProbeOrder();
  }
  return nullptr;
}

void MembershipCore::shuffleProbeOrder() {
  ProbeOrder.clear();
  ProbePosition = 0;
  for (const NodeEntry *Entry : Records.livePeers())
    ProbeOrder.push_back(Entry->Record.Name);
  for (std::size_t I = ProbeOrder.size(); I > 1; --I)
    std::swap(ProbeOrder[I - 1], ProbeOrder[Random.uniformInt(I)]);
}

void MembershipCore::startProbe(const NodeEntry &Target,
                                std::vector<NodeRecord> PriorityRecords,
                                Time Now, MembershipActions &Out) {
  Datagram Message;
  if (PriorityRecords.empty() && Target.Record.State == NodeState::Suspected)
    PriorityRecords.push_back(Target.Record);
  Message = compose(DatagramKind::Probe, &Target, PriorityRecords, 1, Now);
  Message.Sequence = ++LastSequence;
  PendingProbes[Message.Sequence] = {Target.Record.Name,
                                     Now + Settings.ProbeTimeout,
                                     Now + Settings.ProbeInterval, false, Now};
  send(Target.Record.Address, &Target, std::move(Message), Out);
}

void MembershipCore::sendIndirectProbes(std::uint64_t Sequence,
                                        const NodeEntry &Target, Time Now,
                                        MembershipActions &Out) {
  // Repeat the direct probe, because the loss of one datagram is the most
  // frequent cause of a missing answer.
  Datagram Retry = compose(DatagramKind::Probe, &Target, {}, 1, Now);
  Retry.Sequence = Sequence;
  send(Target.Record.Address, &Target, std::move(Retry), Out);
  for (const NodeEntry *RelayNode : chooseRelayNodes(Target)) {
    Datagram Message = compose(DatagramKind::IndirectProbe, RelayNode, {}, 1,
                               Now, Target.Record.Name);
    Message.Sequence = Sequence;
    send(RelayNode->Record.Address, RelayNode, std::move(Message), Out);
  }
}

std::vector<const NodeEntry *>
MembershipCore::chooseRelayNodes(const NodeEntry &Target) {
  const std::vector<NodeEntry *> &LivePeers = Records.livePeers();
  std::vector<const NodeEntry *> Chosen;
  auto TryCandidate = [&](std::size_t Count, auto &&IsPreferred) {
    const NodeEntry *Entry = LivePeers[Random.uniformInt(LivePeers.size())];
    bool IsUsable =
        Entry != &Target && Entry->Record.State == NodeState::Alive &&
        std::find(Chosen.begin(), Chosen.end(), Entry) == Chosen.end();
    if (IsUsable && IsPreferred(Entry->Record.Domain) && Chosen.size() < Count)
      Chosen.push_back(Entry);
  };
  auto TryCandidates = [&](std::size_t Count, auto &&IsPreferred) {
    for (unsigned I = 0; I != DrawsPerRelayNode * Settings.IndirectProbes; ++I)
      TryCandidate(Count, IsPreferred);
  };
  if (LivePeers.empty())
    return Chosen;
  // A near target is asked by near nodes, but for one. A remote target is asked
  // from a third domain, because all paths between two domains may fail at
  // once.
  if (!Distance.remote().empty() && Settings.IndirectProbes > 1) {
    bool IsNearTarget = !isRemote(Target);
    TryCandidates(Settings.IndirectProbes - 1, [&](const FailureDomain &D) {
      return IsNearTarget ? !Distance.isRemote(D)
                          : D != Target.Record.Domain && Distance.isRemote(D);
    });
  }
  TryCandidates(Settings.IndirectProbes, [&](const FailureDomain &D) {
    return D != Self->Record.Domain;
  });
  TryCandidates(Settings.IndirectProbes,
                [](const FailureDomain &) { return true; });
  return Chosen;
}

std::vector<const NodeEntry *> MembershipCore::randomPeers(std::size_t Count) {
  const std::vector<NodeEntry *> &LivePeers = Records.livePeers();
  std::vector<const NodeEntry *> Chosen;
  if (LivePeers.size() <= Count) {
    Chosen.assign(LivePeers.begin(), LivePeers.end());
    return Chosen;
  }
  while (Chosen.size() != Count) {
    const NodeEntry *Entry = LivePeers[Random.uniformInt(LivePeers.size())];
    if (std::find(Chosen.begin(), Chosen.end(), Entry) == Chosen.end())
      Chosen.push_back(Entry);
  }
  return Chosen;
}

/// Chooses mostly peers of the own failure domain: traffic between failure
/// domains costs more, and a few datagrams suffice to carry a change into
/// another one.
std::vector<const NodeEntry *> MembershipCore::gossipTargets() {
  std::vector<const NodeEntry *> Chosen = randomPeers(Settings.GossipTargets);
  std::vector<NodeEntry *> SameDomainPeers = sameDomainPeers();
  for (std::size_t I = 1; I < Chosen.size() && !SameDomainPeers.empty(); ++I) {
    std::size_t Index = Random.uniformInt(SameDomainPeers.size());
    if (std::find(Chosen.begin(), Chosen.end(), SameDomainPeers[Index]) ==
        Chosen.end())
      Chosen[I] = SameDomainPeers[Index];
    std::swap(SameDomainPeers[Index], SameDomainPeers.back());
    SameDomainPeers.pop_back();
  }
  return Chosen;
}

void MembershipCore::gossip(Time Now, MembershipActions &Out) {
  gossipToRemote(Now, Out);
  if (Now < NextGossip || Queue.empty() || Records.livePeers().empty())
    return;
  NextGossip = Now + Settings.GossipInterval;
  std::vector<const NodeEntry *> Targets =
      Distance.remote().empty() ? gossipTargets() : nearGossipTargets();
  if (Targets.empty())
    return;
  Datagram Message = compose(DatagramKind::Gossip, nullptr, {},
                             static_cast<std::uint32_t>(Targets.size()), Now);
  if (Message.Changes == Delta())
    return;
  for (const NodeEntry *Target : Targets)
    send(Target->Record.Address, Target, Message, Out);
}

std::vector<NodeEntry *> MembershipCore::sameDomainPeers() const {
  std::vector<NodeEntry *> Found;
  for (NodeEntry *Entry : Records.livePeers())
    if (Entry->Record.Domain == Self->Record.Domain)
      Found.push_back(Entry);
  return Found;
}

/// Chooses mostly peers of the own failure domain, because the records that
/// anti-entropy transfers would cost more between domains.
const NodeEntry *MembershipCore::chooseSyncPeer(Time Now) {
  if (!Distance.remote().empty())
    return chooseSyncPeerByDistance(Now);
  std::vector<NodeEntry *> SameDomain = sameDomainPeers();
  if (!SameDomain.empty() && Random.uniform() < SameDomainSyncShare)
    return SameDomain[Random.uniformInt(SameDomain.size())];
  return randomPeers(1).front();
}

void MembershipCore::startDueSync(Time Now, MembershipActions &Out) {
  if (Records.livePeers().empty() || (HasSynced && Now < NextSync))
    return;
  HasSynced = true;
  // Random jitter, so that nodes started together do not sync at the same time.
  Duration Interval = isJoining(Now)
                          ? std::min(JoinSyncInterval, Settings.SyncInterval)
                          : Settings.SyncInterval;
  NextSync = Now + Interval * (0.9 + 0.2 * Random.uniform());
  const NodeEntry *Preferred = Records.find(PreferredSyncPeer);
  PreferredSyncPeer = NodeName();
  bool UsesPreferred = Preferred != nullptr && Preferred->LiveIndex;
  const NodeEntry *Peer = UsesPreferred ? Preferred : chooseSyncPeer(Now);
  Out.emplace_back(StartSync{Peer->Record.Name});
}

void MembershipCore::discoverPeers(Time Now, MembershipActions &Out) {
  if (Now < NextDiscovery)
    return;
  const std::vector<NodeEntry *> &LivePeers = Records.livePeers();
  bool IsIsolated = LivePeers.empty() && isJoining(Now);
  NextDiscovery =
      Now + (IsIsolated ? IsolatedDiscoveryInterval : DiscoveryInterval) *
                (0.9 + 0.2 * Random.uniform());
  std::vector<const NodeEntry *> Unreachable = Records.unreachable();
  double UnreachableRatio = static_cast<double>(Unreachable.size()) /
                            static_cast<double>(LivePeers.size() + 1);
  double Share =
      std::max(IdleDiscoveryShare, UnreachableRatio / PartitionRatio);
  if (!Unreachable.empty() && Random.uniform() < Share) {
    const NodeEntry *Entry = Unreachable[Random.uniformInt(Unreachable.size())];
    contact(Entry->Record.Address, Entry, {Entry->Record}, Now, Out);
  }
  if (!LivePeers.empty() && !isJoining(Now) &&
      Random.uniform() >= IdleDiscoveryShare)
    return;
  std::set<Endpoint> Known;
  for (const NodeEntry *Entry : LivePeers)
    Known.insert(Entry->Record.Address);
  std::vector<Endpoint> Unknown;
  for (const Endpoint &Seed : Settings.Seeds)
    if (Known.count(Seed) == 0)
      Unknown.push_back(Seed);
  std::size_t Contacts =
      std::min(IsIsolated ? IsolatedSeedContacts : 1, Unknown.size());
  for (std::size_t I = 0; I != Contacts; ++I)
    contact(Unknown[Random.uniformInt(Unknown.size())], nullptr, {}, Now, Out);
}

void MembershipCore::contact(const Endpoint &Address, const NodeEntry *To,
                             std::vector<NodeRecord> PriorityRecords, Time Now,
                             MembershipActions &Out) {
  PriorityRecords.insert(PriorityRecords.begin(), Self->Record);
  Datagram Message = compose(DatagramKind::Probe, To, PriorityRecords, 1, Now);
  Message.Sequence = ++LastSequence;
  send(Address, To, std::move(Message), Out);
}

void MembershipCore::dropExpired(Time Now) {
  Records.dropExpired(Now);
  std::erase_if(Quarantines, [&](const auto &Q) { return Q.second <= Now; });
  std::erase_if(RelayedProbes,
                [&](const auto &R) { return R.second.ExpiresAt <= Now; });
}

} // namespace teaselhitch

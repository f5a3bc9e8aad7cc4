/// \file
/// Decides what is sent to remote failure domains. Only a few nodes of a domain
/// send a change there, and it spreads among the receivers' neighbours. There
/// are no fixed relays: the senders differ from change to change, and each copy
/// goes to another random receiver.

#include "MembershipCore.h"
#include "teaselhitch/Support/Hash.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Number of nodes of a domain that forward a change to each remote domain,
/// besides the node that wrote it. A single one may be dead or cut off.
constexpr std::size_t ForwardersPerDomain = 2;
/// Copies of a change by each forwarder. Together with those of the writer, one
/// change in a thousand is missed if a tenth of the datagrams is lost and a
/// third of the receivers is dead.
constexpr std::uint32_t ForwarderCopies = 2;
/// Routine changes are sent this many times less. They are most of the
/// bytes, and the next change replaces a lost one.
constexpr std::uint32_t RoutineReduction = 1;
/// Every n-th probe goes to a remote domain. The larger the own domain, the
/// fewer are needed from each of its nodes: together they send about six a
/// second, so that a dead domain is noticed in a fraction of a second.
constexpr std::size_t NodesPerProbePeriod = 3;
constexpr std::size_t MinRemoteProbePeriod = 2;
constexpr std::size_t MaxRemoteProbePeriod = 8;
/// Number of suspects in a remote domain from which it is probed more often. A
/// single one is found by its neighbours; several show that the domain has died
/// or is cut off, and that its neighbours cannot tell.
constexpr std::size_t FailingDomainSuspects = 2;
/// Share of anti-entropy with remote domains. It repairs only what both gossip
/// and near anti-entropy missed.
constexpr double RemoteSyncShare = 1.0 / 16;
/// The same while the node joins and has to learn all domains.
constexpr double JoiningRemoteSyncShare = 0.25;

} // namespace

void MembershipCore::recordRoundTrip(const PendingProbe &Probe, Time Now) {
  // After a repetition, it is not known which probe was answered.
  const NodeEntry *Target = Records.find(Probe.Target);
  if (Probe.IndirectSent || Target == nullptr || !Target->isKnown())
    return;
  if (Distance.record(Target->Record.Domain, Now - Probe.SentAt)) {
    Records.setRemoteDomains(Distance.remote());
    std::erase_if(RemoteQueues,
                  [&](const auto &Q) { return !Distance.isRemote(Q.first); });
  }
}

void MembershipCore::enqueue(const GossipItem &Item, ItemOrigin Origin,
                             const NodeName &Sender) {
  Queue.add(Item);
  enqueueForRemote(Item, Origin, Sender);
}

void MembershipCore::enqueueForRemote(const GossipItem &Item, ItemOrigin Origin,
                                      const NodeName &Sender) {
  if (Distance.remote().empty() ||
      (Origin == ItemOrigin::Shared && !isForwarder(Item)))
    return;
  std::uint32_t Copies =
      Origin == ItemOrigin::Own ? RemoteCopies : ForwarderCopies;
  if (isRoutine(Item))
    Copies -= RoutineReduction;
  const NodeEntry *From = Records.find(Sender);
  const NodeEntry *Writer = Item.ItemKind == GossipItem::Kind::Server
                                ? Records.find(Item.Node)
                                : nullptr;
  for (const FailureDomain &Domain : Distance.remote()) {
    bool IsKnownThere = (From != nullptr && From->Record.Domain == Domain) ||
                        (Writer != nullptr && Writer->Record.Domain == Domain);
    if (!IsKnownThere)
      RemoteQueues[Domain].add(Item, RemoteCopies - Copies);
  }
}

void MembershipCore::noteDuplicate(const GossipItem &Item,
                                   const NodeName &Sender) {
  Queue.noteDuplicate(Item, transmitLimit());
  if (RemoteQueues.empty())
    return;
  const NodeEntry *From = Records.find(Sender);
  if (From == nullptr)
    return;
  if (auto It = RemoteQueues.find(From->Record.Domain);
      It != RemoteQueues.end())
    It->second.remove(Item);
}

/// Changes of the health and weight of a backend server that stays ready.
bool MembershipCore::isRoutine(const GossipItem &Item) const {
  if (Item.ItemKind != GossipItem::Kind::Server)
    return false;
  const NodeEntry *Entry = Records.find(Item.Node);
  if (Entry == nullptr)
    return false;
  auto It = Entry->Servers.find(Item.Server);
  return It != Entry->Servers.end() &&
         It->second.State == BackendServerState::Ready;
}

/// Returns a hash of the item and its version, equal on all nodes.
std::uint64_t MembershipCore::itemHash(const GossipItem &Item) const {
  std::string Key = std::to_string(static_cast<unsigned>(Item.ItemKind));
  auto Append = [&](std::uint64_t Value) {
    Key += " " + std::to_string(Value);
  };
  Key += Item.Node.str() + "/" + Item.Server.str();
  const NodeEntry *Entry = Records.find(Item.Node);
  const RecordVersion *Version = nullptr;
  if (Item.ItemKind == GossipItem::Kind::Head)
    Append(Head.Version);
  if (Item.ItemKind == GossipItem::Kind::Quarantine)
    Append(Item.Quarantine.Fingerprint + Item.Quarantine.CrashId);
  if (Item.ItemKind == GossipItem::Kind::Node && Entry != nullptr)
    Version = &Entry->Record.Version;
  if (Item.ItemKind == GossipItem::Kind::Server && Entry != nullptr)
    if (auto It = Entry->Servers.find(Item.Server); It != Entry->Servers.end())
      Version = &It->second.Version;
  if (Version != nullptr) {
    Append(Version->Incarnation);
    Append(Version->Sequence);
  }
  return hash64(Key);
}

bool MembershipCore::isForwarder(const GossipItem &Item) const {
  std::uint64_t Hash = itemHash(Item);
  auto Score = [&](const NodeEntry &Entry) {
    std::uint64_t Mixed = (Hash ^ Entry.RingPosition) * 0x9e3779b97f4a7c15ULL;
    return Mixed ^ (Mixed >> 32);
  };
  std::uint64_t OwnScore = Score(*Self);
  std::size_t Before = 0;
  for (const NodeEntry *Entry : Records.livePeers())
    if (Entry->Record.Domain == Self->Record.Domain &&
        Entry->Record.State == NodeState::Alive &&
        Entry->Record.Name.str() != Item.Node.str() &&
        Score(*Entry) < OwnScore && ++Before == ForwardersPerDomain)
      return false;
  return true;
}

std::vector<NodeEntry *> MembershipCore::peersByDistance(bool Remote) const {
  std::vector<NodeEntry *> Found;
  for (NodeEntry *Entry : Records.livePeers())
    if (isRemote(*Entry) == Remote)
      Found.push_back(Entry);
  return Found;
}

std::vector<const NodeEntry *> MembershipCore::nearGossipTargets() {
  std::vector<NodeEntry *> Near = peersByDistance(false);
  std::vector<const NodeEntry *> Chosen;
  while (!Near.empty() && Chosen.size() != Settings.GossipTargets) {
    std::swap(Near[Random.uniformInt(Near.size())], Near.back());
    Chosen.push_back(Near.back());
    Near.pop_back();
  }
  return Chosen;
}

void MembershipCore::gossipToRemote(Time Now, MembershipActions &Out) {
  if (RemoteQueues.empty() || Now < NextRemoteGossip)
    return;
  NextRemoteGossip = Now + Settings.GossipInterval;
  std::vector<NodeEntry *> Remote = peersByDistance(true);
  for (auto &[Domain, Waiting] : RemoteQueues) {
    if (Waiting.empty())
      continue;
    std::vector<const NodeEntry *> Targets;
    bool HasPeers = false;
    for (const NodeEntry *Entry : Remote) {
      if (Entry->Record.Domain != Domain)
        continue;
      HasPeers = true;
      if (Entry->Record.State == NodeState::Alive)
        Targets.push_back(Entry);
    }
    // Anti-entropy transfers the changes when the domain is back. Suspected
    // nodes may be alive, so the changes wait for them.
    if (!HasPeers)
      Waiting = GossipQueue();
    if (Targets.empty())
      continue;
    const NodeEntry *Target = Targets[Random.uniformInt(Targets.size())];
    Datagram Message = compose(DatagramKind::Gossip, Target, {}, 1, Now);
    if (Message.Changes != Delta())
      send(Target->Record.Address, Target, std::move(Message), Out);
  }
}

NodeEntry *MembershipCore::nextRemoteProbeTarget() {
  if (Distance.remote().empty())
    return nullptr;
  ++ProbeCount;
  if (ProbeCount % MinRemoteProbePeriod == 0)
    if (NodeEntry *Target = probeTargetInFailingDomain())
      return Target;
  std::vector<NodeEntry *> Remote = peersByDistance(true);
  std::size_t Near = Records.livePeers().size() - Remote.size();
  std::size_t Period = std::clamp(Near / NodesPerProbePeriod,
                                  MinRemoteProbePeriod, MaxRemoteProbePeriod);
  if (Remote.empty() || (ProbeCount % Period != 0 && Near != 0))
    return nullptr;
  return Remote[Random.uniformInt(Remote.size())];
}

/// Returns a node that is not yet suspected, in a remote domain with several
/// suspects, or null.
NodeEntry *MembershipCore::probeTargetInFailingDomain() {
  std::map<FailureDomain, std::size_t> SuspectCounts;
  for (const NodeName &Name : Suspects) {
    const NodeEntry *Entry = Records.find(Name);
    if (Entry != nullptr && Entry->SuspicionDeadline && isRemote(*Entry))
      ++SuspectCounts[Entry->Record.Domain];
  }
  std::erase_if(SuspectCounts, [](const auto &Count) {
    return Count.second < FailingDomainSuspects;
  });
  if (SuspectCounts.empty())
    return nullptr;
  std::vector<NodeEntry *> Candidates;
  for (NodeEntry *Entry : Records.livePeers())
    if (!Entry->SuspicionDeadline &&
        SuspectCounts.count(Entry->Record.Domain) != 0)
      Candidates.push_back(Entry);
  return Candidates.empty() ? nullptr
                            : Candidates[Random.uniformInt(Candidates.size())];
}

const NodeEntry *MembershipCore::chooseSyncPeerByDistance(Time Now) {
  std::vector<NodeEntry *> Near = peersByDistance(false);
  std::vector<NodeEntry *> Remote = peersByDistance(true);
  double Share = isJoining(Now) ? JoiningRemoteSyncShare : RemoteSyncShare;
  bool UsesRemote =
      Near.empty() || (!Remote.empty() && Random.uniform() < Share);
  const std::vector<NodeEntry *> &Peers = UsesRemote ? Remote : Near;
  return Peers[Random.uniformInt(Peers.size())];
}

} // namespace teaselhitch

#include "MembershipCore.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// A tick that comes later than this after the one before shows that the own
/// process was held up, so silence of others proves nothing.
constexpr Duration MaxTickGap = Duration(200);
/// How often nodes outside the own view may be contacted: a seed while there
/// are no peers, and one unreachable node, which finds the end of a partition.
constexpr Duration OutsiderInterval = Duration::seconds(1);
/// The same while the node knows nobody: it cannot serve until it does.
constexpr Duration LonelyInterval = Duration(100);
/// Seeds that are contacted at once while the node knows nobody.
constexpr std::size_t LonelyContacts = 3;
/// Part of the intervals in which outsiders are contacted although the fleet
/// looks whole; keeps the traffic small while single nodes stay dead for hours.
constexpr double IdleContactShare = 0.1;
/// The share of unreachable nodes from which on each interval is used.
constexpr double PartitionShare = 0.25;
/// After its start a node contacts the seeds that it does not know in each
/// interval and syncs more often. Nodes that start together may otherwise form
/// groups, each with a peer or two, that find each other after 10 s and more.
constexpr Duration JoinPeriod = Duration::seconds(15);
constexpr Duration JoinSyncInterval = Duration::seconds(1);
constexpr Duration CleanupInterval = Duration::seconds(5);
/// Time before the end of a suspicion in which the suspect is asked, and how
/// often. Most refutations have arrived by then, so few questions are sent.
constexpr Duration LastQuestions = Duration::seconds(1);
constexpr Duration QuestionInterval = Duration(350);
/// Probes of nodes that a peer holds for dead, per gossip interval.
constexpr std::size_t MaxVerifications = 4;
/// Corrections of outdated peers per interval. Bounds the traffic when two
/// nodes disagree for good.
constexpr unsigned MaxReplies = 8;
constexpr Duration ReplyInterval = Duration::seconds(1);
/// Random picks per helper that is sought in another failure domain.
constexpr unsigned PicksPerHelper = 8;

} // namespace

MembershipActions MembershipCore::tick(Time Now) {
  MembershipActions Out;
  if (Now >= NextReplies) {
    NextReplies = Now + ReplyInterval;
    RepliesLeft = MaxReplies;
  }
  if (!JoinUntil)
    JoinUntil = Now + JoinPeriod;
  checkLateness(Now);
  checkProbes(Now, Out);
  checkSuspicions(Now, Out);
  startDueProbes(Now, Out);
  startDueSync(Now, Out);
  contactOutsiders(Now, Out);
  gossip(Now, Out);
  if (Now >= NextCleanup) {
    NextCleanup = Now + CleanupInterval;
    dropExpired(Now);
  }
  return Out;
}

void MembershipCore::checkLateness(Time Now) {
  bool IsLate = LastTick && Now - *LastTick > MaxTickGap;
  Duration Gap = LastTick ? Now - *LastTick : Duration();
  LastTick = Now;
  if (!IsLate)
    return;
  ++Counters.LateTicks;
  // The acknowledgements may be waiting in the socket buffer. Suspicions get
  // the lost time back, and a whole period to read refutations.
  Pending.clear();
  for (const NodeName &Name : Suspects) {
    NodeEntry *Entry = Records.find(Name);
    if (Entry != nullptr && Entry->SuspectedUntil)
      Entry->SuspectedUntil = std::max(*Entry->SuspectedUntil + Gap,
                                       Now + Settings.SuspicionTimeout);
  }
}

void MembershipCore::checkProbes(Time Now, MembershipActions &Out) {
  for (auto It = Pending.begin(); It != Pending.end();) {
    PendingProbe &Probe = It->second;
    NodeEntry *Target = Records.find(Probe.Target);
    if (Target == nullptr || Target->isDead()) {
      It = Pending.erase(It);
      continue;
    }
    if (!Probe.IndirectSent && Now >= Probe.IndirectAt) {
      Probe.IndirectSent = true;
      // When the ticks are coarse, the indirect probes still get their time.
      Probe.FailsAt = std::max(Probe.FailsAt, Now + Settings.ProbeTimeout);
      sendIndirectProbes(It->first, *Target, Now, Out);
    }
    if (Now < Probe.FailsAt) {
      ++It;
      continue;
    }
    It = Pending.erase(It);
    suspect(*Target, Now, Out);
  }
}

void MembershipCore::checkSuspicions(Time Now, MembershipActions &Out) {
  for (auto It = Suspects.begin(); It != Suspects.end();) {
    NodeEntry *Entry = Records.find(*It);
    if (Entry == nullptr || !Entry->SuspectedUntil || Entry->isDead()) {
      It = Suspects.erase(It);
      continue;
    }
    if (Now < *Entry->SuspectedUntil) {
      askSuspect(*Entry, Now, Out);
      ++It;
      continue;
    }
    It = Suspects.erase(It);
    setState(*Entry, NodeState::Dead, Now, Out);
  }
}

/// The refutation may have been lost on its way to this node only, so the
/// suspect is asked directly before it is declared dead.
void MembershipCore::askSuspect(NodeEntry &Entry, Time Now,
                                MembershipActions &Out) {
  if (*Entry.SuspectedUntil - Now > LastQuestions || Now < Entry.NextQuestion)
    return;
  Entry.NextQuestion = Now + QuestionInterval;
  contact(Entry.Record.Address, {Entry.Record}, Now, Out);
}

void MembershipCore::startDueProbes(Time Now, MembershipActions &Out) {
  if (Now >= NextProbe) {
    NextProbe = Now + Settings.ProbeInterval;
    if (NodeEntry *Target = nextProbeTarget())
      startProbe(*Target, {}, Now, Out);
  }
  for (std::size_t I = 0; I != MaxVerifications && !ToVerify.empty(); ++I) {
    auto Position = static_cast<std::ptrdiff_t>(Random.below(ToVerify.size()));
    auto It = std::next(ToVerify.begin(), Position);
    NodeEntry *Target = Records.find(*It);
    ToVerify.erase(It);
    if (Target == nullptr || Target->Record.State != NodeState::Alive)
      continue;
    // The node learns of the claim and refutes it.
    NodeRecord Claim = Target->Record;
    Claim.State = NodeState::Dead;
    startProbe(*Target, {Claim}, Now, Out);
  }
}

NodeEntry *MembershipCore::nextProbeTarget() {
  NextIsRingProbe = !NextIsRingProbe;
  // Random choice alone leaves a node unprobed for several intervals now and
  // then; the predecessor on the ring probes it every second interval.
  if (NextIsRingProbe)
    return Records.ringSuccessor();
  for (int Round = 0; Round != 2; ++Round) {
    while (ProbePosition < ProbeOrder.size()) {
      NodeEntry *Entry = Records.find(ProbeOrder[ProbePosition++]);
      if (Entry != nullptr && Entry->LivePosition)
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
    std::swap(ProbeOrder[I - 1], ProbeOrder[Random.below(I)]);
}

void MembershipCore::startProbe(const NodeEntry &Target,
                                std::vector<NodeRecord> First, Time Now,
                                MembershipActions &Out) {
  Datagram Message;
  if (First.empty() && Target.Record.State == NodeState::Suspected)
    First.push_back(Target.Record);
  Message = compose(DatagramKind::Probe, First, 1, Now);
  Message.Sequence = ++LastSequence;
  Pending[Message.Sequence] = {Target.Record.Name, Now + Settings.ProbeTimeout,
                               Now + Settings.ProbeInterval, false};
  Out.emplace_back(SendDatagram{Target.Record.Address, std::move(Message)});
}

void MembershipCore::sendIndirectProbes(std::uint64_t Sequence,
                                        const NodeEntry &Target, Time Now,
                                        MembershipActions &Out) {
  // The direct path gets a second chance, because the loss of one datagram is
  // the most frequent cause.
  Datagram Again = compose(DatagramKind::Probe, {}, 1, Now);
  Again.Sequence = Sequence;
  Out.emplace_back(SendDatagram{Target.Record.Address, std::move(Again)});
  for (const NodeEntry *Helper : chooseHelpers(Target)) {
    Datagram Message =
        compose(DatagramKind::IndirectProbe, {}, 1, Now, Target.Record.Name);
    Message.Sequence = Sequence;
    Out.emplace_back(SendDatagram{Helper->Record.Address, std::move(Message)});
  }
}

std::vector<const NodeEntry *>
MembershipCore::chooseHelpers(const NodeEntry &Target) {
  const std::vector<NodeEntry *> &Live = Records.livePeers();
  std::vector<const NodeEntry *> Chosen;
  auto Pick = [&](bool OnlyOtherDomains) {
    const NodeEntry *Entry = Live[Random.below(Live.size())];
    bool IsUsable =
        Entry != &Target && Entry->Record.State == NodeState::Alive &&
        std::find(Chosen.begin(), Chosen.end(), Entry) == Chosen.end();
    if (OnlyOtherDomains && Entry->Record.Domain == Self->Record.Domain)
      IsUsable = false;
    if (IsUsable && Chosen.size() < Settings.IndirectProbes)
      Chosen.push_back(Entry);
  };
  if (Live.empty())
    return Chosen;
  for (unsigned I = 0; I != PicksPerHelper * Settings.IndirectProbes; ++I)
    Pick(true);
  for (unsigned I = 0; I != PicksPerHelper * Settings.IndirectProbes; ++I)
    Pick(false);
  return Chosen;
}

std::vector<const NodeEntry *> MembershipCore::randomPeers(std::size_t Count) {
  const std::vector<NodeEntry *> &Live = Records.livePeers();
  std::vector<const NodeEntry *> Chosen;
  if (Live.size() <= Count) {
    Chosen.assign(Live.begin(), Live.end());
    return Chosen;
  }
  while (Chosen.size() != Count) {
    const NodeEntry *Entry = Live[Random.below(Live.size())];
    if (std::find(Chosen.begin(), Chosen.end(), Entry) == Chosen.end())
      Chosen.push_back(Entry);
  }
  return Chosen;
}

/// Mostly peers of the own failure domain: bytes between domains cost more, and
/// a few crossings suffice to carry a change over.
std::vector<const NodeEntry *> MembershipCore::gossipTargets() {
  std::vector<const NodeEntry *> Chosen = randomPeers(Settings.GossipTargets);
  std::vector<const NodeEntry *> Near;
  for (const NodeEntry *Entry : Records.livePeers())
    if (Entry->Record.Domain == Self->Record.Domain)
      Near.push_back(Entry);
  for (std::size_t I = 1; I < Chosen.size() && !Near.empty(); ++I) {
    std::size_t Pick = Random.below(Near.size());
    if (std::find(Chosen.begin(), Chosen.end(), Near[Pick]) == Chosen.end())
      Chosen[I] = Near[Pick];
    std::swap(Near[Pick], Near.back());
    Near.pop_back();
  }
  return Chosen;
}

void MembershipCore::gossip(Time Now, MembershipActions &Out) {
  if (Now < NextGossip || Queue.empty() || Records.livePeers().empty())
    return;
  NextGossip = Now + Settings.GossipInterval;
  std::vector<const NodeEntry *> Targets = gossipTargets();
  Datagram Message = compose(DatagramKind::Gossip, {},
                             static_cast<std::uint32_t>(Targets.size()), Now);
  if (Message.Changes == Delta())
    return;
  for (const NodeEntry *Target : Targets)
    Out.emplace_back(SendDatagram{Target->Record.Address, Message});
}

void MembershipCore::startDueSync(Time Now, MembershipActions &Out) {
  if (Records.livePeers().empty() || (HasSynced && Now < NextSync))
    return;
  HasSynced = true;
  // Random length, so that nodes that started together spread out.
  Duration Interval = isJoining(Now)
                          ? std::min(JoinSyncInterval, Settings.SyncInterval)
                          : Settings.SyncInterval;
  NextSync = Now + Interval * (0.9 + 0.2 * Random.uniform());
  const NodeEntry *Hinted = Records.find(SyncHint);
  SyncHint = NodeName();
  bool UsesHint = Hinted != nullptr && Hinted->LivePosition;
  const NodeEntry *With = UsesHint ? Hinted : randomPeers(1).front();
  Out.emplace_back(StartSync{With->Record.Name});
}

void MembershipCore::contactOutsiders(Time Now, MembershipActions &Out) {
  if (Now < NextOutsider)
    return;
  const std::vector<NodeEntry *> &Live = Records.livePeers();
  bool IsLonely = Live.empty() && isJoining(Now);
  NextOutsider = Now + (IsLonely ? LonelyInterval : OutsiderInterval) *
                           (0.9 + 0.2 * Random.uniform());
  std::vector<const NodeEntry *> Lost = Records.unreachable();
  double LostShare =
      static_cast<double>(Lost.size()) / static_cast<double>(Live.size() + 1);
  double Share = std::max(IdleContactShare, LostShare / PartitionShare);
  if (!Lost.empty() && Random.uniform() < Share) {
    const NodeEntry *Entry = Lost[Random.below(Lost.size())];
    contact(Entry->Record.Address, {Entry->Record}, Now, Out);
  }
  if (!Live.empty() && !isJoining(Now) && Random.uniform() >= IdleContactShare)
    return;
  std::vector<Endpoint> Unknown;
  for (const Endpoint &Seed : Settings.Seeds) {
    auto IsSeed = [&](const NodeEntry *Entry) {
      return Entry->Record.Address == Seed;
    };
    if (std::none_of(Live.begin(), Live.end(), IsSeed))
      Unknown.push_back(Seed);
  }
  std::size_t Contacts =
      std::min(IsLonely ? LonelyContacts : 1, Unknown.size());
  for (std::size_t I = 0; I != Contacts; ++I)
    contact(Unknown[Random.below(Unknown.size())], {}, Now, Out);
}

void MembershipCore::contact(const Endpoint &To, std::vector<NodeRecord> First,
                             Time Now, MembershipActions &Out) {
  First.insert(First.begin(), Self->Record);
  Datagram Message = compose(DatagramKind::Probe, First, 1, Now);
  Message.Sequence = ++LastSequence;
  Out.emplace_back(SendDatagram{To, std::move(Message)});
}

void MembershipCore::dropExpired(Time Now) {
  Records.dropExpired(Now);
  std::erase_if(Quarantines, [&](const auto &Q) { return Q.second <= Now; });
  std::erase_if(Relays, [&](const auto &R) { return R.second.Until <= Now; });
}

} // namespace teaselhitch

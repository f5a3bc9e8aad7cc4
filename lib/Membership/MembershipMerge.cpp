/// \file
/// Decides which received records replace the known ones.

#include "MembershipCore.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Versions above this are refused, so that adding one cannot wrap around.
constexpr std::uint64_t MaxVersionPart = std::uint64_t(1) << 62;
/// Many suspicions at once are rather a fault of the network than the death of
/// many nodes, and their refutations need time to spread. The period doubles
/// with this many.
constexpr double SuspectsPerPeriod = 64;
/// Transit times make the remaining time of a quarantine vary. A longer one is
/// adopted from this difference on; a smaller one would circulate for ever.
constexpr Duration QuarantineTolerance = Duration::seconds(2);
constexpr Duration MaxQuarantine = Duration::seconds(3600);
/// A node that came back is asked for its records within this time.
constexpr Duration RejoinSyncDelay = Duration::seconds(2);

bool isValid(const RecordVersion &Version) {
  return Version.Incarnation != 0 && Version.Incarnation <= MaxVersionPart &&
         Version.Sequence <= MaxVersionPart;
}

/// True when the records differ at most in the state, about which peers make
/// claims.
bool sameExceptState(NodeRecord A, const NodeRecord &B) {
  A.State = B.State;
  return A == B;
}

} // namespace

void MembershipCore::merge(const Delta &Changes, Merge &M) {
  for (const NodeRecord &Record : Changes.Nodes) {
    if (Record.Name == Self->Record.Name)
      mergeSelf(Record, M);
    else
      mergeNode(Record, M);
  }
  for (const BackendServerRecord &Record : Changes.Servers) {
    if (Record.Id.Node == Self->Record.Name)
      mergeOwnServer(Record, M.Now);
    else
      mergeServer(Record, M);
  }
  for (const QuarantineRecord &Record : Changes.Quarantines)
    mergeQuarantine(Record, M);
  mergeHead(Changes.Head, M);
}

void MembershipCore::mergeNode(const NodeRecord &Record, Merge &M) {
  // Incarnation 0 is a question to the node itself.
  if (Record.Version.Incarnation == 0)
    return;
  if (!isValid(Record.Version) || !isValidName(Record.Name.str())) {
    ++Counters.Refused;
    return;
  }
  NodeEntry *Entry = Records.find(Record.Name);
  bool IsKnown = Entry != nullptr && Entry->isKnown();
  // Otherwise nodes that forgot a dead node would learn of it again.
  if (!IsKnown && Record.State == NodeState::Dead)
    return;
  Entry = Records.obtain(Record.Name, M.Now);
  if (Entry == nullptr) {
    ++Counters.Refused;
    return;
  }
  const RecordVersion &Known = Entry->Record.Version;
  if (Record.Version < Known)
    return;
  if (Record.Version > Known) {
    mergeNewer(*Entry, Record, M);
    return;
  }
  if (!sameExceptState(Record, Entry->Record)) {
    ++Counters.Conflicts;
    return;
  }
  if (Record.State == Entry->Record.State)
    Queue.noteDuplicate(GossipItem::node(Record.Name), transmitLimit());
  else
    mergeClaim(*Entry, Record.State, M);
}

void MembershipCore::mergeNewer(NodeEntry &Entry, const NodeRecord &Record,
                                Merge &M) {
  NodeState Before = Entry.Record.State;
  NodeRecord Written = Record;
  // A claim is judged after the version it is about. A node that we hold for
  // dead stays dead when its newer version is claimed to be dead, too.
  if (Record.State == NodeState::Suspected)
    Written.State = NodeState::Alive;
  if (Record.State == NodeState::Dead)
    Written.State = Before == NodeState::Suspected ? NodeState::Alive : Before;
  Records.setNode(Entry, Written, M.Now);
  Entry.SuspectedUntil.reset();
  M.Learned.push_back(GossipItem::node(Record.Name));
  if (Written.State != Before)
    M.Out.emplace_back(NodeStateChanged{Record.Name, Written.State});
  if (Before == NodeState::Dead && Written.State != NodeState::Dead)
    becameUsable(Entry, M);
  if (Record.State != Written.State)
    mergeClaim(Entry, Record.State, M);
}

void MembershipCore::becameUsable(const NodeEntry &Entry, Merge &M) {
  if (M.From == Source::Sync)
    return;
  auto Position = static_cast<std::ptrdiff_t>(
      ProbePosition + Random.below(ProbeOrder.size() - ProbePosition + 1));
  ProbeOrder.insert(ProbeOrder.begin() + Position, Entry.Record.Name);
  // A node that was known before comes back after a partition.
  if (Entry.Servers.empty())
    return;
  Time Soon = M.Now + RejoinSyncDelay * Random.uniform();
  if (Soon < NextSync) {
    NextSync = Soon;
    SyncHint = Entry.Record.Name;
  }
}

void MembershipCore::mergeClaim(NodeEntry &Entry, NodeState Claim, Merge &M) {
  NodeState State = Entry.Record.State;
  if (Claim == NodeState::Leaving ||
      (Claim == NodeState::Alive && State == NodeState::Leaving)) {
    // Only the node itself announces its shutdown, with a new version.
    ++Counters.Conflicts;
    return;
  }
  if (Claim == NodeState::Alive || State == NodeState::Dead)
    return;
  if (M.From == Source::Sync) {
    if (Claim == NodeState::Dead && State == NodeState::Alive)
      ToVerify.insert(Entry.Record.Name);
    return;
  }
  if (State == NodeState::Alive) {
    suspect(Entry, M.Now, M.Out);
    return;
  }
  if (Claim == NodeState::Dead)
    setState(Entry, NodeState::Dead, M.Now, M.Out);
}

void MembershipCore::suspect(NodeEntry &Entry, Time Now,
                             MembershipActions &Out) {
  if (Entry.isDead() || Entry.SuspectedUntil)
    return;
  Entry.SuspectedUntil = Now + suspicionTime();
  Suspects.insert(Entry.Record.Name);
  // A node that leaves keeps its state: others must not send it new work.
  if (Entry.Record.State == NodeState::Alive)
    setState(Entry, NodeState::Suspected, Now, Out);
}

Duration MembershipCore::suspicionTime() const {
  double Crowding = static_cast<double>(Suspects.size()) / SuspectsPerPeriod;
  return Settings.SuspicionTimeout * (1 + Crowding);
}

void MembershipCore::setState(NodeEntry &Entry, NodeState State, Time Now,
                              MembershipActions &Out) {
  NodeRecord Record = Entry.Record;
  Record.State = State;
  Records.setNode(Entry, Record, Now);
  if (State == NodeState::Dead)
    Entry.SuspectedUntil.reset();
  Queue.add(GossipItem::node(Record.Name));
  Out.emplace_back(NodeStateChanged{Record.Name, State});
}

void MembershipCore::mergeSelf(const NodeRecord &Record, Merge &M) {
  const NodeRecord &Own = Self->Record;
  bool IsClaim =
      Record.State == NodeState::Suspected || Record.State == NodeState::Dead;
  if (Record.Version < Own.Version) {
    // The sender does not know the current record.
    if (IsClaim && M.ReplyTo != nullptr)
      reply(*M.ReplyTo, Own, M.Now, M.Out);
    return;
  }
  bool IsForeign =
      Record.Version > Own.Version || !sameExceptState(Record, Own);
  if (!IsForeign && Record.State == Own.State) {
    Queue.noteDuplicate(GossipItem::node(Own.Name), transmitLimit());
    return;
  }
  if (IsForeign)
    ++Counters.ForeignWrites;
  else
    ++Counters.Refutations;
  refute(Record.Version, M.Now);
  if (M.ReplyTo != nullptr && Own.Version > Record.Version)
    reply(*M.ReplyTo, Own, M.Now, M.Out);
}

void MembershipCore::mergeServer(const BackendServerRecord &Record, Merge &M) {
  if (!isValid(Record.Version) || !isValidName(Record.Id.Node.str()) ||
      !isValidName(Record.Id.Name.str())) {
    ++Counters.Refused;
    return;
  }
  NodeEntry *Entry = Records.obtain(Record.Id.Node, M.Now);
  if (Entry == nullptr) {
    ++Counters.Refused;
    return;
  }
  if (Record.Version.Incarnation < Entry->Record.Version.Incarnation)
    return;
  auto It = Entry->Servers.find(Record.Id.Name);
  if (It != Entry->Servers.end()) {
    const BackendServerRecord &Known = It->second;
    if (Record.Version < Known.Version)
      return;
    if (Record.Version == Known.Version) {
      if (Record == Known)
        Queue.noteDuplicate(GossipItem::server(Record.Id), transmitLimit());
      else
        ++Counters.Conflicts;
      return;
    }
  }
  if (Records.setServer(*Entry, Record))
    M.Learned.push_back(GossipItem::server(Record.Id));
  else
    ++Counters.Refused;
}

void MembershipCore::mergeQuarantine(const QuarantineRecord &Record, Merge &M) {
  Duration Rest = std::min(Duration(Record.RemainingMs), MaxQuarantine);
  Time Until = M.Now + Rest;
  if (Rest <= Duration())
    return;
  QuarantineKey Key = keyOf(Record);
  auto It = Quarantines.find(Key);
  if (It != Quarantines.end() && Until <= It->second + QuarantineTolerance) {
    Queue.noteDuplicate(GossipItem::quarantine(Key), transmitLimit());
    return;
  }
  storeQuarantine(Key, Until, M.Now);
  M.Learned.push_back(GossipItem::quarantine(Key));
  M.Out.emplace_back(QuarantineSeen{recordOf(Key, Rest)});
}

void MembershipCore::mergeHead(const ConfigHead &Received, Merge &M) {
  if (Received.Version < Head.Version || Received.Version == 0)
    return;
  if (Received.Version == Head.Version) {
    if (Received == Head)
      Queue.noteDuplicate(GossipItem::head(), transmitLimit());
    else
      ++Counters.Conflicts;
    return;
  }
  Head = Received;
  M.Learned.push_back(GossipItem::head());
  M.Out.emplace_back(HeadSeen{Head});
}

} // namespace teaselhitch

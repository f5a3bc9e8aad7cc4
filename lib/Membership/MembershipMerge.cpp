/// \file
/// Decides which received records replace the known ones.

#include "MembershipCore.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Versions with a part above this are rejected, so that an increment cannot
/// overflow.
constexpr std::uint64_t MaxVersionPart = std::uint64_t(1) << 62;
/// Many suspicions at once indicate a network fault rather than the failure of
/// many nodes, and their refutations need time to spread. The suspicion timeout
/// grows linearly with the number of suspects and doubles at this number.
constexpr double SuspectsPerExtension = 64;
/// Transit times make the remaining time of a quarantine vary. An end is
/// adopted only if it is later than the known one by more than this; otherwise
/// small differences would circulate forever.
constexpr Duration QuarantineTolerance = Duration::seconds(2);
constexpr Duration MaxQuarantineDuration = Duration::seconds(3600);
/// Maximum delay before the records of a returned node are requested.
constexpr Duration RejoinSyncDelay = Duration::seconds(2);

bool isValid(const RecordVersion &Version) {
  return Version.Incarnation != 0 && Version.Incarnation <= MaxVersionPart &&
         Version.Sequence <= MaxVersionPart;
}

/// Returns true if the records differ at most in the state, which peers may
/// claim to have changed.
bool sameExceptState(NodeRecord A, const NodeRecord &B) {
  A.State = B.State;
  return A == B;
}

} // namespace

void MembershipCore::merge(const Delta &Changes, MergeContext &M) {
  for (const NodeRecord &Record : Changes.Nodes) {
    if (Record.Name == Self->Record.Name)
      mergeSelf(Record, M);
    else
      mergeNode(Record, M);
  }
  for (const BackendServerRecord &Record : Changes.Servers) {
    if (Record.Id.Node == Self->Record.Name)
      mergeOwnServer(Record, M);
    else
      mergeServer(Record, M);
  }
  for (const QuarantineRecord &Record : Changes.Quarantines)
    mergeQuarantine(Record, M);
  mergeHead(Changes.Head, M);
}

void MembershipCore::mergeNode(const NodeRecord &Record, MergeContext &M) {
  // Incarnation 0 asks the node itself for its record.
  if (Record.Version.Incarnation == 0)
    return;
  if (!isValid(Record.Version) || !isValidName(Record.Name.str())) {
    ++Counters.Rejected;
    return;
  }
  NodeEntry *Entry = Records.find(Record.Name);
  bool IsKnown = Entry != nullptr && Entry->isKnown();
  // Unknown dead nodes are ignored. Otherwise nodes that have dropped a dead
  // node would learn of it again.
  if (!IsKnown && Record.State == NodeState::Dead)
    return;
  Entry = Records.findOrCreate(Record.Name, M.Now);
  if (Entry == nullptr) {
    ++Counters.Rejected;
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
    noteDuplicate(GossipItem::node(Record.Name), M.Sender);
  else
    mergeClaim(*Entry, Record.State, M);
}

void MembershipCore::mergeNewer(NodeEntry &Entry, const NodeRecord &Record,
                                MergeContext &M) {
  NodeState OldState = Entry.Record.State;
  NodeRecord Stored = Record;
  // The newer version is stored before the claim about it is evaluated. A node
  // that is dead here stays dead if its newer version is claimed to be dead,
  // too.
  if (Record.State == NodeState::Suspected)
    Stored.State = NodeState::Alive;
  if (Record.State == NodeState::Dead)
    Stored.State =
        OldState == NodeState::Suspected ? NodeState::Alive : OldState;
  Records.setNode(Entry, Stored, M.Now);
  Entry.SuspicionDeadline.reset();
  M.NewItems.push_back(GossipItem::node(Record.Name));
  if (Stored.State != OldState)
    M.Out.emplace_back(NodeStateChanged{Record.Name, Stored.State});
  if (OldState == NodeState::Dead && Stored.State != NodeState::Dead)
    onNodeUp(Entry, M);
  if (Record.State != Stored.State)
    mergeClaim(Entry, Record.State, M);
}

void MembershipCore::onNodeUp(const NodeEntry &Entry, MergeContext &M) {
  if (M.Channel == ChannelKind::Sync)
    return;
  auto Position = static_cast<std::ptrdiff_t>(
      ProbePosition + Random.uniformInt(ProbeOrder.size() - ProbePosition + 1));
  ProbeOrder.insert(ProbeOrder.begin() + Position, Entry.Record.Name);
  // Only a node with known backend servers was a member before and is back
  // after a partition.
  if (Entry.Servers.empty())
    return;
  Time SyncTime = M.Now + RejoinSyncDelay * Random.uniform();
  if (SyncTime < NextSync) {
    NextSync = SyncTime;
    PreferredSyncPeer = Entry.Record.Name;
  }
}

void MembershipCore::mergeClaim(NodeEntry &Entry, NodeState Claim,
                                MergeContext &M) {
  NodeState State = Entry.Record.State;
  if (Claim == NodeState::Leaving ||
      (Claim == NodeState::Alive && State == NodeState::Leaving)) {
    // Only the node itself announces its shutdown, with a new version.
    ++Counters.Conflicts;
    return;
  }
  if (Claim == NodeState::Alive || State == NodeState::Dead)
    return;
  if (M.Channel == ChannelKind::Sync) {
    if (Claim == NodeState::Dead && State == NodeState::Alive)
      VerificationTargets.insert(Entry.Record.Name);
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
  if (Entry.isDead() || Entry.SuspicionDeadline)
    return;
  Entry.SuspicionDeadline = Now + suspicionDuration();
  Suspects.insert(Entry.Record.Name);
  // A leaving node keeps its state, so that others do not send it new requests.
  if (Entry.Record.State == NodeState::Alive)
    setState(Entry, NodeState::Suspected, Now, Out);
}

Duration MembershipCore::suspicionDuration() const {
  double Extensions =
      static_cast<double>(Suspects.size()) / SuspectsPerExtension;
  return Settings.SuspicionTimeout * (1 + Extensions);
}

void MembershipCore::setState(NodeEntry &Entry, NodeState State, Time Now,
                              MembershipActions &Out) {
  NodeRecord Record = Entry.Record;
  Record.State = State;
  Records.setNode(Entry, Record, Now);
  if (State == NodeState::Dead)
    Entry.SuspicionDeadline.reset();
  enqueue(GossipItem::node(Record.Name), ItemOrigin::Shared);
  Out.emplace_back(NodeStateChanged{Record.Name, State});
}

void MembershipCore::mergeSelf(const NodeRecord &Record, MergeContext &M) {
  const NodeRecord &Own = Self->Record;
  bool IsClaim =
      Record.State == NodeState::Suspected || Record.State == NodeState::Dead;
  if (Record.Version < Own.Version) {
    // The sender has an outdated record of this node.
    if (IsClaim && M.ReplyAddress != nullptr)
      reply(*M.ReplyAddress, Records.find(M.Sender), Own, M.Now, M.Out);
    return;
  }
  bool IsForeign =
      Record.Version > Own.Version || !sameExceptState(Record, Own);
  if (!IsForeign && Record.State == Own.State) {
    noteDuplicate(GossipItem::node(Own.Name), M.Sender);
    return;
  }
  if (IsForeign)
    ++Counters.ForeignWrites;
  else
    ++Counters.Refutations;
  refute(Record.Version, M.Now);
  if (M.ReplyAddress != nullptr && Own.Version > Record.Version)
    reply(*M.ReplyAddress, Records.find(M.Sender), Own, M.Now, M.Out);
}

void MembershipCore::mergeServer(const BackendServerRecord &Record,
                                 MergeContext &M) {
  if (!isValid(Record.Version) || !isValidName(Record.Id.Node.str()) ||
      !isValidName(Record.Id.Name.str())) {
    ++Counters.Rejected;
    return;
  }
  NodeEntry *Entry = Records.findOrCreate(Record.Id.Node, M.Now);
  if (Entry == nullptr) {
    ++Counters.Rejected;
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
        noteDuplicate(GossipItem::server(Record.Id), M.Sender);
      else
        ++Counters.Conflicts;
      return;
    }
  }
  if (Records.setServer(*Entry, Record))
    M.NewItems.push_back(GossipItem::server(Record.Id));
  else
    ++Counters.Rejected;
}

void MembershipCore::mergeQuarantine(const QuarantineRecord &Record,
                                     MergeContext &M) {
  Duration Remaining =
      std::min(Duration(Record.RemainingMs), MaxQuarantineDuration);
  Time ExpiresAt = M.Now + Remaining;
  if (Remaining <= Duration())
    return;
  QuarantineKey Key = makeQuarantineKey(Record);
  auto It = Quarantines.find(Key);
  if (It != Quarantines.end() &&
      ExpiresAt <= It->second + QuarantineTolerance) {
    noteDuplicate(GossipItem::quarantine(Key), M.Sender);
    return;
  }
  storeQuarantine(Key, ExpiresAt, M.Now);
  M.NewItems.push_back(GossipItem::quarantine(Key));
  M.Out.emplace_back(QuarantineReceived{makeQuarantineRecord(Key, Remaining)});
}

void MembershipCore::mergeHead(const ConfigHead &Received, MergeContext &M) {
  if (Received.Version < Head.Version || Received.Version == 0)
    return;
  if (Received.Version == Head.Version) {
    if (Received == Head)
      noteDuplicate(GossipItem::head(), M.Sender);
    else
      ++Counters.Conflicts;
    return;
  }
  // Not forwarded yet: the receivers fetch the pieces from the sender of the
  // head.
  M.Out.emplace_back(ConfigHeadUpdated{Received, M.Sender});
}

} // namespace teaselhitch

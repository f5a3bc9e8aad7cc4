#include "Roster.h"

#include "teaselhitch/Support/Hash.h"

#include <cassert>
#include <limits>

namespace teaselhitch {

namespace {

/// Records of crashed and partitioned nodes are kept for a day, so that only
/// deltas are transferred if a partition heals within that time.
constexpr Duration DeadRetention = Duration::seconds(24 * 3600);
/// Nodes that announced their shutdown do not come back. Their records are kept
/// only until every late copy of an older record has been dropped.
constexpr Duration LeftRetention = Duration::seconds(300);
/// Retention of entries for which only backend server records have arrived.
constexpr Duration UnknownRetention = Duration::seconds(60);

Duration retention(const NodeEntry &Entry) {
  if (!Entry.isKnown())
    return UnknownRetention;
  return Entry.HasLeft ? LeftRetention : DeadRetention;
}

} // namespace

NodeEntry *Roster::find(const NodeName &Name) {
  auto It = Nodes.find(Name);
  return It == Nodes.end() ? nullptr : &It->second;
}

const NodeEntry *Roster::find(const NodeName &Name) const {
  auto It = Nodes.find(Name);
  return It == Nodes.end() ? nullptr : &It->second;
}

NodeEntry *Roster::findOrCreate(const NodeName &Name, Time Now) {
  if (NodeEntry *Entry = find(Name))
    return Entry;
  if (Nodes.size() >= MaxNodes)
    return nullptr;
  NodeEntry &Entry = Nodes[Name];
  Entry.Record.Name = Name;
  Entry.Record.State = NodeState::Dead;
  Entry.RingPosition = hash64(Name.str());
  Entry.DeadSince = Now;
  return &Entry;
}

void Roster::setNode(NodeEntry &Entry, NodeRecord Record, Time Now) {
  assert(Entry.Record.Name == Record.Name && "record belongs to another node");
  bool WasDead = Entry.isDead();
  bool WasLeaving = Entry.Record.State == NodeState::Leaving;
  bool AcceptedRequests = Entry.acceptsRequests();
  updateNodeDigest(Entry, false);
  dropOlderServers(Entry, Record.Version.Incarnation);
  if (!WasDead)
    updateServerDigests(Entry, false);
  Entry.Record = std::move(Record);
  if (!Entry.isDead())
    updateServerDigests(Entry, true);
  updateNodeDigest(Entry, true);
  NodesAreDirty = true;
  if (Entry.acceptsRequests() != AcceptedRequests)
    markServicesDirty(Entry);
  if (Entry.isDead() == WasDead)
    return;
  if (Entry.isDead()) {
    Entry.DeadSince = Now;
    Entry.HasLeft = WasLeaving;
  }
  updateLive(Entry);
}

bool Roster::setServer(NodeEntry &Entry, const BackendServerRecord &Record) {
  auto It = Entry.Servers.find(Record.Id.Name);
  bool IsNew = It == Entry.Servers.end();
  if (IsNew && Entry.Servers.size() >= MaxServersPerNode)
    return false;
  if (IsNew) {
    It = Entry.Servers.emplace(Record.Id.Name, BackendServerRecord()).first;
  } else {
    if (!Entry.isDead())
      updateServerDigest(It->second, false);
    unindex(Entry, It->second);
  }
  It->second = Record;
  if (!Entry.isDead())
    updateServerDigest(It->second, true);
  Services[Record.Service].insert({&Entry, &It->second});
  DirtyServices.insert(Record.Service);
  return true;
}

std::vector<const NodeEntry *> Roster::unreachable() const {
  std::vector<const NodeEntry *> Found;
  for (const auto &[Name, Entry] : Nodes)
    if (Entry.isDead() && Entry.isKnown() && !Entry.HasLeft)
      Found.push_back(&Entry);
  return Found;
}

void Roster::setRemoteDomains(std::set<FailureDomain> Domains) {
  RemoteDomains = std::move(Domains);
  NodesAreDirty = true;
}

NodeEntry *Roster::ringSuccessor(const std::set<FailureDomain> &Skipped) const {
  std::uint64_t Origin = hash64(Self.str());
  NodeEntry *Best = nullptr;
  for (NodeEntry *Entry : LivePeers) {
    if (!Skipped.empty() && Skipped.count(Entry->Record.Domain) != 0)
      continue;
    // The unsigned distances wrap around, so the first node follows the last
    // one.
    if (Best == nullptr ||
        Entry->RingPosition - Origin < Best->RingPosition - Origin)
      Best = Entry;
  }
  return Best;
}

void Roster::dropExpired(Time Now) {
  for (auto It = Nodes.begin(); It != Nodes.end();) {
    NodeEntry &Entry = It->second;
    if (!Entry.isDead() || Now - Entry.DeadSince < retention(Entry)) {
      ++It;
      continue;
    }
    dropOlderServers(Entry, std::numeric_limits<std::uint64_t>::max());
    It = Nodes.erase(It);
  }
}

void Roster::unindex(const NodeEntry &Entry,
                     const BackendServerRecord &Record) {
  DirtyServices.insert(Record.Service);
  auto It = Services.find(Record.Service);
  if (It == Services.end())
    return;
  It->second.erase({&Entry, &Record});
  if (It->second.empty())
    Services.erase(It);
}

void Roster::markServicesDirty(const NodeEntry &Entry) {
  for (const auto &[Name, Record] : Entry.Servers)
    DirtyServices.insert(Record.Service);
}

void Roster::updateLive(NodeEntry &Entry) {
  bool ShouldBeLive = !Entry.isDead() && Entry.Record.Name != Self;
  if (ShouldBeLive == Entry.LiveIndex.has_value())
    return;
  if (ShouldBeLive) {
    Entry.LiveIndex = LivePeers.size();
    LivePeers.push_back(&Entry);
    return;
  }
  std::size_t FreeIndex = *Entry.LiveIndex;
  LivePeers[FreeIndex] = LivePeers.back();
  LivePeers[FreeIndex]->LiveIndex = FreeIndex;
  LivePeers.pop_back();
  Entry.LiveIndex.reset();
}

void Roster::dropOlderServers(NodeEntry &Entry, std::uint64_t Incarnation) {
  for (auto It = Entry.Servers.begin(); It != Entry.Servers.end();) {
    const BackendServerRecord &Record = It->second;
    if (Record.Version.Incarnation >= Incarnation) {
      ++It;
      continue;
    }
    if (!Entry.isDead())
      updateServerDigest(Record, false);
    unindex(Entry, Record);
    It = Entry.Servers.erase(It);
  }
}

std::shared_ptr<const ServiceView>
Roster::buildService(const ServerSet &Set) const {
  auto Built = std::make_shared<ServiceView>();
  for (const ServerRef &Ref : Set)
    if (Ref.Node->acceptsRequests() &&
        Ref.Record->State != BackendServerState::Gone)
      Built->push_back(*Ref.Record);
  return Built;
}

std::shared_ptr<const FleetView> Roster::view() const {
  if (!NodesAreDirty && DirtyServices.empty())
    return Snapshot;
  auto Next = std::make_shared<FleetView>(*Snapshot);
  if (NodesAreDirty) {
    auto Usable = std::make_shared<std::map<NodeName, NodeRecord>>();
    for (const auto &[Name, Entry] : Nodes)
      if (!Entry.isDead())
        Usable->emplace_hint(Usable->end(), Name, Entry.Record);
    Next->Nodes = std::move(Usable);
    Next->RemoteDomains = RemoteDomains;
  }
  for (const ServiceName &Service : DirtyServices) {
    auto It = Services.find(Service);
    auto Built = It == Services.end() ? std::make_shared<const ServiceView>()
                                      : buildService(It->second);
    if (Built->empty())
      Next->Services.erase(Service);
    else
      Next->Services[Service] = std::move(Built);
  }
  NodesAreDirty = false;
  DirtyServices.clear();
  Snapshot = std::move(Next);
  return Snapshot;
}

} // namespace teaselhitch

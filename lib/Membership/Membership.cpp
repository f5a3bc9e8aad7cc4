#include "teaselhitch/Membership/Membership.h"

#include "MembershipCore.h"

#include <algorithm>
#include <cassert>

namespace teaselhitch {

namespace {

constexpr std::size_t MaxQuarantines = 4096;
/// Maximum length of a label in bytes; the codec rejects more than 255.
constexpr std::size_t MaxLabelLength = 128;
constexpr std::uint32_t MaxWeight = 100;
constexpr std::uint64_t MaxIncarnation = std::uint64_t(1) << 62;
/// Each raise of the own incarnation doubles the minimum time until the next
/// one, up to this limit, so that two processes with the same node name do not
/// flood the fleet.
constexpr Duration MaxRaiseInterval = Duration::seconds(10);
/// A delta from anti-entropy with more new records than this shows that this
/// node was behind. Its peers know these records, so they are not gossiped.
constexpr std::size_t MaxForwardedItems = 32;
/// Time until the next anti-entropy while this node is behind.
constexpr Duration CatchUpInterval = Duration(500);
constexpr std::uint32_t MinDatagramBytes = 512;
constexpr std::uint32_t MaxDatagramBytes = 1400;

Result<void> validate(const MembershipSettings &Settings,
                      const NodeRecord &Self) {
  if (!isValidName(Self.Name.str()))
    return makeError(ErrorCode::InvalidInput,
                     "invalid node name '" + Self.Name.str() + "'");
  if (Self.Version.Incarnation == 0 ||
      Self.Version.Incarnation >= MaxIncarnation)
    return makeError(ErrorCode::InvalidInput,
                     "incarnation must be at least 1 and below 2^62");
  if (Settings.MaxDatagramBytes < MinDatagramBytes ||
      Settings.MaxDatagramBytes > MaxDatagramBytes)
    return makeError(ErrorCode::InvalidInput,
                     "maximum datagram size must be 512 to 1400 bytes");
  Duration Zero;
  if (Settings.ProbeTimeout <= Zero || Settings.SuspicionTimeout <= Zero ||
      Settings.GossipInterval <= Zero || Settings.SyncInterval <= Zero)
    return makeError(ErrorCode::InvalidInput,
                     "intervals and timeouts must be positive");
  if (Settings.ProbeInterval <= Settings.ProbeTimeout)
    return makeError(ErrorCode::InvalidInput,
                     "the probe interval must exceed the probe timeout");
  return {};
}

} // namespace

Result<std::unique_ptr<Membership>>
Membership::create(MembershipSettings Settings, NodeRecord Self,
                   RandomSource &Random, Time Now) {
  BOOST_LEAF_CHECK(validate(Settings, Self));
  return std::unique_ptr<Membership>(std::make_unique<MembershipCore>(
      std::move(Settings), std::move(Self), Random, Now));
}

MembershipCore::MembershipCore(MembershipSettings InitialSettings,
                               NodeRecord SelfRecord, RandomSource &Random,
                               Time Now)
    : Settings(std::move(InitialSettings)), Random(Random),
      Records(SelfRecord.Name),
      Self(Records.findOrCreate(SelfRecord.Name, Now)),
      Distance(SelfRecord.Domain, Settings.RemoteDomainRoundTrip) {
  std::erase(Settings.Seeds, SelfRecord.Address);
  Queue.add(GossipItem::node(SelfRecord.Name));
  Records.setNode(*Self, std::move(SelfRecord), Now);
  // Random phase, so that nodes started together do not probe at the same time.
  NextProbe = Now + Settings.ProbeInterval * Random.uniform();
  NextGossip = Now;
  NextSync = Now;
  NextDiscovery = Now;
  NextCleanup = Now;
}

void MembershipCore::addSeeds(std::vector<Endpoint> Addresses) {
  for (Endpoint &Address : Addresses)
    if (Address != Self->Record.Address &&
        std::find(Settings.Seeds.begin(), Settings.Seeds.end(), Address) ==
            Settings.Seeds.end())
      Settings.Seeds.push_back(std::move(Address));
  NextDiscovery = Time();
}

void MembershipCore::publish(const BackendServerRecord &Record, Time Now) {
  (void)Now;
  if (Record.Id.Node != Self->Record.Name ||
      !isValidName(Record.Id.Name.str()) ||
      !isValidName(Record.Service.str())) {
    ++Counters.Rejected;
    return;
  }
  BackendServerRecord Next = Record;
  // Peers reject a whole datagram if one of its values is out of range.
  Next.Label.resize(std::min(Next.Label.size(), MaxLabelLength));
  Next.Weight = std::min(Next.Weight, MaxWeight);
  auto It = Self->Servers.find(Next.Id.Name);
  if (It != Self->Servers.end()) {
    Next.Version = It->second.Version;
    if (Next == It->second)
      return;
  }
  writeServer(std::move(Next));
}

void MembershipCore::writeServer(BackendServerRecord Record) {
  Record.Version = {Self->Record.Version.Incarnation, ++ServerSequence};
  if (Records.setServer(*Self, Record))
    enqueue(GossipItem::server(Record.Id), ItemOrigin::Own);
  else
    ++Counters.Rejected;
}

void MembershipCore::mergeOwnServer(const BackendServerRecord &Record,
                                    MergeContext &M) {
  const RecordVersion &Version = Record.Version;
  std::uint64_t OwnIncarnation = Self->Record.Version.Incarnation;
  auto It = Self->Servers.find(Record.Id.Name);
  bool IsKnown = It != Self->Servers.end();
  if (IsKnown && Record == It->second) {
    noteDuplicate(GossipItem::server(Record.Id), M.Sender);
    return;
  }
  if (Version.Incarnation < OwnIncarnation ||
      (IsKnown && Version < It->second.Version))
    return;
  ++Counters.ForeignWrites;
  if (Version.Incarnation > OwnIncarnation) {
    raiseIncarnation(Version.Incarnation, M.Now);
    return;
  }
  if (Version.Sequence >= MaxIncarnation || !isValidName(Record.Id.Name.str()))
    return;
  ServerSequence = std::max(ServerSequence, Version.Sequence);
  BackendServerRecord Correction = IsKnown ? It->second : Record;
  if (!IsKnown)
    Correction.State = BackendServerState::Gone;
  writeServer(std::move(Correction));
}

void MembershipCore::refute(const RecordVersion &Claim, Time Now) {
  const RecordVersion &Own = Self->Record.Version;
  if (Claim.Incarnation > Own.Incarnation || Claim.Sequence >= MaxIncarnation) {
    raiseIncarnation(Claim.Incarnation, Now);
    return;
  }
  NodeRecord Next = Self->Record;
  Next.Version.Sequence = Claim.Sequence + 1;
  Records.setNode(*Self, Next, Now);
  enqueue(GossipItem::node(Next.Name), ItemOrigin::Own);
}

/// Sets the own incarnation above the claimed one and rewrites all own records
/// with it.
void MembershipCore::raiseIncarnation(std::uint64_t Claimed, Time Now) {
  if (Claimed >= MaxIncarnation ||
      (LastRaise && Now - *LastRaise < RaiseInterval))
    return;
  if (LastRaise)
    RaiseInterval = std::min(RaiseInterval * 2, MaxRaiseInterval);
  LastRaise = Now;
  auto Servers = Self->Servers;
  NodeRecord Next = Self->Record;
  Next.Version = {Claimed + 1, 1};
  Records.setNode(*Self, Next, Now);
  enqueue(GossipItem::node(Next.Name), ItemOrigin::Own);
  for (auto &[Name, Record] : Servers)
    writeServer(std::move(Record));
}

void MembershipCore::publishHead(const ConfigHead &Offered, Time Now) {
  (void)Now;
  if (Offered.Version <= Head.Version)
    return;
  Head = Offered;
  enqueue(GossipItem::head(), ItemOrigin::Shared);
}

void MembershipCore::publishQuarantine(const QuarantineRecord &Record,
                                       Time Now) {
  QuarantineKey Key = makeQuarantineKey(Record);
  storeQuarantine(Key, Now + Duration(Record.RemainingMs), Now);
  enqueue(GossipItem::quarantine(Key), ItemOrigin::Own);
}

void MembershipCore::storeQuarantine(const QuarantineKey &Key, Time ExpiresAt,
                                     Time Now) {
  std::erase_if(Quarantines, [&](const auto &Q) { return Q.second <= Now; });
  if (Quarantines.size() >= MaxQuarantines && Quarantines.count(Key) == 0) {
    auto ExpiresEarlier = [](const auto &A, const auto &B) {
      return A.second < B.second;
    };
    Quarantines.erase(std::min_element(Quarantines.begin(), Quarantines.end(),
                                       ExpiresEarlier));
  }
  Quarantines[Key] = ExpiresAt;
}

void MembershipCore::leave(Time Now) {
  if (Self->Record.State == NodeState::Leaving)
    return;
  NodeRecord Next = Self->Record;
  Next.State = NodeState::Leaving;
  ++Next.Version.Sequence;
  Records.setNode(*Self, Next, Now);
  enqueue(GossipItem::node(Next.Name), ItemOrigin::Own);
}

Digest MembershipCore::digest() const { return Records.digest(Head); }

std::vector<Delta> MembershipCore::deltasFor(const Digest &Other,
                                             std::size_t MaxRecords) const {
  std::vector<Delta> Parts = Records.deltasFor(Other, MaxRecords);
  Digest Own = digest();
  bool IsBehind = false;
  for (std::size_t I = 0; I != Roster::NodeBuckets; ++I)
    IsBehind |= Other.Buckets[I] == 0 && Own.Buckets[I] != 0;
  // A node that joined late has missed the gossip about quarantines. Their
  // remaining time is measured from the last tick, so it is too long by at most
  // one tick interval.
  Time Now = LastTick.value_or(Time());
  if (IsBehind) {
    for (const auto &[Key, ExpiresAt] : Quarantines) {
      if (ExpiresAt <= Now)
        continue;
      if (Parts.empty() || Parts.back().Quarantines.size() >= MaxRecords)
        Parts.emplace_back();
      Parts.back().Quarantines.push_back(
          makeQuarantineRecord(Key, ExpiresAt - Now));
    }
  }
  if (Head.Version > Other.Head.Version) {
    if (Parts.empty())
      Parts.emplace_back();
    Parts.front().Head = Head;
  }
  return Parts;
}

MembershipActions MembershipCore::apply(const Delta &Changes,
                                        const NodeName &Sender, Time Now) {
  MembershipActions Out;
  MergeContext M{ChannelKind::Sync, nullptr, Sender, Now, Out, {}};
  merge(Changes, M);
  if (M.NewItems.size() > MaxForwardedItems) {
    NextSync = std::min(NextSync, Now + CatchUpInterval);
    return Out;
  }
  for (const GossipItem &Item : M.NewItems)
    enqueue(Item, ItemOrigin::Shared, Sender);
  return Out;
}

std::shared_ptr<const FleetView> MembershipCore::view() const {
  return Records.view();
}

} // namespace teaselhitch

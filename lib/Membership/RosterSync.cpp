/// \file
/// Anti-entropy: computes the digest of a roster and the records that another
/// roster lacks.

#include "Roster.h"
#include "teaselhitch/Support/Hash.h"

#include <algorithm>

namespace teaselhitch {

namespace {

constexpr std::size_t ServerBuckets = Digest::BucketCount - Roster::NodeBuckets;
/// If more node buckets than this differ, many nodes have another state on the
/// other side, as after a partition. Node records are then exchanged first: the
/// backend servers of a node that was considered dead are known to both sides,
/// so their buckets become equal without being sent.
constexpr std::size_t PartitionBucketThreshold = 16;
/// A digest with at most this many node buckets in use comes from a node that
/// has just started and lacks all records.
constexpr std::size_t StartupBucketThreshold = 2;

/// Bijective mixing function (the finaliser of MurmurHash3).
std::uint64_t mix(std::uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33);
}

std::uint64_t hashRecord(std::uint64_t NameHash, const RecordVersion &Version) {
  return mix(mix(NameHash ^ mix(Version.Incarnation)) + Version.Sequence);
}

std::size_t nodeBucket(const NodeEntry &Entry) {
  return Entry.RingPosition % Roster::NodeBuckets;
}

std::size_t serverBucket(const NodeEntry &Entry) {
  return Roster::NodeBuckets +
         Entry.RingPosition / Roster::NodeBuckets % ServerBuckets;
}

/// Splits records into deltas of at most MaxRecords records each.
class DeltaSplitter {
public:
  explicit DeltaSplitter(std::size_t MaxRecords)
      : MaxRecords(std::max<std::size_t>(1, MaxRecords)) {}

  void add(const NodeRecord &Record) { current().Nodes.push_back(Record); }
  void add(const BackendServerRecord &Record) {
    current().Servers.push_back(Record);
  }
  std::vector<Delta> take() { return std::move(Parts); }

private:
  Delta &current() {
    if (Parts.empty() || Count == MaxRecords) {
      Parts.emplace_back();
      Count = 0;
    }
    ++Count;
    return Parts.back();
  }

  std::size_t MaxRecords;
  std::size_t Count = 0;
  std::vector<Delta> Parts;
};

} // namespace

void Roster::updateNodeDigest(const NodeEntry &Entry, bool Add) {
  if (Entry.isDead())
    return;
  std::uint64_t Hash = hashRecord(Entry.RingPosition, Entry.Record.Version);
  std::uint64_t &Bucket = Buckets[nodeBucket(Entry)];
  Bucket = Add ? Bucket + Hash : Bucket - Hash;
}

void Roster::updateServerDigest(const BackendServerRecord &Record, bool Add) {
  if (Record.State == BackendServerState::Gone)
    return;
  const NodeEntry &Entry = *find(Record.Id.Node);
  std::uint64_t Name = Entry.RingPosition + mix(hash64(Record.Id.Name.str()));
  std::uint64_t Hash = hashRecord(Name, Record.Version);
  std::uint64_t &Bucket = Buckets[serverBucket(Entry)];
  Bucket = Add ? Bucket + Hash : Bucket - Hash;
}

void Roster::updateServerDigests(const NodeEntry &Entry, bool Add) {
  for (const auto &[Name, Record] : Entry.Servers)
    updateServerDigest(Record, Add);
}

Digest Roster::digest(const ConfigHead &Head) const {
  Digest Built;
  // 32-bit hashes halve the size of the message; a collision hides a difference
  // only until the next change.
  for (std::size_t I = 0; I != Buckets.size(); ++I)
    Built.Buckets[I] = Buckets[I] & 0xffffffffU;
  Built.Head = Head;
  return Built;
}

std::vector<Delta> Roster::deltasFor(const Digest &Other,
                                     std::size_t MaxRecords) const {
  Digest Own = digest({});
  std::size_t NodeDifferences = 0, UsedBuckets = 0;
  for (std::size_t I = 0; I != NodeBuckets; ++I) {
    NodeDifferences += Own.Buckets[I] != Other.Buckets[I] ? 1 : 0;
    UsedBuckets += Other.Buckets[I] != 0 ? 1 : 0;
  }
  bool NodesOnly = NodeDifferences > PartitionBucketThreshold &&
                   UsedBuckets > StartupBucketThreshold;
  auto ShouldSendServers = [&](std::size_t I) {
    return !NodesOnly && Own.Buckets[I] != Other.Buckets[I];
  };
  DeltaSplitter Parts(MaxRecords);
  for (const auto &[Name, Entry] : Nodes) {
    std::size_t Bucket = nodeBucket(Entry);
    if (Entry.isKnown() && Own.Buckets[Bucket] != Other.Buckets[Bucket])
      Parts.add(Entry.Record);
  }
  for (const auto &[Name, Entry] : Nodes) {
    if (Entry.isDead() || !ShouldSendServers(serverBucket(Entry)))
      continue;
    for (const auto &[ServerName, Record] : Entry.Servers)
      Parts.add(Record);
  }
  return Parts.take();
}

} // namespace teaselhitch

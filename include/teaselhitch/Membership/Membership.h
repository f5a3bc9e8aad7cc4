#ifndef TEASELHITCH_MEMBERSHIP_MEMBERSHIP_H
#define TEASELHITCH_MEMBERSHIP_MEMBERSHIP_H

/// \file
/// Which nodes and backend servers exist. Probes with indirect probes, gossip
/// of deltas, anti-entropy by digest. Pure: events and the time go in, actions
/// come out.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Support/Result.h"

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselhitch {

/// A crashing request that the whole fleet refuses, or one crash that it
/// caused.
struct QuarantineRecord {
  std::uint64_t Fingerprint = 0;
  /// Milliseconds that it still lasts, as of sending.
  std::uint32_t RemainingMs = 0;
  /// Identifies a crash; 0 for the quarantine itself.
  std::uint64_t Crash = 0;
  /// For a crash: it is the second of a request that was sent again.
  bool Repeated = false;
  /// For a crash: the service of the backend server.
  ServiceName Service;

  auto operator<=>(const QuarantineRecord &) const = default;
};

/// Changes that one node passes to another.
struct Delta {
  std::vector<NodeRecord> Nodes;
  std::vector<BackendServerRecord> Servers;
  std::vector<QuarantineRecord> Quarantines;
  ConfigHead Head;

  auto operator<=>(const Delta &) const = default;
};

enum class DatagramKind : std::uint8_t {
  Probe,
  ProbeAck,
  /// Asks the receiver to probe Target on behalf of the sender.
  IndirectProbe,
  /// Carries a delta only.
  Gossip,
};

struct Datagram {
  DatagramKind Kind = DatagramKind::Gossip;
  NodeName Sender;
  std::uint64_t SenderIncarnation = 0;
  /// Correlates a probe with its acknowledgement.
  std::uint64_t Sequence = 0;
  /// Node to probe, for IndirectProbe.
  NodeName Target;
  Delta Changes;

  auto operator<=>(const Datagram &) const = default;
};

/// Hashes of all records by bucket, for anti-entropy.
struct Digest {
  static constexpr std::size_t BucketCount = 256;
  std::array<std::uint64_t, BucketCount> Buckets{};
  ConfigHead Head;

  auto operator<=>(const Digest &) const = default;
};

struct SendDatagram {
  Endpoint To;
  Datagram Message;

  auto operator<=>(const SendDatagram &) const = default;
};

/// Send our digest to this node over TCP.
struct StartSync {
  NodeName With;

  auto operator<=>(const StartSync &) const = default;
};

/// A higher configuration head is known.
struct HeadSeen {
  ConfigHead Head;

  auto operator<=>(const HeadSeen &) const = default;
};

struct QuarantineSeen {
  QuarantineRecord Record;

  auto operator<=>(const QuarantineSeen &) const = default;
};

/// The state of a node changed in our view.
struct NodeStateChanged {
  NodeName Node;
  NodeState State = NodeState::Alive;

  auto operator<=>(const NodeStateChanged &) const = default;
};

using MembershipAction = std::variant<SendDatagram, StartSync, HeadSeen,
                                      QuarantineSeen, NodeStateChanged>;
using MembershipActions = std::vector<MembershipAction>;

struct MembershipSettings {
  Duration ProbeInterval = Duration(500);
  Duration ProbeTimeout = Duration(200);
  std::uint32_t IndirectProbes = 3;
  Duration SuspicionTimeout = Duration::seconds(2);
  Duration GossipInterval = Duration(100);
  std::uint32_t GossipTargets = 3;
  Duration SyncInterval = Duration::seconds(10);
  /// Upper bound of an encoded datagram in bytes.
  std::uint32_t MaxDatagramBytes = 1200;
  /// First contacts; the own address among them is ignored.
  std::vector<Endpoint> Seeds;
};

/// Faults that a node noticed in what its peers sent. All grow only.
struct MembershipCounters {
  /// Claims about records that only this node writes, with a version that it
  /// has not written. Caused by an earlier process of the same name, by a
  /// second one, or by a peer that writes what it must not.
  std::uint64_t ForeignWrites = 0;
  /// Records that differ although their versions are equal.
  std::uint64_t Conflicts = 0;
  /// Invalid records, or records beyond the bounds of the tables.
  std::uint64_t Refused = 0;
  /// Ticks that came so late that suspicions were put off.
  std::uint64_t LateTicks = 0;
  /// Suspicions about this node that it refuted.
  std::uint64_t Refutations = 0;

  auto operator<=>(const MembershipCounters &) const = default;
};

/// The membership of one node. Call tick() every 50 ms or more often: a gap of
/// more than 200 ms counts as lateness of the own process.
class Membership {
public:
  /// \param Random must outlive the membership.
  static Result<std::unique_ptr<Membership>> create(MembershipSettings Settings,
                                                    NodeRecord Self,
                                                    RandomSource &Random,
                                                    Time Now);
  virtual ~Membership() = default;

  virtual MembershipActions tick(Time Now) = 0;
  virtual MembershipActions receive(const Datagram &Message,
                                    const Endpoint &From, Time Now) = 0;

  /// Adds first contacts; the own address among them is ignored.
  virtual void addSeeds(std::vector<Endpoint> Addresses) = 0;
  /// Publishes the record of an own backend server. The version is set here;
  /// a record that equals the published one apart from it is not sent again.
  virtual void publish(const BackendServerRecord &Record, Time Now) = 0;
  /// Spreads a configuration head that this node knows of.
  virtual void offerHead(const ConfigHead &Head, Time Now) = 0;
  virtual void spreadQuarantine(const QuarantineRecord &Record, Time Now) = 0;
  /// Spreads that this node shuts down.
  virtual void leave(Time Now) = 0;

  virtual Digest digest() const = 0;
  /// Records in the buckets in which Other differs, in parts of at most
  /// MaxRecords each.
  virtual std::vector<Delta> deltasFor(const Digest &Other,
                                       std::size_t MaxRecords) const = 0;
  virtual MembershipActions apply(const Delta &Changes, Time Now) = 0;

  /// The current snapshot. Dead nodes and their backend servers are left out,
  /// although their records are kept.
  virtual std::shared_ptr<const FleetView> view() const = 0;

  /// The own record. Its incarnation grows when an earlier process of the same
  /// name had a higher one.
  virtual const NodeRecord &self() const = 0;
  virtual MembershipCounters counters() const = 0;
};

} // namespace teaselhitch

#endif

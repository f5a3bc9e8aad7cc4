#ifndef TEASELHITCH_MEMBERSHIP_MEMBERSHIP_H
#define TEASELHITCH_MEMBERSHIP_MEMBERSHIP_H

/// \file
/// Fleet membership: which nodes and backend servers exist. Direct and indirect
/// probes detect failures, gossip disseminates changes, and anti-entropy
/// compares digests to find records that gossip missed. The implementation does
/// no I/O: callers pass in events and the time, and perform the returned
/// actions.

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

/// A quarantine, by which the whole fleet refuses a request that crashes
/// backend servers, or the report of one crash that such a request caused.
struct QuarantineRecord {
  std::uint64_t Fingerprint = 0;
  /// Remaining duration in milliseconds at the time of sending.
  std::uint32_t RemainingMs = 0;
  /// Identifier of the crash; 0 for the quarantine itself.
  std::uint64_t CrashId = 0;
  /// For a crash: true if it is the second crash of a request that was sent
  /// again.
  bool Repeated = false;
  /// For a crash: the service of the backend server that crashed.
  ServiceName Service;

  auto operator<=>(const QuarantineRecord &) const = default;
};

/// Set of changed records that one node sends to another.
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
  /// For IndirectProbe: the node to probe.
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
  Endpoint Destination;
  Datagram Message;
  /// True if the destination is known to be in another failure domain.
  bool CrossesDomains = false;

  auto operator<=>(const SendDatagram &) const = default;
};

/// Asks the caller to send the own digest to this node over TCP, which starts
/// anti-entropy.
struct StartSync {
  NodeName Peer;

  auto operator<=>(const StartSync &) const = default;
};

/// Notifies the caller that a newer configuration head than the published one
/// was received. Heads are forwarded only by nodes that have published them.
struct ConfigHeadUpdated {
  ConfigHead Head;
  /// A node that has the configuration; empty if it is not known.
  NodeName Holder;

  auto operator<=>(const ConfigHeadUpdated &) const = default;
};

/// Notifies the caller that a new or extended quarantine record was received.
struct QuarantineReceived {
  QuarantineRecord Record;

  auto operator<=>(const QuarantineReceived &) const = default;
};

/// Notifies the caller that the state of a node changed in the view of this
/// node.
struct NodeStateChanged {
  NodeName Node;
  NodeState State = NodeState::Alive;

  auto operator<=>(const NodeStateChanged &) const = default;
};

using MembershipAction =
    std::variant<SendDatagram, StartSync, ConfigHeadUpdated, QuarantineReceived,
                 NodeStateChanged>;
using MembershipActions = std::vector<MembershipAction>;

struct MembershipSettings {
  Duration ProbeInterval = Duration(500);
  Duration ProbeTimeout = Duration(200);
  std::uint32_t IndirectProbes = 3;
  Duration SuspicionTimeout = Duration::seconds(2);
  Duration GossipInterval = Duration(100);
  std::uint32_t GossipTargets = 3;
  Duration SyncInterval = Duration::seconds(10);
  /// Maximum size of an encoded datagram in bytes.
  std::uint32_t MaxDatagramBytes = 1200;
  /// Addresses of nodes to contact in order to join the fleet; the own address
  /// is ignored.
  std::vector<Endpoint> Seeds;
  /// A failure domain is remote if crossing to it adds at least this much to
  /// the round trip of a probe. Few messages are sent to remote domains; with
  /// 0, no domain is remote.
  Duration RemoteDomainRoundTrip;
};

/// Monotonic counters of faults that a node detected, mostly in messages from
/// its peers.
struct MembershipCounters {
  /// Received records that only this node may write, with a version or content
  /// that it has not written. Caused by an earlier process with the same node
  /// name, by a second running one, or by a peer that writes records of other
  /// nodes.
  std::uint64_t ForeignWrites = 0;
  /// Received records whose content differs from the known record of the same
  /// version.
  std::uint64_t Conflicts = 0;
  /// Records that were rejected because they are invalid or exceed a table
  /// limit.
  std::uint64_t Rejected = 0;
  /// Ticks so late that suspicion deadlines were extended.
  std::uint64_t LateTicks = 0;
  /// Claims that this node is suspected or dead, which it refuted.
  std::uint64_t Refutations = 0;

  auto operator<=>(const MembershipCounters &) const = default;
};

/// Membership state machine of one node. Call tick() at least every 50 ms: a
/// gap of more than 200 ms is taken as a stall of this process.
class Membership {
public:
  /// \param Random must outlive the returned object.
  static Result<std::unique_ptr<Membership>> create(MembershipSettings Settings,
                                                    NodeRecord Self,
                                                    RandomSource &Random,
                                                    Time Now);
  virtual ~Membership() = default;

  virtual MembershipActions tick(Time Now) = 0;
  virtual MembershipActions receive(const Datagram &Message,
                                    const Endpoint &From, Time Now) = 0;

  /// Adds seed addresses; the own address is ignored.
  virtual void addSeeds(std::vector<Endpoint> Addresses) = 0;
  /// Publishes the record of a backend server of this node. The version is
  /// assigned here; a record that differs from the published one only in the
  /// version is not sent again.
  virtual void publish(const BackendServerRecord &Record, Time Now) = 0;
  /// Disseminates a configuration head, whose pieces this node has, if it is
  /// newer than the published one.
  virtual void publishHead(const ConfigHead &Head, Time Now) = 0;
  virtual void publishQuarantine(const QuarantineRecord &Record, Time Now) = 0;
  /// Announces that this node is shutting down.
  virtual void leave(Time Now) = 0;

  virtual Digest digest() const = 0;
  /// Returns the records in the buckets that differ from Other, split into
  /// deltas of at most MaxRecords node and backend server records each.
  virtual std::vector<Delta> deltasFor(const Digest &Other,
                                       std::size_t MaxRecords) const = 0;
  /// \param Sender node that sent the changes, or empty if it is not known.
  virtual MembershipActions apply(const Delta &Changes, const NodeName &Sender,
                                  Time Now) = 0;
  MembershipActions apply(const Delta &Changes, Time Now) {
    return apply(Changes, NodeName(), Now);
  }

  /// Returns the current snapshot. It omits dead nodes and their backend
  /// servers, although their records are retained.
  virtual std::shared_ptr<const FleetView> view() const = 0;

  /// Returns the record of this node. Its incarnation is raised when an earlier
  /// process with the same node name had a higher one.
  virtual const NodeRecord &self() const = 0;
  virtual MembershipCounters counters() const = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_MEMBERSHIP_ROSTER_H
#define TEASELHITCH_LIB_MEMBERSHIP_ROSTER_H

/// \file
/// The records of all nodes and backend servers, with the digest and the
/// snapshot kept up to date. Holds no policy: callers decide which record wins.

#include "teaselhitch/Membership/Membership.h"

#include <map>
#include <set>
#include <vector>

namespace teaselhitch {

/// What is known of one node.
struct NodeEntry {
  /// Version 0.0 and state Dead until the first record of the node arrives.
  NodeRecord Record;
  std::map<BackendServerName, BackendServerRecord> Servers;
  /// Position on the ring that decides who probes whom.
  std::uint64_t RingPosition = 0;
  /// Position in the list of live peers; unset for the own node and dead ones.
  std::optional<std::size_t> LivePosition;
  Time DeadSince;
  /// The node announced its shutdown before it died.
  bool HasLeft = false;
  /// When a suspicion turns into death.
  std::optional<Time> SuspectedUntil;
  /// When the suspect may be asked again.
  Time NextQuestion;

  bool isKnown() const { return Record.Version.Incarnation != 0; }
  bool isDead() const { return Record.State == NodeState::Dead; }
  /// False for a node that leaves: its guard refuses new requests and keys.
  bool takesWork() const {
    return !isDead() && Record.State != NodeState::Leaving;
  }
};

/// Owner of all entries. Changes go through its functions only.
class Roster {
public:
  /// Digest buckets of node records; the others hold backend server records,
  /// so that a burst of node records leaves those equal.
  static constexpr std::size_t NodeBuckets = 64;
  /// Upper bounds against peers that invent records.
  static constexpr std::size_t MaxNodes = 16384;
  static constexpr std::size_t MaxServersPerNode = 1024;

  explicit Roster(NodeName Self) : Self(std::move(Self)) {}

  NodeEntry *find(const NodeName &Name);
  const NodeEntry *find(const NodeName &Name) const;
  /// The entry of this name, made if missing; null when the table is full.
  NodeEntry *obtain(const NodeName &Name, Time Now);

  /// Replaces the record of a node. A higher incarnation forgets the backend
  /// servers of the lower one.
  void setNode(NodeEntry &Entry, NodeRecord Record, Time Now);
  /// Stores a record of a backend server; false when the node has too many.
  bool setServer(NodeEntry &Entry, const BackendServerRecord &Record);

  /// Peers that are not dead, in no order.
  const std::vector<NodeEntry *> &livePeers() const { return Live; }
  /// Dead nodes that may come back.
  std::vector<const NodeEntry *> unreachable() const;
  /// The live peer that follows the own node on the ring, or null.
  NodeEntry *ringSuccessor() const;

  /// Forgets nodes that are dead for long.
  void dropExpired(Time Now);

  Digest digest(const ConfigHead &Head) const;
  std::vector<Delta> deltasFor(const Digest &Other,
                               std::size_t MaxRecords) const;
  std::shared_ptr<const FleetView> view() const;

private:
  struct ServerRef {
    const NodeEntry *Node;
    const BackendServerRecord *Record;

    bool operator<(const ServerRef &Other) const {
      return Record->Id < Other.Record->Id;
    }
  };
  using ServerSet = std::set<ServerRef>;

  void toggleNodeInDigest(const NodeEntry &Entry, bool Add);
  void toggleServerInDigest(const BackendServerRecord &Record, bool Add);
  void toggleServersInDigest(const NodeEntry &Entry, bool Add);
  void unindex(const NodeEntry &Entry, const BackendServerRecord &Record);
  void markServicesDirty(const NodeEntry &Entry);
  void updateLive(NodeEntry &Entry);
  /// Forgets the backend servers of incarnations before this one.
  void dropServersBefore(NodeEntry &Entry, std::uint64_t Incarnation);
  std::shared_ptr<const ServiceView> buildService(const ServerSet &Set) const;

  NodeName Self;
  std::map<NodeName, NodeEntry> Nodes;
  std::vector<NodeEntry *> Live;
  std::map<ServiceName, ServerSet> Services;
  std::array<std::uint64_t, Digest::BucketCount> Buckets{};

  mutable std::shared_ptr<const FleetView> Snapshot =
      std::make_shared<const FleetView>();
  mutable std::set<ServiceName> DirtyServices;
  mutable bool NodesAreDirty = true;
};

} // namespace teaselhitch

#endif

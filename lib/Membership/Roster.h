#ifndef TEASELHITCH_LIB_MEMBERSHIP_ROSTER_H
#define TEASELHITCH_LIB_MEMBERSHIP_ROSTER_H

/// \file
/// Table of the records of all nodes and backend servers, with an up-to-date
/// digest and snapshot. Contains no merge policy: callers decide which record
/// wins.

#include "teaselhitch/Membership/Membership.h"

#include <map>
#include <set>
#include <vector>

namespace teaselhitch {

/// Known state of one node and its backend servers.
struct NodeEntry {
  /// Version 0.0 and state Dead until the first record of the node arrives.
  NodeRecord Record;
  std::map<BackendServerName, BackendServerRecord> Servers;
  /// Position on the hash ring, which determines probe targets and digest
  /// buckets.
  std::uint64_t RingPosition = 0;
  /// Index in the list of live peers; unset for the own node and for dead ones.
  std::optional<std::size_t> LiveIndex;
  Time DeadSince;
  /// True if the node announced its shutdown before it died.
  bool HasLeft = false;
  /// Time at which the suspected node is declared dead.
  std::optional<Time> SuspicionDeadline;
  /// Earliest time of the next direct probe of the suspect.
  Time NextSuspectProbe;

  bool isKnown() const { return Record.Version.Incarnation != 0; }
  bool isDead() const { return Record.State == NodeState::Dead; }
  /// Returns false for dead nodes, and for leaving nodes, whose guards refuse
  /// new requests and keys.
  bool acceptsRequests() const {
    return !isDead() && Record.State != NodeState::Leaving;
  }
};

/// Owns all entries. Records are changed only through its member functions.
class Roster {
public:
  /// Number of digest buckets for node records. The other buckets are for
  /// backend server records, so that a burst of node changes leaves them equal.
  static constexpr std::size_t NodeBuckets = 64;
  /// Upper bounds that protect against peers that send invented records.
  static constexpr std::size_t MaxNodes = 16384;
  static constexpr std::size_t MaxServersPerNode = 1024;

  explicit Roster(NodeName Self) : Self(std::move(Self)) {}

  NodeEntry *find(const NodeName &Name);
  const NodeEntry *find(const NodeName &Name) const;
  /// Returns the entry with this name, creating it if it is missing; null if
  /// the table is full.
  NodeEntry *findOrCreate(const NodeName &Name, Time Now);

  /// Replaces the record of a node. Drops the backend servers of lower
  /// incarnations.
  void setNode(NodeEntry &Entry, NodeRecord Record, Time Now);
  /// Stores the record of a backend server; returns false if the node has too
  /// many.
  bool setServer(NodeEntry &Entry, const BackendServerRecord &Record);

  /// Returns the peers that are not dead, in no particular order.
  const std::vector<NodeEntry *> &livePeers() const { return LivePeers; }
  /// Returns the dead nodes that did not announce a shutdown and may come back.
  std::vector<const NodeEntry *> unreachable() const;
  /// Returns the live peer that follows the own node on the ring, or null if
  /// there is none. Peers in the domains of Skipped are left out.
  NodeEntry *ringSuccessor(const std::set<FailureDomain> &Skipped) const;

  /// Sets the remote domains of the snapshot.
  void setRemoteDomains(std::set<FailureDomain> Domains);

  /// Drops dead nodes whose retention time has passed.
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

  void updateNodeDigest(const NodeEntry &Entry, bool Add);
  void updateServerDigest(const BackendServerRecord &Record, bool Add);
  void updateServerDigests(const NodeEntry &Entry, bool Add);
  void unindex(const NodeEntry &Entry, const BackendServerRecord &Record);
  void markServicesDirty(const NodeEntry &Entry);
  void updateLive(NodeEntry &Entry);
  /// Drops the backend servers of incarnations lower than this one.
  void dropOlderServers(NodeEntry &Entry, std::uint64_t Incarnation);
  std::shared_ptr<const ServiceView> buildService(const ServerSet &Set) const;

  NodeName Self;
  std::map<NodeName, NodeEntry> Nodes;
  std::vector<NodeEntry *> LivePeers;
  std::map<ServiceName, ServerSet> Services;
  std::array<std::uint64_t, Digest::BucketCount> Buckets{};

  mutable std::shared_ptr<const FleetView> Snapshot =
      std::make_shared<const FleetView>();
  mutable std::set<ServiceName> DirtyServices;
  mutable bool NodesAreDirty = true;
  std::set<FailureDomain> RemoteDomains;
};

} // namespace teaselhitch

#endif

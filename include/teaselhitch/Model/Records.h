#ifndef TEASELHITCH_MODEL_RECORDS_H
#define TEASELHITCH_MODEL_RECORDS_H

/// \file
/// Records that are replicated between nodes. Each record has a single writer;
/// the copy with the higher version wins.

#include "teaselhitch/Model/Names.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace teaselhitch {

/// Orders the versions of a record. The writer increments the incarnation when
/// it restarts and the sequence on each change.
struct RecordVersion {
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;

  auto operator<=>(const RecordVersion &) const = default;
};

/// An IP address and a port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// Returns "address:port".
std::string toString(const Endpoint &E);

enum class NodeState : std::uint8_t {
  Alive,
  /// A probe failed; the node may still refute the suspicion.
  Suspected,
  Dead,
  /// The node announced a graceful shutdown.
  Leaving,
};
const char *nodeStateName(NodeState State);

struct NodeRecord {
  NodeName Name;
  /// Address of the TCP and UDP sockets for traffic between nodes.
  Endpoint Address;
  FailureDomain Domain;
  RegionName Region;
  NodeState State = NodeState::Alive;
  RecordVersion Version;

  auto operator<=>(const NodeRecord &) const = default;
};

/// Lifecycle state that a backend server reports about itself.
enum class BackendServerState : std::uint8_t {
  Starting,
  Ready,
  /// Completes its current requests and accepts no new ones.
  Draining,
  /// Stopped, or sent no announcement within the announcement timeout.
  Gone,
};
const char *backendServerStateName(BackendServerState State);

/// Health of a backend server as assessed by its guard.
enum class BackendServerHealth : std::uint8_t {
  Healthy,
  /// Receives less work, but still counts as capacity.
  Suspected,
  /// Receives only a limited number of trial requests.
  Ejected,
};
const char *backendServerHealthName(BackendServerHealth Health);

/// State of a backend server as published by its guard.
struct BackendServerRecord {
  BackendServerId Id;
  ServiceName Service;
  FailureDomain Domain;
  /// Free-form label that groups use to select backend servers, e.g. a release.
  std::string Label;
  /// Maximum number of requests that the backend server runs concurrently.
  std::uint32_t Slots = 0;
  BackendServerState State = BackendServerState::Starting;
  BackendServerHealth Health = BackendServerHealth::Healthy;
  /// Percentage of the full load that the backend server receives, 1 to 100.
  /// Below 100 during slow start and while the backend server is suspected.
  std::uint32_t Weight = 100;
  RecordVersion Version;

  auto operator<=>(const BackendServerRecord &) const = default;

  /// Returns true if the backend server accepts new work and counts as healthy
  /// capacity.
  bool isCapacity() const {
    return State == BackendServerState::Ready &&
           Health != BackendServerHealth::Ejected;
  }
};

/// Identifies the configuration that all nodes of the fleet should adopt.
struct ConfigHead {
  /// Incremented by one on each publication; 0 means that none was published.
  std::uint64_t Version = 0;
  /// SHA-256 of the manifest in hexadecimal.
  std::string ManifestHash;

  auto operator<=>(const ConfigHead &) const = default;
};

/// The backend servers of a service on usable nodes, sorted by id.
using ServiceView = std::vector<BackendServerRecord>;

/// An immutable snapshot of the fleet. Services that did not change share their
/// view with the previous snapshot.
struct FleetView {
  /// Nodes sorted by name, without dead nodes.
  std::shared_ptr<const std::map<NodeName, NodeRecord>> Nodes;
  std::map<ServiceName, std::shared_ptr<const ServiceView>> Services;
  /// Failure domains to which messages are expensive, from this node.
  std::set<FailureDomain> RemoteDomains;

  /// Returns true if guards publish by gossip which of their backend servers
  /// look faulty. In larger fleets, each entry learns it from the guards that
  /// it asks.
  bool sharesRisk() const;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_MODEL_RECORDS_H
#define TEASELHITCH_MODEL_RECORDS_H

/// \file
/// Records that nodes share. Each has one writer; the higher version wins.

#include "teaselhitch/Model/Names.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace teaselhitch {

/// Orders the states of a record. The writer raises the incarnation when it
/// restarts and the sequence with each change.
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

/// "address:port".
std::string toString(const Endpoint &E);

enum class NodeState : std::uint8_t {
  Alive,
  /// A probe failed; the node may refute.
  Suspected,
  Dead,
  /// The node announced a graceful shutdown.
  Leaving,
};
const char *nodeStateName(NodeState State);

struct NodeRecord {
  NodeName Name;
  /// Address of the TCP and UDP sockets for other nodes.
  Endpoint Address;
  FailureDomain Domain;
  RegionName Region;
  NodeState State = NodeState::Alive;
  RecordVersion Version;

  auto operator<=>(const NodeRecord &) const = default;
};

/// What a backend server says of itself.
enum class BackendServerState : std::uint8_t {
  Starting,
  Ready,
  /// Finishes its requests and takes no new ones.
  Draining,
  /// Stopped, or silent for longer than the announcement timeout.
  Gone,
};
const char *backendServerStateName(BackendServerState State);

/// What its guard thinks of a backend server.
enum class BackendServerHealth : std::uint8_t {
  Healthy,
  /// Gets less work; still counted as capacity.
  Suspected,
  /// Gets no work but rationed trial requests.
  Ejected,
};
const char *backendServerHealthName(BackendServerHealth Health);

/// A backend server as its guard publishes it.
struct BackendServerRecord {
  BackendServerId Id;
  ServiceName Service;
  FailureDomain Domain;
  /// Free text by which groups select, e.g. a release.
  std::string Label;
  /// Greatest number of requests that it runs at once.
  std::uint32_t Slots = 0;
  BackendServerState State = BackendServerState::Starting;
  BackendServerHealth Health = BackendServerHealth::Healthy;
  /// Share of a full load in percent, 1 to 100. Below 100 during slow start and
  /// while suspected.
  std::uint32_t Weight = 100;
  RecordVersion Version;

  auto operator<=>(const BackendServerRecord &) const = default;

  /// True if it takes new work and counts as healthy capacity.
  bool isCapacity() const {
    return State == BackendServerState::Ready &&
           Health != BackendServerHealth::Ejected;
  }
};

/// The configuration that the whole fleet should run.
struct ConfigHead {
  /// Grows by one with each publication; 0 means none.
  std::uint64_t Version = 0;
  /// SHA-256 of the manifest in hexadecimal.
  std::string ManifestHash;

  auto operator<=>(const ConfigHead &) const = default;
};

/// The backend servers of a service on usable nodes, in order of id.
using ServiceView = std::vector<BackendServerRecord>;

/// An immutable snapshot of the fleet. Services that did not change share their
/// view with the snapshot before.
struct FleetView {
  /// Nodes in order of name, dead ones left out.
  std::shared_ptr<const std::map<NodeName, NodeRecord>> Nodes;
  std::map<ServiceName, std::shared_ptr<const ServiceView>> Services;
};

} // namespace teaselhitch

#endif

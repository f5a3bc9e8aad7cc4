#ifndef TEASELHITCH_LIB_NODE_CHANNELS_H
#define TEASELHITCH_LIB_NODE_CHANNELS_H

/// \file
/// The messages and rings between the threads of a node.

#include "teaselhitch/Audit/AuditTrail.h"
#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Config/Pieces.h"
#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Integration/ConfigSource.h"
#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Net/PeerLinks.h"
#include "teaselhitch/Platform/Requests.h"
#include "teaselhitch/Support/Channel.h"
#include "teaselhitch/Support/Metrics.h"
#include "teaselhitch/Support/Published.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <variant>

namespace teaselhitch {

/// Callers to peers: a message for the guard of another node.
struct ToGuard {
  NodeName Node;
  GuardMessage Message;
};

/// Peers to backends: a message from the entry of another node.
struct FromEntry {
  LinkId Link = 0;
  GuardMessage Message;
};

/// Peers to backends: the link of an entry closed; its attempts have no one to
/// answer to.
struct EntryLost {
  LinkId Link = 0;
};

using PeersToBackends =
    std::variant<FromEntry, EntryLost, Quarantine, CrashMark>;

/// Backends to peers: an answer for the entry of another node.
struct ToEntry {
  LinkId Link = 0;
  EntryMessage Message;
};

using BackendsToPeers =
    std::variant<ToEntry, BackendServerRecord, Quarantine, CrashMark>;

/// Peers to platform: read a piece of the configuration.
struct ReadPiece {
  PieceHash Hash;
};

/// Platform to peers: the piece; nothing if it could not be read.
struct PieceRead {
  PieceHash Hash;
  std::optional<std::string> Bytes;
};

/// Platform to peers: first contacts from the node directory.
struct NodesFound {
  std::vector<Endpoint> Addresses;
};

using PeersToPlatform = std::variant<TableRequest, ReadPiece>;
using PlatformToPeers = std::variant<TableReply, PieceRead, NodesFound>;

/// Operators to peers: read the head of the configuration now.
struct RefreshConfig {};

/// Messages that a ring holds before it refuses more.
inline constexpr std::size_t RingCapacity = 4096;

/// Backends to callers: a backend server of this node has begun or ended a
/// request.
struct RunChange {
  /// Id that the caller gave to the request.
  std::string CallerId;
  RuleName Rule;
  std::uint32_t Priority = 0;
  bool IsRunning = false;
};

/// Callers to backends: the run of the request with this caller's id has made
/// a request of its own.
struct SubRequestSeen {
  std::string ParentId;
};

/// Callers to backends: such a request has ended.
struct SubRequestEnded {
  /// Rule of the request that made it.
  RuleName ParentRule;
  /// It found no room until it was refused or its caller left.
  bool Congested = false;
};

using SubRequestNotice = std::variant<SubRequestSeen, SubRequestEnded>;

/// All that the threads of a node share.
struct Channels {
  Channel<GuardMessage> CallersToBackends{RingCapacity};
  Channel<EntryMessage> BackendsToCallers{RingCapacity};
  Channel<RunChange> RunsToCallers{RingCapacity};
  Channel<SubRequestNotice> SubRequestsToBackends{RingCapacity};
  Channel<ToGuard> CallersToPeers{RingCapacity};
  Channel<EntryMessage> PeersToCallers{RingCapacity};
  Channel<PeersToBackends> PeersToBackendsRing{RingCapacity};
  Channel<BackendsToPeers> BackendsToPeersRing{RingCapacity};
  Channel<TableRequest> CallersToPlatform{RingCapacity};
  Channel<TableReply> PlatformToCallers{RingCapacity};
  Channel<TableRequest> BackendsToPlatform{RingCapacity};
  Channel<TableReply> PlatformToBackends{RingCapacity};
  Channel<PeersToPlatform> PeersToPlatformRing{RingCapacity};
  Channel<PlatformToPeers> PlatformToPeersRing{RingCapacity};
  Channel<RefreshConfig> OperatorsToPeers{16};
  Channel<SourcedConfig> ConfigToPeers{16};

  Published<ActiveConfig> Config;
  Published<FleetView> View;
  /// What each thread reports of itself for operators.
  Published<boost::json::value> CallersStatus;
  Published<boost::json::value> BackendsStatus;
  Published<boost::json::value> PeersStatus;

  AuditTrail Audit;
  MetricRegistry Metrics;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_NODE_SHAREDSTATE_H
#define TEASELHITCH_LIB_NODE_SHAREDSTATE_H

/// \file
/// The messages and channels between the threads of a node, and the state that
/// the threads share.

#include "teaselhitch/Audit/AuditTrail.h"
#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Config/Pieces.h"
#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Integration/ConfigSource.h"
#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Net/PeerLinks.h"
#include "teaselhitch/Platform/TableRequests.h"
#include "teaselhitch/Support/Channel.h"
#include "teaselhitch/Support/MemoryBudget.h"
#include "teaselhitch/Support/Metrics.h"
#include "teaselhitch/Support/PublishedSnapshot.h"

#include <boost/json/value.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace teaselhitch {

/// From the callers thread to the peers thread: a message for the guard of
/// another node.
struct OutboundGuardMessage {
  NodeName Node;
  GuardMessage Message;
};

/// From the peers thread to the backends thread: a message from the entry of
/// another node.
struct InboundGuardMessage {
  LinkId Link = 0;
  GuardMessage Message;
};

/// From the peers thread to the backends thread: the link of an entry closed,
/// so the results of its attempts can no longer be delivered.
struct EntryLinkClosed {
  LinkId Link = 0;
};

/// From the peers thread to the backends thread: a node keeps a copy of
/// departures of this node's backend servers.
struct InboundDepartureCopy {
  NodeName Node;
  DepartureCopyKept Kept;
};

using PeersToBackendsMessage =
    std::variant<InboundGuardMessage, EntryLinkClosed, Quarantine, CrashMark,
                 InboundDepartureCopy>;

/// From the backends thread to the peers thread: an answer for the entry of
/// another node.
struct OutboundEntryMessage {
  LinkId Link = 0;
  EntryMessage Message;
};

/// From the backends thread to the peers thread: departures of this node's
/// backend servers, for another node to keep.
struct OutboundDepartureCopy {
  NodeName Node;
  DepartureCopy Copy;
};

using BackendsToPeersMessage =
    std::variant<OutboundEntryMessage, BackendServerRecord, Quarantine,
                 CrashMark, OutboundDepartureCopy>;

/// From the peers thread to the platform thread: a request to read a piece of
/// the configuration from the object store.
struct PieceReadRequest {
  PieceHash Hash;
};

/// From the platform thread to the peers thread: the bytes of a piece, or
/// nullopt if it could not be read.
struct PieceReadResult {
  PieceHash Hash;
  std::optional<std::string> Bytes;
};

/// From the platform thread to the peers thread: addresses of nodes from the
/// node directory, used as first contacts.
struct DiscoveredNodes {
  std::vector<Endpoint> Addresses;
};

using PeersToPlatformMessage = std::variant<TableRequest, PieceReadRequest>;
using PlatformToPeersMessage =
    std::variant<TableReply, PieceReadResult, DiscoveredNodes>;

/// From the operators thread to the peers thread: a request to read the head of
/// the configuration at once.
struct RefreshConfig {};

/// Number of messages that a channel holds before it refuses more.
inline constexpr std::size_t ChannelCapacity = 4096;

/// From the backends thread to the callers thread: a backend server of this
/// node started or finished a request.
struct RunChange {
  /// Request id that the caller supplied.
  std::string CallerId;
  RuleName Rule;
  std::uint32_t Priority = 0;
  /// See DispatchInfo::IsRepeat.
  bool IsRepeat = false;
  bool IsRunning = false;
  /// Organisation to which the request is accounted, or empty.
  OrganisationName Organisation = {};
};

/// From the callers thread to the backends thread: a request that is running on
/// a backend server has issued a request of its own (a sub-request).
struct SubRequestSeen {
  /// Id that the caller supplied for the request that is running.
  std::string ParentId;
};

/// From the callers thread to the backends thread: a sub-request has ended.
struct SubRequestEnded {
  /// Rule of the request that issued the sub-request.
  RuleName ParentRule;
  /// The sub-request was refused before it got a slot.
  bool Congested = false;
};

using SubRequestNotice = std::variant<SubRequestSeen, SubRequestEnded>;

/// From the callers thread to the peers thread: a request for credits, to be
/// handled by the own or another node.
struct OutboundCreditRequest {
  NodeName Node;
  CreditRequest Request;
};

/// From the peers thread to the callers thread: credits that a node lends.
struct InboundCreditReply {
  NodeName Node;
  CreditReply Reply;
};

/// From the peers thread to the callers thread: a node cannot be reached, so
/// requests for credits that were sent to it get no reply.
struct CreditNodeLost {
  NodeName Node;
};

using CreditMessage = std::variant<InboundCreditReply, CreditNodeLost>;

/// Memory that the guard has reserved for bodies whose requests were granted.
/// The backends thread adds a reservation with each grant; the peers thread
/// takes it when the request begins to arrive. Thread-safe.
class GrantedBodies {
public:
  void add(const AttemptId &Attempt, MemoryBudget::Reservation Reserved) {
    std::lock_guard<std::mutex> Lock(Mutex);
    ByAttempt.insert_or_assign(Attempt, std::move(Reserved));
  }
  /// Returns nothing if the grant has ended.
  std::optional<MemoryBudget::Reservation> take(const AttemptId &Attempt) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Node = ByAttempt.extract(Attempt);
    if (Node.empty())
      return std::nullopt;
    return std::move(Node.mapped());
  }

private:
  std::mutex Mutex;
  std::map<AttemptId, MemoryBudget::Reservation> ByAttempt;
};

/// State that the threads of a node share.
struct SharedState {
  /// Bytes that the node holds for requests and answers. First member, because
  /// queued messages hold reservations.
  MemoryBudget Memory;
  GrantedBodies Granted;

  Channel<GuardMessage> CallersToBackends{ChannelCapacity};
  Channel<EntryMessage> BackendsToCallers{ChannelCapacity};
  Channel<RunChange> RunsToCallers{ChannelCapacity};
  Channel<SubRequestNotice> SubRequestsToBackends{ChannelCapacity};
  Channel<OutboundGuardMessage> CallersToPeers{ChannelCapacity};
  Channel<EntryMessage> PeersToCallers{ChannelCapacity};
  Channel<OutboundCreditRequest> CreditsToPeers{ChannelCapacity};
  Channel<CreditMessage> CreditsToCallers{ChannelCapacity};
  Channel<PeersToBackendsMessage> PeersToBackends{ChannelCapacity};
  Channel<BackendsToPeersMessage> BackendsToPeers{ChannelCapacity};
  Channel<TableRequest> CallersToPlatform{ChannelCapacity};
  Channel<TableReply> PlatformToCallers{ChannelCapacity};
  Channel<TableRequest> BackendsToPlatform{ChannelCapacity};
  Channel<TableReply> PlatformToBackends{ChannelCapacity};
  Channel<PeersToPlatformMessage> PeersToPlatform{ChannelCapacity};
  Channel<PlatformToPeersMessage> PlatformToPeers{ChannelCapacity};
  Channel<RefreshConfig> OperatorsToPeers{16};
  Channel<SourcedConfig> ConfigToPeers{16};

  PublishedSnapshot<ActiveConfig> Config;
  PublishedSnapshot<FleetView> View;
  /// Status that each thread publishes for operators.
  PublishedSnapshot<boost::json::value> CallersStatus;
  PublishedSnapshot<boost::json::value> BackendsStatus;
  PublishedSnapshot<boost::json::value> PeersStatus;

  /// Time of the last datagram from another node, in milliseconds of
  /// SteadyClock; 0 if there was none.
  std::atomic<double> LastPeerContact{0};
  /// A newer configuration is known, and other nodes did not supply it in time.
  std::atomic<bool> IsConfigOverdue{false};

  AuditTrail Audit;
  MetricRegistry Metrics;
};

} // namespace teaselhitch

#endif

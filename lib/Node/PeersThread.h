#ifndef TEASELHITCH_LIB_NODE_PEERSTHREAD_H
#define TEASELHITCH_LIB_NODE_PEERSTHREAD_H

/// \file
/// The thread that communicates with other nodes: membership over UDP, links
/// over TCP, and the adoption of configurations.

#include "ConfigFetcher.h"
#include "CreditReport.h"
#include "EventLoopThread.h"
#include "OutstandingAttempts.h"
#include "PeerTraffic.h"
#include "SharedState.h"
#include "teaselhitch/Guard/DepartureCopies.h"
#include "teaselhitch/Net/DatagramSocket.h"
#include "teaselhitch/Net/PeerLinks.h"
#include "teaselhitch/RateLimit/CreditOwner.h"
#include "teaselhitch/Settings/NodeSettings.h"
#include "teaselhitch/Wire/DatagramCodec.h"

#include <map>
#include <memory>

namespace teaselhitch {

class PeersThread final : public EventLoopThread, private PeerLinksHandler {
public:
  /// \param UsesObjectStore the head of the configuration is polled from the
  /// table store.
  static Result<std::unique_ptr<PeersThread>>
  create(const NodeSettings &Settings, bool UsesObjectStore,
         std::uint64_t Incarnation, SharedState &Shared);

  /// Announces to the other nodes that this node is shutting down.
  void leave();

private:
  PeersThread(const NodeSettings &Settings, bool StoreHasPieces,
              SharedState &Shared);

  void onGuardMessage(const NodeName &Node, PeerMessage Message) override;
  void onEntryMessage(LinkId Link, const NodeName &Node,
                      PeerMessage Message) override;
  void onGuardDisconnect(const NodeName &Node, bool WasOpen) override;
  void onEntryDisconnect(LinkId Link) override;
  void onSent(const NodeName &Node, std::size_t Type,
              std::size_t Bytes) override;
  std::optional<MemoryBudget::Reservation>
  takeGrantedMemory(const AttemptId &Attempt) override {
    return Shared.Granted.take(Attempt);
  }

  void handleDatagram(std::string_view Bytes, const Endpoint &From);
  void receive(OutboundGuardMessage Message);
  void receive(BackendsToPeersMessage Message);
  void receive(PlatformToPeersMessage Message);
  void receive(const OutboundCreditRequest &Message);
  void execute(const MembershipActions &Actions);
  void perform(const SendDatagram &Action);
  void perform(const StartSync &Action);
  void perform(const ConfigHeadUpdated &Action);
  void perform(const QuarantineReceived &Action);
  void perform(const NodeStateChanged &Action);
  void answerDigest(LinkId Link, const Digest &Other);
  void sendDepartures(const OutboundDepartureCopy &Message);
  void sendToCallers(EntryMessage Message);
  void sendCredits(CreditMessage Message);
  /// Tells the owner of rates the time, the view and whether there is contact.
  void tickCredits();
  void sendToBackends(PeersToBackendsMessage Message);
  /// Forwards a message of a remote entry to the local guard, or refuses its
  /// attempt if the channel is full.
  template <typename MessageT> void forward(LinkId Link, MessageT Message);
  /// Handles a piece that a source sent; no bytes mean that the source does not
  /// have it. Returns the pieces to fetch next.
  std::vector<PieceFetch> receivePiece(Piece Received);
  void fetch(const std::vector<PieceFetch> &Fetches);
  /// Publishes a newly adopted configuration, if there is one.
  void publishAdopted();
  /// Requests the head of the configuration and schedules the next poll.
  void pollHead();
  void tick();
  /// Returns the view that was published last, or the newest one if none was
  /// published yet.
  std::shared_ptr<const FleetView> currentView() const;
  void publishStatus();
  /// Logs the remote failure domains when they have changed.
  void reportRemoteDomains(const FleetView &View);

  NodeSettings Settings;
  SharedState &Shared;
  DatagramAuth Auth;
  std::unique_ptr<RandomSource> Random;
  std::unique_ptr<Membership> Members;
  ConfigFetcher Config;
  OutstandingAttempts Outstanding;
  CreditOwner Lender;
  /// Departures of the backend servers of other nodes.
  DepartureKeeper Keeper;
  CreditOwnerReport LenderReport;
  /// The view that was passed to the other threads last.
  std::shared_ptr<const FleetView> LastView;
  Time LastViewAt;
  /// The datagram that was sent last, and its encoding.
  Datagram LastMessage;
  std::string LastEncoded;
  PeerTraffic Traffic;
  Gauge &RemoteDomains;
  Counter &BytesSent;
  Counter &BytesReceived;
  Counter &BadDatagrams;
  // Last members, so that connections are destroyed before the members that
  // their handlers use.
  std::unique_ptr<DatagramSocket> Datagrams;
  std::unique_ptr<PeerLinks> Links;
};

} // namespace teaselhitch

#endif

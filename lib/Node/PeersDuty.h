#ifndef TEASELHITCH_LIB_NODE_PEERSDUTY_H
#define TEASELHITCH_LIB_NODE_PEERSDUTY_H

/// \file
/// The thread that talks to other nodes: membership over UDP, links over TCP,
/// and the adoption of configurations.

#include "Channels.h"
#include "ConfigFetcher.h"
#include "Duty.h"
#include "OutstandingAttempts.h"
#include "teaselhitch/Net/DatagramSocket.h"
#include "teaselhitch/Net/PeerLinks.h"
#include "teaselhitch/Settings/NodeSettings.h"
#include "teaselhitch/Wire/DatagramCodec.h"

#include <map>
#include <memory>

namespace teaselhitch {

class PeersDuty final : public Duty, private PeerLinksHandler {
public:
  static Result<std::unique_ptr<PeersDuty>> create(const NodeSettings &Settings,
                                                   bool PollsHead,
                                                   std::uint64_t Incarnation,
                                                   Channels &Rings);

  /// Tells the fleet that this node shuts down.
  void leave();

private:
  PeersDuty(const NodeSettings &Settings, Channels &Rings);

  void fromGuard(const NodeName &Node, PeerMessage Message) override;
  void fromEntry(LinkId Link, const NodeName &Node,
                 PeerMessage Message) override;
  void lostGuard(const NodeName &Node, bool WasOpen) override;
  void lostEntry(LinkId Link) override;

  void onDatagram(std::string_view Bytes, const Endpoint &From);
  void receive(ToGuard Message);
  void receive(BackendsToPeers Message);
  void receive(PlatformToPeers Message);
  void run(const MembershipActions &Actions);
  void perform(const SendDatagram &Action);
  void perform(const StartSync &Action);
  void perform(const ConfigHeadUpdated &Action);
  void perform(const QuarantineReceived &Action);
  void perform(const NodeStateChanged &Action);
  void answerDigest(LinkId Link, const Digest &Other);
  void toCallers(EntryMessage Message);
  void toBackends(PeersToBackends Message);
  /// Passes a message of an entry to the guard, or refuses its attempt.
  template <typename MessageT> void forward(LinkId Link, MessageT Message);
  /// What to fetch after a source sent a piece, or an empty one if it has none.
  std::vector<PieceFetch> takePiece(Piece Received);
  void fetch(const std::vector<PieceFetch> &Fetches);
  void adopted();
  /// Reads the head of the configuration, again and again.
  void pollHead();
  void tick();
  void publishStatus();

  NodeSettings Settings;
  Channels &Rings;
  DatagramAuth Auth;
  std::unique_ptr<RandomSource> Random;
  std::unique_ptr<Membership> Members;
  ConfigFetcher Config;
  OutstandingAttempts Outstanding;
  std::shared_ptr<const FleetView> LastView;
  Counter &BytesSent;
  Counter &BytesReceived;
  Counter &BadDatagrams;
  // Last, so that no connection outlives what its handlers use.
  std::unique_ptr<DatagramSocket> Datagrams;
  std::unique_ptr<PeerLinks> Links;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_NET_PEERLINKS_H
#define TEASELHITCH_NET_PEERLINKS_H

/// \file
/// Multiplexed TCP links between nodes. The node that has a request to send
/// opens a link; replies are sent on the same link.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Net/EventLoop.h"
#include "teaselhitch/Support/MemoryBudget.h"
#include "teaselhitch/Support/Result.h"
#include "teaselhitch/Wire/FrameCodec.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace teaselhitch {

/// Identifies a link that another node opened to this one. An id is not reused
/// after its link closes.
using LinkId = std::uint64_t;

/// Receives the events of the links on the thread of the loop.
class PeerLinksHandler {
public:
  virtual ~PeerLinksHandler() = default;

  /// A message arrived on the link that this node opened to Node.
  virtual void onGuardMessage(const NodeName &Node, PeerMessage Message) = 0;
  /// A message arrived on a link that Node opened to this node.
  virtual void onEntryMessage(LinkId Link, const NodeName &Node,
                              PeerMessage Message) = 0;
  /// The link that this node opened to Node was closed; requests sent on it get
  /// no reply. WasOpen is false if the connection was never established, in
  /// which case no byte of any message left this node.
  virtual void onGuardDisconnect(const NodeName &Node, bool WasOpen) = 0;
  /// A link that another node opened to this node was closed.
  virtual void onEntryDisconnect(LinkId Link) = 0;
  /// A message to Node was encoded for sending. Type is the index of the
  /// message in PeerMessage, Bytes the size of its frame.
  virtual void onSent(const NodeName &Node, std::size_t Type,
                      std::size_t Bytes) {
    (void)Node, (void)Type, (void)Bytes;
  }
  /// A dispatch with a large body begins to arrive from another node. Returns
  /// the memory that was reserved for the body when the attempt was granted, or
  /// nothing if the grant has ended; the dispatch is then refused and its body
  /// discarded.
  virtual std::optional<MemoryBudget::Reservation>
  takeGrantedMemory(const AttemptId &Attempt) {
    (void)Attempt;
    return MemoryBudget::Reservation();
  }
};

struct PeerLinksSettings {
  Endpoint Listen;
  Hello LocalHello;
  Duration ConnectTimeout = Duration(500);
  /// A link with pending replies is sent a heartbeat request after this time
  /// without received data.
  Duration HeartbeatInterval = Duration(500);
  /// A link with pending replies is closed after this time without received
  /// data.
  Duration ReceiveTimeout = Duration::seconds(2);
  /// A link that this node opened is closed after this time without messages.
  Duration IdleTimeout = Duration::seconds(30);
  /// A link with more unsent bytes than this accepts no further messages.
  std::uint64_t MaxPendingBytes = 8ULL * 1024 * 1024;
  /// Accounts for bodies that arrive and for buffered bytes of the links; may
  /// be null. Must outlive the links and the bodies.
  MemoryBudget *Memory = nullptr;
};

class PeerLinks {
public:
  /// Starts listening before it returns. Handler must outlive the links.
  /// Errors: InvalidInput if the listen address is not an IP address,
  /// Unavailable if it cannot be bound.
  static Result<std::unique_ptr<PeerLinks>> create(EventLoop &Loop,
                                                   PeerLinksSettings Settings,
                                                   PeerLinksHandler &Handler);
  virtual ~PeerLinks() = default;

  /// Sends a message on the link to Node and opens the link if needed. Returns
  /// false, with nothing sent, if the link accepts no further messages.
  [[nodiscard]] virtual bool send(const NodeName &Node, const Endpoint &Address,
                                  const PeerMessage &Message) = 0;

  /// Replies on a link that another node opened. Does nothing if the link has
  /// closed.
  virtual void reply(LinkId Link, const PeerMessage &Message) = 0;

  /// Closes the link to Node, for example because Node is dead.
  virtual void closeLink(const NodeName &Node) = 0;

  /// Sends heartbeats, and closes unresponsive and idle links. To be called
  /// about every 100 ms.
  virtual void tick(Time Now) = 0;

  virtual std::size_t linkCount() const = 0;

  /// The port that is listened on, also if the settings leave it open with 0.
  virtual std::uint16_t port() const = 0;
};

} // namespace teaselhitch

#endif

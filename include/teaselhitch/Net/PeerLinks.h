#ifndef TEASELHITCH_NET_PEERLINKS_H
#define TEASELHITCH_NET_PEERLINKS_H

/// \file
/// Multiplexed TCP links between nodes. The node that has something to send
/// opens a link; answers come back on the same link.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Net/EventLoop.h"
#include "teaselhitch/Support/Result.h"
#include "teaselhitch/Wire/FrameCodec.h"

#include <cstdint>
#include <memory>

namespace teaselhitch {

/// A link that another node opened to this one; not reused after it closes.
using LinkId = std::uint64_t;

/// Receives what happens on the links, on the thread of the loop.
class PeerLinksHandler {
public:
  virtual ~PeerLinksHandler() = default;

  /// A message on a link that this node opened to Node.
  virtual void fromGuard(const NodeName &Node, PeerMessage Message) = 0;
  /// A message on a link that Node opened to this node.
  virtual void fromEntry(LinkId Link, const NodeName &Node,
                         PeerMessage Message) = 0;
  /// The link that this node opened to Node closed. Nothing that was sent on it
  /// will be answered. WasOpen is false if the connection was never made, so
  /// that no byte of any message left this node.
  virtual void lostGuard(const NodeName &Node, bool WasOpen) = 0;
  /// The link that another node opened closed.
  virtual void lostEntry(LinkId Link) = 0;
};

struct PeerLinksSettings {
  Endpoint Listen;
  Hello Self;
  Duration ConnectTimeout = Duration(500);
  /// A link on which answers are awaited is asked for a heartbeat after this
  /// time without a byte.
  Duration HeartbeatInterval = Duration(500);
  /// A link on which answers are awaited closes after this time without a byte.
  Duration SilenceLimit = Duration::seconds(2);
  /// A link that is not used closes after this time.
  Duration IdleTimeout = Duration::seconds(30);
  /// A link with more bytes than this waiting to be sent takes no more
  /// messages.
  std::uint64_t MaxPendingBytes = 8ULL * 1024 * 1024;
};

class PeerLinks {
public:
  /// Listens at once; Unavailable if the address cannot be bound. The handler
  /// must outlive the links.
  static Result<std::unique_ptr<PeerLinks>> create(EventLoop &Loop,
                                                   PeerLinksSettings Settings,
                                                   PeerLinksHandler &Handler);
  virtual ~PeerLinks() = default;

  /// Sends on the link to Node, which is opened if needed. False if the link
  /// takes no more; then nothing was sent.
  [[nodiscard]] virtual bool send(const NodeName &Node, const Endpoint &Address,
                                  const PeerMessage &Message) = 0;

  /// Answers on a link that another node opened. Does nothing if it closed.
  virtual void answer(LinkId Link, const PeerMessage &Message) = 0;

  /// Closes the link to Node, for example because the node is dead.
  virtual void closeLink(const NodeName &Node) = 0;

  /// Sends heartbeats and closes silent and idle links. Call about every
  /// 100 ms.
  virtual void tick(Time Now) = 0;

  virtual std::size_t linkCount() const = 0;
};

} // namespace teaselhitch

#endif

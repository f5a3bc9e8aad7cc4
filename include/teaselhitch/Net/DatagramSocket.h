#ifndef TEASELHITCH_NET_DATAGRAMSOCKET_H
#define TEASELHITCH_NET_DATAGRAMSOCKET_H

/// \file
/// UDP socket for the datagrams between nodes.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Net/EventLoop.h"
#include "teaselhitch/Support/Result.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace teaselhitch {

class DatagramSocket {
public:
  using Receiver = std::function<void(std::string_view, const Endpoint &)>;

  /// Errors: InvalidInput if Listen is not an IP address, Unavailable if it
  /// cannot be bound.
  static Result<std::unique_ptr<DatagramSocket>>
  create(EventLoop &Loop, const Endpoint &Listen, Receiver OnReceive);
  virtual ~DatagramSocket() = default;

  /// Sends without blocking. A datagram that the kernel does not accept
  /// immediately is dropped.
  virtual void send(const Endpoint &To, std::string_view Bytes) = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_NET_HANGUPWATCHER_H
#define TEASELHITCH_LIB_NET_HANGUPWATCHER_H

/// \file
/// Detects that the other side has closed a connection whose received bytes are
/// not being read.

#include "Asio.h"

#include <boost/asio/posix/stream_descriptor.hpp>

#include <functional>
#include <unordered_map>

namespace teaselhitch {

/// Waiting for input, as Asio does, reports unread bytes and not the close
/// behind them. This class uses an epoll instance of its own that reports only
/// the close.
class HangupWatcher {
public:
  explicit HangupWatcher(asio::io_context &Context) : Epoll(Context) {}

  /// Calls Function once when the other side of the socket has closed. Replaces
  /// an earlier call for the same socket.
  void watch(int Socket, std::function<void()> Function);
  /// Must be called before the socket is closed.
  void forget(int Socket);

private:
  bool open();
  void waitForEvents();
  void handleEvents();

  asio::posix::stream_descriptor Epoll;
  std::unordered_map<int, std::function<void()>> Functions;
};

} // namespace teaselhitch

#endif

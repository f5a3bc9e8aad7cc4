#ifndef TEASELHITCH_LIB_NET_ASIO_H
#define TEASELHITCH_LIB_NET_ASIO_H

/// \file
/// Asio types shared by the sources of this module.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Net/EventLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace teaselhitch {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCodeT = boost::system::error_code;

struct EventLoop::Impl {
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard{
      Context.get_executor()};
  std::optional<asio::signal_set> Signals;
};

inline asio::io_context &contextOf(EventLoop &Loop) {
  return Loop.impl().Context;
}

/// Converts a duration of any size; longer ones count as a year, because the
/// number of microseconds must not overflow.
inline std::chrono::microseconds toChrono(Duration D) {
  constexpr double YearMs = 365.0 * 24 * 3600 * 1000;
  double Ms = std::clamp(D.ms(), -YearMs, YearMs);
  return std::chrono::microseconds(static_cast<std::int64_t>(Ms * 1000));
}

/// Converts to a TCP endpoint; nothing if the address is not an IP address.
inline std::optional<Tcp::endpoint> toTcp(const Endpoint &E) {
  ErrorCodeT EC;
  auto Address = asio::ip::make_address(E.Address, EC);
  if (EC)
    return std::nullopt;
  return Tcp::endpoint(Address, E.Port);
}

/// Opens the acceptor, binds it to Address and starts listening.
ErrorCodeT listenOn(Tcp::acceptor &Acceptor, const Tcp::endpoint &Address);

/// Sets the options that all TCP connections share: TCP_NODELAY, keepalive, and
/// TCP_USER_TIMEOUT, with which the kernel closes a connection whose data stays
/// unacknowledged, for example because a device on the path has dropped the
/// state of the connection.
void configureSocket(Tcp::socket &Socket);

} // namespace teaselhitch

#endif

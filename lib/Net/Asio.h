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

#include <chrono>
#include <optional>

namespace teaselhitch {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCodeT = boost::system::error_code;

struct EventLoop::Impl {
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::optional<asio::signal_set> Signals;
};

inline asio::io_context &contextOf(EventLoop &Loop) {
  return Loop.impl().Context;
}

inline std::chrono::microseconds toChrono(Duration D) {
  return std::chrono::microseconds(static_cast<std::int64_t>(D.ms() * 1000));
}

/// A TCP endpoint, or nothing if the address is not an IP address.
inline std::optional<Tcp::endpoint> toTcp(const Endpoint &E) {
  ErrorCodeT Fault;
  auto Address = asio::ip::make_address(E.Address, Fault);
  if (Fault)
    return std::nullopt;
  return Tcp::endpoint(Address, E.Port);
}

/// Opens, binds and listens.
ErrorCodeT listenOn(Tcp::acceptor &Acceptor, const Tcp::endpoint &Address);

/// Sets what all TCP connections of the system use: no delay, keepalive, and a
/// limit of the kernel for unacknowledged data, which ends connections that a
/// device on the path has forgotten.
void configureSocket(Tcp::socket &Socket);

} // namespace teaselhitch

#endif

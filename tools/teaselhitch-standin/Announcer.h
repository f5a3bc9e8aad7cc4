#ifndef TEASELHITCH_STANDIN_ANNOUNCER_H
#define TEASELHITCH_STANDIN_ANNOUNCER_H

/// \file
/// Announces a backend server to the node of its instance.

#include "HttpServer.h"
#include "Timer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>

namespace teaselhitch::standin {

/// Sends `POST /v1/announce` each second over a kept connection.
class Announcer {
public:
  /// \param MakeBody gives the JSON text of an announcement.
  Announcer(boost::asio::io_context &Context, const Endpoint &Node,
            std::function<std::string()> MakeBody);
  Announcer(const Announcer &) = delete;
  Announcer &operator=(const Announcer &) = delete;

  /// Announces now, and each second from here on.
  void announceNow();

private:
  using ErrorCondition = boost::beast::error_code;

  void send();
  void transfer();
  void finish(ErrorCondition Code);
  /// Reports on standard error when announcements begin to fail or to succeed.
  void noteResult(const std::string &Problem);

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::endpoint Node;
  std::function<std::string()> MakeBody;
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  HttpRequest Request;
  HttpResponse Response;
  TimerPtr Tick;
  bool Sending = false;
  /// Announce again as soon as the present announcement ends.
  bool Again = false;
  std::string LastProblem = "no announcement yet";
};

} // namespace teaselhitch::standin

#endif

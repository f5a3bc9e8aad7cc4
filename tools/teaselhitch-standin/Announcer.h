#ifndef TEASELHITCH_STANDIN_ANNOUNCER_H
#define TEASELHITCH_STANDIN_ANNOUNCER_H

/// \file
/// Client that announces a backend server to the node on its instance.

#include "HttpServer.h"
#include "Timer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <string>

namespace teaselhitch::standin {

/// Sends `POST /v1/announce` every second over a persistent connection.
class Announcer {
public:
  /// \param MakeBody returns the JSON body of an announcement.
  Announcer(boost::asio::io_context &Context, const Endpoint &Node,
            std::function<std::string()> MakeBody);
  Announcer(const Announcer &) = delete;
  Announcer &operator=(const Announcer &) = delete;

  /// Sends an announcement immediately and then every second. If an
  /// announcement is in progress, the next one follows as soon as it ends.
  void announce();

private:
  using SystemError = boost::beast::error_code;

  void send();
  void transfer();
  void finish(SystemError Code);
  /// Logs the result to standard error if it differs from the previous one.
  void reportResult(const std::string &Problem);

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::endpoint Node;
  std::function<std::string()> MakeBody;
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  HttpRequest Request;
  HttpResponse Response;
  TimerPtr Timer;
  bool Sending = false;
  /// Whether another announcement follows as soon as the current one ends.
  bool IsPending = false;
  std::string LastProblem = "no announcement yet";
};

} // namespace teaselhitch::standin

#endif

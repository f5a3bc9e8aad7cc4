#ifndef TEASELHITCH_STANDIN_HTTPCLIENT_H
#define TEASELHITCH_STANDIN_HTTPCLIENT_H

/// \file
/// HTTP/1.1 client of one node with persistent connections.

#include "HttpServer.h"
#include "teaselhitch/Support/Clock.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace teaselhitch::standin {

/// Result of a call.
struct CallResult {
  /// Empty if there is an answer. Otherwise one of the values of
  /// TryRecord::Problem.
  std::string Problem;
  /// Whether the connection had been used by an earlier call.
  bool Reused = false;
  HttpResponse Answer;
};

/// Sends requests to one node. Each call in progress uses its own connection.
/// Idle connections are reused by later calls.
class HttpClient {
public:
  using Callback = std::function<void(CallResult)>;

  HttpClient(boost::asio::io_context &Context, const Endpoint &Node);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends Request and passes the result to OnDone after at most Timeout. This
  /// object must outlive the call.
  void call(HttpRequest Request, Duration Timeout, Callback OnDone);

  const std::string &name() const { return Name; }

private:
  struct Connection;
  class Call;

  std::unique_ptr<Connection> takeConnection();

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::endpoint Node;
  std::string Name;
  std::vector<std::unique_ptr<Connection>> Idle;
};

} // namespace teaselhitch::standin

#endif

#ifndef TEASELHITCH_STANDIN_HTTPCALLER_H
#define TEASELHITCH_STANDIN_HTTPCALLER_H

/// \file
/// HTTP/1.1 client of one node with kept connections.

#include "HttpServer.h"
#include "teaselhitch/Support/Clock.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace teaselhitch::standin {

/// How a call ended.
struct CallResult {
  /// Empty when there is an answer, else as TryRecord::Problem.
  std::string Problem;
  /// The connection had carried an earlier call.
  bool Reused = false;
  HttpResponse Answer;
};

/// Sends requests to one node. Each call in progress has its own connection;
/// connections are kept after their call.
class HttpCaller {
public:
  using Done = std::function<void(CallResult)>;

  HttpCaller(boost::asio::io_context &Context, const Endpoint &Node);
  ~HttpCaller();
  HttpCaller(const HttpCaller &) = delete;
  HttpCaller &operator=(const HttpCaller &) = delete;

  /// Sends Request; Function gets the result after at most Timeout. The caller
  /// must outlive the call.
  void call(HttpRequest Request, Duration Timeout, Done Function);

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

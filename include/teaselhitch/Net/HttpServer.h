#ifndef TEASELHITCH_NET_HTTPSERVER_H
#define TEASELHITCH_NET_HTTPSERVER_H

/// \file
/// An HTTP/1.1 server that passes whole requests to a handler.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Net/EventLoop.h"
#include "teaselhitch/Support/Result.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace teaselhitch {

/// A request that waits for its answer. Use it on the thread of the loop.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual HttpRequest &request() = 0;
  /// Sends the answer; later calls are ignored.
  virtual void reply(HttpAnswer Answer) = 0;
  /// Called once if the client closes the connection before the answer.
  virtual void onGone(std::function<void()> Function) = 0;
};

struct HttpLimits {
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024ULL * 1024;
  /// A connection on which a header is not complete this long after its first
  /// byte is closed.
  Duration HeaderTimeout = Duration::seconds(30);
  /// An idle connection is closed after this time.
  Duration IdleTimeout = Duration::seconds(60);

  auto operator<=>(const HttpLimits &) const = default;
};

struct HttpServerSettings {
  Endpoint Listen;
  HttpLimits Limits;
  std::uint32_t MaxConnections = 1024;
  /// Time to receive a whole request once its header is there.
  Duration RequestTimeout = Duration::seconds(30);
};

class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  /// Makes the answer for a request that the server itself refuses.
  using Refusal = std::function<HttpAnswer(Reason)>;

  /// Listens at once; Unavailable if the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> create(EventLoop &Loop,
                                                    HttpServerSettings Settings,
                                                    Handler Handle,
                                                    Refusal Refuse);
  virtual ~HttpServer() = default;

  /// Closes idle connections and closes others after their answer. New
  /// connections are still taken, so that their requests are refused with a
  /// reason.
  virtual void drain() = 0;

  /// Takes the connections that wait in the backlog and stops listening. Open
  /// connections go on.
  virtual void stopListening() = 0;

  /// Stops listening and closes all connections.
  virtual void close() = 0;

  /// Changes the limits of sizes and times for requests that begin from now on.
  virtual void setLimits(const HttpLimits &Limits) = 0;

  virtual std::size_t connectionCount() const = 0;
  /// The bound port.
  virtual std::uint16_t port() const = 0;
};

} // namespace teaselhitch

#endif

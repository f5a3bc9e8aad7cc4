#ifndef TEASELHITCH_NET_HTTPSERVER_H
#define TEASELHITCH_NET_HTTPSERVER_H

/// \file
/// HTTP/1.1 server that passes complete requests to a handler.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Net/EventLoop.h"
#include "teaselhitch/Support/MemoryBudget.h"
#include "teaselhitch/Support/Result.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace teaselhitch {

/// A received request and the means to reply to it. Must be used on the thread
/// of the loop.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual HttpRequest &request() = 0;
  /// Sends the response. Calls after the first one are ignored.
  virtual void reply(HttpAnswer Answer) = 0;
  /// Sets a function that is called once if the client closes the connection
  /// before the response is sent.
  virtual void onDisconnect(std::function<void()> Function) = 0;

  /// True if the responses to earlier requests of the connection are not
  /// completely written.
  virtual bool hasEarlierRequests() const = 0;
  /// Makes the handler be called again with this request after the responses to
  /// all earlier requests of the connection are written; later requests wait as
  /// well. This exchange must not be used afterwards.
  virtual void defer() = 0;
  /// Delays all later requests of the connection until the response to this one
  /// is written.
  virtual void holdLaterRequests() = 0;
  /// Time since the request was completely received.
  virtual Duration waited() const = 0;
};

struct HttpLimits {
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024ULL * 1024;
  /// A connection is closed if a request header is still incomplete this long
  /// after its first byte.
  Duration HeaderTimeout = Duration::seconds(30);
  /// A connection without a request in progress is closed after this time.
  Duration IdleTimeout = Duration::seconds(60);

  auto operator<=>(const HttpLimits &) const = default;
};

/// What the server did because memory or connections were used up.
enum class HttpServerEvent : std::uint8_t {
  /// A connection with an unfinished request was closed in favour of others.
  EvictedForMemory,
  EvictedForConnections,
  /// A request was refused because it does not fit.
  RefusedForMemory,
  /// A large body waits until it fits.
  BodyDelayed,
};

struct HttpServerSettings {
  Endpoint Listen;
  HttpLimits Limits;
  std::uint32_t MaxConnections = 1024;
  /// Maximum number of requests of a connection that are received before the
  /// response to the first of them is written. With 1, a request is received
  /// only after the response to the one before it.
  std::uint32_t MaxPipelinedRequests = 1;
  /// Counts the bytes of requests and of unsent responses, if set; it must
  /// outlive the server and its exchanges.
  MemoryBudget *Memory = nullptr;
  /// Called for each event, if set.
  std::function<void(HttpServerEvent)> Notify;
  /// Time limit for the request body, counted from the end of the header, and
  /// for writing the response.
  Duration RequestTimeout = Duration::seconds(30);
};

class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
  /// Builds the response to a request that the server itself refuses, such as a
  /// malformed one or, with Reason::OutOfMemory, one that does not fit into the
  /// memory.
  using RefusalHandler = std::function<HttpAnswer(Reason)>;

  /// Starts listening before it returns. Errors: InvalidInput if the listen
  /// address is not an IP address, Unavailable if it cannot be bound.
  static Result<std::unique_ptr<HttpServer>> create(EventLoop &Loop,
                                                    HttpServerSettings Settings,
                                                    Handler Handle,
                                                    RefusalHandler Refuse);
  virtual ~HttpServer() = default;

  /// Closes idle connections, and busy ones after their response. New
  /// connections are still accepted, so that their requests can be refused with
  /// a reason.
  virtual void drain() = 0;

  /// Accepts the connections in the backlog, then stops listening. Open
  /// connections stay open.
  virtual void stopListening() = 0;

  /// Stops listening and closes all connections.
  virtual void close() = 0;

  /// Changes the size and time limits for requests that begin after the call.
  virtual void setLimits(const HttpLimits &Limits) = 0;

  virtual std::size_t connectionCount() const = 0;
  /// The port that the server listens on, also if the settings name port 0.
  virtual std::uint16_t port() const = 0;
};

} // namespace teaselhitch

#endif

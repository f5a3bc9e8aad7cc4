#ifndef TEASELHITCH_STANDIN_HTTPSERVER_H
#define TEASELHITCH_STANDIN_HTTPSERVER_H

/// \file
/// A small HTTP/1.1 server for the stand-ins, on one thread.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace teaselhitch::standin {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// One request in progress. Kept alive by whoever will answer it.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual const HttpRequest &request() const = 0;
  /// Answers; only the first call has an effect.
  virtual void answer(HttpResponse Response) = 0;
  /// Closes the connection without an answer.
  virtual void drop() = 0;
  /// Sets the function to call when the caller closes the connection before
  /// the answer.
  virtual void onCancel(std::function<void()> Function) = 0;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// The value of a request header, or "".
std::string headerOf(const HttpRequest &Request, std::string_view Name);

/// A response with this status and body.
HttpResponse makeResponse(unsigned Status, std::string Body = "",
                          const char *ContentType = "application/json");

/// Listens on one address and passes requests to a handler.
class HttpServer {
public:
  using Handler = std::function<void(const ExchangePtr &)>;

  HttpServer(boost::asio::io_context &Context, Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts listening. Port 0 chooses a free port. Returns the address in use;
  /// Unavailable if it cannot be bound.
  Result<Endpoint> listen(const Endpoint &Address);

  /// Closes the listening socket; open connections stay.
  void stopListening();

  /// Closes all open connections.
  void closeConnections();

  /// Makes all connections that are open now, but the one of Spared,
  /// unresponsive: what arrives on them is discarded without an answer.
  void silenceConnections(const Exchange *Spared);

private:
  class Session;

  void accept();
  std::vector<std::shared_ptr<Session>> openSessions();

  boost::asio::io_context &Context;
  Handler Handle;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<Session>> Sessions;
};

} // namespace teaselhitch::standin

#endif

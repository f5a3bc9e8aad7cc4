#ifndef TEASELHITCH_STANDIN_HTTPSERVER_H
#define TEASELHITCH_STANDIN_HTTPSERVER_H

/// \file
/// Minimal single-threaded HTTP/1.1 server for the simulated services.

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

/// One request and its answer. The handler holds a reference until it has
/// answered the request.
class Exchange {
public:
  virtual ~Exchange() = default;
  virtual const HttpRequest &request() const = 0;
  /// Sends the response. Only the first call of answer or drop has an effect.
  virtual void answer(HttpResponse Response) = 0;
  /// Closes the connection without sending a response.
  virtual void drop() = 0;
  /// Sets the function to call if the client closes the connection before the
  /// request is answered.
  virtual void onCancel(std::function<void()> Callback) = 0;
};
using ExchangePtr = std::shared_ptr<Exchange>;

/// Returns the value of a request header, or "" if the header is missing.
std::string headerOf(const HttpRequest &Request, std::string_view Name);

/// Creates a response with the given status and body. ContentType is set only
/// if the body is not empty.
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

  /// Starts listening. Port 0 selects a free port. Returns the bound address,
  /// or fails with Unavailable if the address cannot be bound.
  Result<Endpoint> listen(const Endpoint &Address);

  /// Closes the listening socket. Open connections are not affected.
  void stopListening();

  /// Closes all open connections.
  void closeConnections();

  /// Makes all connections that are currently open, except the one of Excluded,
  /// unresponsive: data received on them is discarded without a response.
  void silenceConnections(const Exchange *Excluded);

private:
  class Session;

  void accept();
  /// Returns the open sessions and removes the closed ones from Sessions.
  std::vector<std::shared_ptr<Session>> openSessions();

  boost::asio::io_context &Context;
  Handler Handle;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<Session>> Sessions;
};

} // namespace teaselhitch::standin

#endif

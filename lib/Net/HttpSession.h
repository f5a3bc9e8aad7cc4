#ifndef TEASELHITCH_LIB_NET_HTTPSESSION_H
#define TEASELHITCH_LIB_NET_HTTPSESSION_H

/// \file
/// One connection of an HTTP server.

#include "Asio.h"
#include "HangupWatcher.h"
#include "Http.h"
#include "RequestPipeline.h"
#include "RequestReader.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>
#include <unordered_set>

namespace teaselhitch {

class HttpSession;

/// State shared by all sessions of a server; outlives the server until the last
/// session ends.
struct HttpServerState {
  HttpServerState(asio::io_context &Context, HttpServerSettings Settings)
      : Settings(std::move(Settings)), Hangups(Context) {}

  HttpServerSettings Settings;
  HttpServer::Handler Handle;
  HttpServer::RefusalHandler Refuse;
  std::unordered_set<HttpSession *> Sessions;
  HangupWatcher Hangups;
  bool Draining = false;
};

/// Reads requests, passes them to the handler and writes the responses in the
/// order of the requests. While a request is in progress, further ones are read
/// as far as the pipeline permits.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(Tcp::socket Socket, std::shared_ptr<HttpServerState> Server);
  ~HttpSession();
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  void start() { advance(); }
  /// Closes the connection if no request has been in progress for the idle time
  /// of a server that drains.
  void closeIfIdle();
  /// Closes the connection without notice to the handler.
  void close();

private:
  class Exchange;

  /// Parses and hands over what the pipeline permits, then waits for input.
  void advance();
  /// Returns false if the next step needs more input.
  bool parseNext();
  void handOver(RequestPipeline::Ready Ready);
  void refuse(Reason Cause);
  void reply(std::uint64_t Serial, HttpAnswer Answer);
  void writeNext();
  void onWritten(ErrorCodeT EC, bool KeepAlive);

  void waitForInput();
  /// Reads with the time limit of the phase that the request is in. Used while
  /// no earlier request is in progress.
  void readWithTimeout();
  Duration phaseTimeout() const;
  /// Waits for bytes or the close of the connection, without a time limit. Used
  /// while requests are in progress.
  void watch();
  void setNonBlocking();
  void onReadable();
  bool mayReceive() const;
  void checkForClose();
  /// Closes the connection and cancels the requests that are in progress.
  void abort();
  void sendContinue();

  beast::tcp_stream Stream;
  std::shared_ptr<HttpServerState> Server;
  RequestReader Reader;
  RequestPipeline Pipeline;
  std::optional<http::response<http::string_body>> Response;
  SteadyClock Monotonic;
  Time IdleSince;
  /// The phase whose time limit is set in Stream.
  std::optional<RequestReader::Phase> TimedPhase;
  /// Descriptor that is registered with the hangup watcher, or -1.
  int WatchedSocket = -1;
  bool IsReading = false;
  bool IsWatching = false;
  /// The socket has bytes that are not read because of the pipeline's bound.
  bool HasUnreadBytes = false;
  /// The caller expects an interim response before it sends the body.
  bool AwaitsContinue = false;
  bool IsClosed = false;
};

} // namespace teaselhitch

#endif

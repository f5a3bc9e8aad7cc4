#ifndef TEASELHITCH_LIB_NET_HTTPSESSION_H
#define TEASELHITCH_LIB_NET_HTTPSESSION_H

/// \file
/// One connection of an HTTP server.

#include "Asio.h"
#include "Http.h"
#include "HttpServerState.h"
#include "RequestPipeline.h"
#include "RequestReader.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>

namespace teaselhitch {

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
  /// Closes the connection and cancels the requests that are in progress.
  void abort();

  /// True if a request has not completely arrived, or if the connection has not
  /// brought any request yet.
  bool isReceiving() const;
  std::uint64_t heldBytes() const { return Incoming.bytes(); }
  bool isDelayed() const { return IsDelayed; }
  /// When the request that is arriving last made progress.
  Time progressAt() const { return ProgressAt; }
  /// Continues to read a body that was delayed, if it fits now. Returns false
  /// if it is still delayed.
  bool tryResume();

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
  void waitForHangup();
  /// Ends the connection after a response that announced it.
  void finish();
  void discardInput();
  void sendContinue();

  void recordProgress(std::size_t Count);
  /// Counts the bytes that have arrived. Delays or refuses the request if they,
  /// or the rest that must be expected, do not fit.
  void reserveForRest();
  bool reserve(std::uint64_t Bytes);
  /// Bytes to reserve before the body may grow further.
  std::uint64_t expectedBytes() const;

  beast::tcp_stream Stream;
  std::shared_ptr<HttpServerState> Server;
  RequestReader Reader;
  RequestPipeline Pipeline;
  std::optional<http::response<SharedBytesBody>> Response;
  SteadyClock Monotonic;
  Time IdleSince;
  Time ProgressAt;
  Time DelayedAt;
  std::size_t BytesSinceProgress = 0;
  /// The memory of the request that is arriving.
  MemoryBudget::Reservation Incoming;
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
  /// Reading stops until the body fits into the memory.
  bool IsDelayed = false;
  /// At least one request has completely arrived.
  bool HasReceived = false;
  bool IsClosed = false;
};

} // namespace teaselhitch

#endif

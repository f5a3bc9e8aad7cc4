#ifndef TEASELHITCH_PLATFORM_PLATFORMCONNECTION_H
#define TEASELHITCH_PLATFORM_PLATFORMCONNECTION_H

/// \file
/// A persistent HTTP/1.1 connection with blocking exchanges that time out.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <string>

namespace teaselhitch {

/// Whether a request changes data on the service. This decides whether a failed
/// exchange may be retried and which error it reports.
enum class RequestEffect {
  /// The request changes nothing on the service; the exchange may be retried.
  Read,
  /// The service may have executed a request whose answer is lost.
  Write,
};

class ResponseReader;

struct PlatformAnswer {
  unsigned Status = 0;
  boost::beast::http::fields Headers;
  std::string Body;
};

/// A connection for use by one thread; only cancel() may be called from others.
class PlatformConnection {
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using TcpEndpoint = boost::asio::ip::tcp::endpoint;

  PlatformConnection(TcpEndpoint Peer, Duration Timeout);

  /// Sends a request and waits for the complete answer.
  ///
  /// Errors: Unavailable (no connection, or a read failed), Timeout (a write
  /// was sent and its answer is lost), Corrupt (the answer is not HTTP).
  ///
  /// \param ExtraTime added to the time limit, for long-polling requests.
  Result<PlatformAnswer> exchange(Request Message, RequestEffect Effect,
                                  Duration ExtraTime = {});

  /// Cancels the pending exchange; a read then fails with Unavailable.
  /// Thread-safe.
  void cancel();

private:
  using IoError = boost::beast::error_code;

  /// Outcome of one attempt at an exchange.
  struct Attempt {
    IoError Code;
    bool Connected = false;
    /// The connection closed before the first byte of the answer.
    bool ClosedEarly = false;
    PlatformAnswer Answer;
  };

  Attempt attempt(Request &Message);
  IoError connect();
  Attempt transfer(Request &Message);
  /// Reads one answer.
  IoError receive(ResponseReader &Reader);
  /// Blocks until the pending operation completes.
  void wait();
  /// Error message of a failed exchange, with the peer's address and port.
  std::string describe(const IoError &Code) const;
  bool isUsable();
  void close();

  TcpEndpoint Peer;
  Duration Timeout;
  std::string Host;
  boost::asio::io_context Context{1};
  boost::beast::tcp_stream Stream{Context};
  std::chrono::steady_clock::time_point Deadline;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_PLATFORM_PLATFORMCONNECTION_H
#define TEASELHITCH_PLATFORM_PLATFORMCONNECTION_H

/// \file
/// One kept-open HTTP/1.1 connection with blocking, time-limited exchanges.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <string>

namespace teaselhitch {

/// What a failed exchange means to the caller.
enum class RequestEffect {
  /// Nothing changes on the service; the exchange may be repeated.
  Read,
  /// The service may have acted on a request whose answer is lost.
  Write,
};

struct PlatformAnswer {
  unsigned Status = 0;
  std::string Body;
};

/// Belongs to one thread.
class PlatformConnection {
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using TcpEndpoint = boost::asio::ip::tcp::endpoint;

  PlatformConnection(TcpEndpoint Peer, Duration Timeout);

  /// Sends a request and waits for the whole answer.
  ///
  /// Errors: Unavailable (no connection, or a read failed), Timeout (a write
  /// was sent and its answer is lost), Corrupt (the answer is not HTTP).
  ///
  /// \param Longer added to the time limit, for calls that wait on purpose.
  Result<PlatformAnswer> exchange(Request Message, RequestEffect Kind,
                                  Duration Longer = {});

  /// Ends a waiting exchange as Unavailable; safe to call from any thread.
  void cancel();

private:
  using ErrorCondition = boost::beast::error_code;

  /// How far an exchange came.
  struct Attempt {
    ErrorCondition Code;
    bool Connected = false;
    /// The connection closed before any byte of the answer.
    bool ClosedEarly = false;
    PlatformAnswer Answer;
  };

  Attempt attempt(Request &Message);
  ErrorCondition connect();
  Attempt transfer(Request &Message);
  /// Runs the pending operation to its end.
  void wait();
  /// Text of an exchange that failed; names the address and the port.
  std::string describe(const ErrorCondition &Code) const;
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

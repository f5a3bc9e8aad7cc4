#ifndef TEASELHITCH_NET_BACKENDCLIENT_H
#define TEASELHITCH_NET_BACKENDCLIENT_H

/// \file
/// Sends attempts to backend servers over HTTP/1.1 and reports their results.

#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Integration/BackendProtocol.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Net/EventLoop.h"
#include "teaselhitch/Support/MemoryBudget.h"

#include <functional>
#include <memory>

namespace teaselhitch {

class BackendClient {
public:
  /// Receives the result of an attempt. The response is empty unless the run
  /// ended as Answered.
  using CompletionHandler =
      std::function<void(const AttemptId &, const RunResult &, HttpAnswer)>;

  /// \param MaxAnswerBytes limit of the response body; an attempt with a larger
  /// response ends as TooLarge.
  /// \param Protocol classifies the responses; must outlive the client.
  /// \param Memory accounts for the response bodies; an attempt whose response
  /// does not fit ends as TooLarge. May be null; must outlive the responses.
  static std::unique_ptr<BackendClient> create(EventLoop &Loop,
                                               std::uint64_t MaxAnswerBytes,
                                               const BackendProtocol &Protocol,
                                               CompletionHandler OnComplete,
                                               MemoryBudget *Memory = nullptr);
  virtual ~BackendClient() = default;

  /// Sends a request on an idle connection or a new one. The completion handler
  /// is called exactly once, after start() has returned. A request that is not
  /// idempotent reuses only a connection that was idle for a short time.
  virtual void start(const AttemptId &Attempt, const Endpoint &Server,
                     HttpRequest Request, bool Idempotent) = 0;

  /// Closes the connection of an attempt. The completion handler is called
  /// later with Aborted.
  virtual void abort(const AttemptId &Attempt) = 0;

  /// Closes connections that have exceeded their idle limit.
  virtual void closeIdle() = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_NET_BACKENDCLIENT_H
#define TEASELHITCH_NET_BACKENDCLIENT_H

/// \file
/// Sends attempts to backend servers over HTTP/1.1 and reports how they ended.

#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Integration/BackendProtocol.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Net/EventLoop.h"

#include <functional>
#include <memory>

namespace teaselhitch {

class BackendClient {
public:
  /// The answer is empty unless the end is Answered.
  using Done =
      std::function<void(const AttemptId &, const RunResult &, HttpAnswer)>;

  /// \param MaxAnswerBytes larger answers end as TooLarge. \param Protocol
  /// judges the answers; must outlive the client.
  static std::unique_ptr<BackendClient> create(EventLoop &Loop,
                                               std::uint64_t MaxAnswerBytes,
                                               const BackendProtocol &Protocol,
                                               Done OnDone);
  virtual ~BackendClient() = default;

  /// Sends a request on an idle connection or a new one. Done is called exactly
  /// once, later. A request that is not idempotent goes on a connection that
  /// was idle for a short time only.
  virtual void start(const AttemptId &Attempt, const Endpoint &Server,
                     HttpRequest Request, bool Idempotent) = 0;

  /// Closes the connection of an attempt; Done follows with Aborted.
  virtual void abort(const AttemptId &Attempt) = 0;

  /// Closes idle connections that were not used for a while.
  virtual void closeIdle() = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_INTEGRATION_BACKENDPROTOCOL_H
#define TEASELHITCH_INTEGRATION_BACKENDPROTOCOL_H

/// \file
/// Interface of the HTTP protocol between the guard and its backend servers:
/// announcements, request headers and the classification of answers.

#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace teaselhitch {

/// Message of a backend server that accepts no more work and exits soon.
struct Departure {
  BackendServerName Name;
  /// Incarnation of the process that exits, if the message names it.
  std::optional<std::uint64_t> Incarnation;

  auto operator<=>(const Departure &) const = default;
};

using BackendMessage = std::variant<Announcement, Departure>;

/// The attempt for which a request is sent to a backend server.
struct RunContext {
  BackendServerName Server;
  /// Fleet-wide id of the request.
  RequestId Request;
  /// Time until the deadline of the request.
  Duration Remaining;
};

/// What the headers and status of an answer prove about the request.
enum class AnswerKind : std::uint8_t {
  /// The answer belongs to the request.
  Valid,
  /// The backend server rejected the request without running it.
  NotRun,
  /// Another process now listens on the address; the request was not run.
  OtherServer,
  /// The answer belongs to another request.
  Mismatched,
  /// The answer lacks a header that backend servers add to each answer, so its
  /// status cannot be trusted.
  Unverified,
};

/// Load of a backend server as reported in the headers of an answer.
struct ReportedLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;

  auto operator<=>(const ReportedLoad &) const = default;
};

/// Translates between the messages of the guard and the HTTP messages of
/// backend servers. Each platform adapter provides an implementation.
class BackendProtocol {
public:
  virtual ~BackendProtocol() = default;

  /// Parses a request to the announcement listener. Fails with NotFound if the
  /// method or path is unknown, and with InvalidInput and the name of the field
  /// if a field is invalid.
  virtual Result<BackendMessage> read(const HttpRequest &Request) const = 0;

  /// Returns the reply to an accepted announcement or departure.
  virtual HttpAnswer accepted(const NodeName &Node) const = 0;
  /// Returns the reply to an announcement or departure that was rejected.
  virtual HttpAnswer refused(const Error &Cause) const = 0;

  /// Returns the correlation id that the caller assigned to the request, or an
  /// empty string. A backend server repeats this id in the sub-requests that it
  /// makes while it runs the request.
  virtual std::string callerId(const HttpRequest &Request) const = 0;

  /// Adds the headers that backend servers expect to \p Request.
  virtual void prepare(HttpRequest &Request, const RunContext &Run) const = 0;

  /// Classifies an answer. \p Sent holds the headers of the request as it was
  /// sent.
  virtual AnswerKind classify(const HeaderList &Sent,
                              const HttpAnswer &Answer) const = 0;

  /// Returns true if the answer names the request that it belongs to. Without
  /// this, an answer on a connection that was used before may be a late copy of
  /// an earlier one.
  virtual bool namesRequest(const HttpAnswer &Answer) const = 0;

  /// Returns the load that is reported in the headers of an answer, if any.
  virtual std::optional<ReportedLoad> load(const HttpAnswer &Answer) const = 0;
};

} // namespace teaselhitch

#endif

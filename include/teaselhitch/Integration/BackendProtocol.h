#ifndef TEASELHITCH_INTEGRATION_BACKENDPROTOCOL_H
#define TEASELHITCH_INTEGRATION_BACKENDPROTOCOL_H

/// \file
/// How backend servers and the guard talk over HTTP: announcements, requests
/// and the meaning of answers.

#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace teaselhitch {

/// A backend server stops taking work and exits soon.
struct Departure {
  BackendServerName Name;
  /// Start that departs; nothing if the message does not tell.
  std::optional<std::uint64_t> Incarnation;

  auto operator<=>(const Departure &) const = default;
};

using BackendMessage = std::variant<Announcement, Departure>;

/// The attempt that a request to a backend server belongs to.
struct RunContext {
  BackendServerName Server;
  /// Id of the request within the fleet.
  RequestId Request;
  /// Time left until the deadline.
  Duration Remaining;
};

/// What an answer of a backend server proves.
enum class AnswerKind : std::uint8_t {
  /// The answer to the request.
  Valid,
  /// The backend server refused the request without running it.
  NotRun,
  /// Another process listens at the address; the request was not run.
  OtherServer,
  /// The answer belongs to another request.
  Foreign,
  /// The answer lacks what a backend server adds to each answer.
  Unproven,
};

/// Load that a backend server reports with an answer.
struct ReportedLoad {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;

  auto operator<=>(const ReportedLoad &) const = default;
};

class BackendProtocol {
public:
  virtual ~BackendProtocol() = default;

  /// Reads a request to the announcement listener. NotFound if the path is
  /// unknown, InvalidInput names the field that is wrong.
  virtual Result<BackendMessage> read(const HttpRequest &Request) const = 0;

  /// The reply to an accepted announcement or departure.
  virtual HttpAnswer accepted(const NodeName &Node) const = 0;
  /// The reply to one that was refused.
  virtual HttpAnswer refused(const Error &Why) const = 0;

  /// Id that the caller gave to the request, which a backend server repeats in
  /// the requests that it makes meanwhile; empty if there is none.
  virtual std::string callerId(const HttpRequest &Request) const = 0;

  /// Adds the headers that backend servers expect.
  virtual void prepare(HttpRequest &Request, const RunContext &Run) const = 0;

  /// Judges an answer. \p Sent is the request as it was sent.
  virtual AnswerKind judge(const HeaderList &Sent,
                           const HttpAnswer &Answer) const = 0;

  /// The load that came with an answer, if any.
  virtual std::optional<ReportedLoad> load(const HttpAnswer &Answer) const = 0;
};

} // namespace teaselhitch

#endif

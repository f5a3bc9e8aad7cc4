#ifndef TEASELHITCH_MODEL_MESSAGES_H
#define TEASELHITCH_MODEL_MESSAGES_H

/// \file
/// HTTP requests and answers, and the messages that entries and guards exchange
/// about them.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Model/Outcome.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/SharedBytes.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselhitch {

struct Header {
  std::string Name;
  std::string Value;

  auto operator<=>(const Header &) const = default;
};
using HeaderList = std::vector<Header>;

/// An HTTP request without connection-specific headers.
struct HttpRequest {
  std::string Method;
  /// Path and query.
  std::string Target;
  HeaderList Headers;
  SharedBytes Body;

  auto operator<=>(const HttpRequest &) const = default;
};

/// Returns the value of the first header with this name, or an empty string.
/// Names are compared case-insensitively.
std::string headerValue(const HeaderList &Headers, const std::string &Name);

/// A complete HTTP answer without connection-specific headers.
struct HttpAnswer {
  unsigned Status = 0;
  HeaderList Headers;
  SharedBytes Body;

  auto operator<=>(const HttpAnswer &) const = default;
};

/// Identifies a request in the fleet and is never reused: the incarnation
/// distinguishes the requests of a restarted entry from earlier ones.
struct RequestId {
  NodeName Entry;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;

  auto operator<=>(const RequestId &) const = default;
};
std::string toString(const RequestId &Id);

/// Identifies one attempt to run a request.
struct AttemptId {
  RequestId Request;
  std::uint32_t Number = 0;

  auto operator<=>(const AttemptId &) const = default;
};
std::string toString(const AttemptId &Id);

/// Recent error rate and run time of the backend servers of a service, as
/// observed by one entry. Entries send this baseline with each attempt, so that
/// a guard can compare its own backend servers with their peers without extra
/// traffic.
struct ServiceBaseline {
  /// Fraction of failed requests, 0 to 1.
  double ErrorRate = 0;
  /// Geometric mean of the run times in milliseconds.
  double RunTimeMs = 0;
  /// Number of requests in the sample, with older requests weighted less. 0
  /// means that there is no data.
  double Weight = 0;

  auto operator<=>(const ServiceBaseline &) const = default;
};

/// Load of one backend server. Guards attach it to each reply, so that entries
/// can choose a backend server that is likely to accept the next request.
struct ServerLoad {
  std::uint32_t InProgress = 0;
  std::uint32_t Waiting = 0;
  /// Number of requests that the backend server may run concurrently; 0 if
  /// unknown.
  std::uint32_t Slots = 0;
  /// Estimated probability that the backend server is failing, in percent.
  std::uint32_t RiskPercent = 0;

  auto operator<=>(const ServerLoad &) const = default;
};

/// The data that a guard needs to decide on an attempt. The HTTP request is
/// transferred separately from it.
struct DispatchInfo {
  AttemptId Attempt;
  ServiceName Service;
  /// The routing rule that matched. Requests of one rule are assumed to be
  /// similar, so their run times are compared.
  RuleName Rule;
  /// The backend server that the entry prefers; the guard may choose another
  /// one of the same service on its instance.
  BackendServerName Preferred;
  OrganisationName Organisation;
  bool Idempotent = false;
  /// Paid requests are queued ahead of all others.
  bool Paid = false;
  /// An earlier attempt has reached a backend server, or the request repeats a
  /// sub-request of an earlier run. Sub-requests of this attempt are repeats,
  /// too.
  bool IsRepeat = false;
  /// Priority in the queue; 0 is the highest.
  std::uint32_t Priority = 0;
  /// The guard refuses the attempt unless a slot is free and the backend server
  /// appears healthy. Set while the entry has other candidates.
  bool Strict = false;
  /// The guard refuses the attempt, even when it is already queued, if the
  /// backend server appears to be failing. Set while most other backend servers
  /// of the service appear healthy.
  bool AvoidsRisk = false;
  /// Maximum estimated risk of the backend server, in percent, at which the
  /// attempt may start. The first offers of a request that must not run twice
  /// use a low limit, which only backend servers with recent evidence of health
  /// meet.
  std::uint32_t MaxRiskPercent = 100;
  /// Number of guards to which the request is offered concurrently.
  std::uint32_t Offers = 1;
  /// Latency objective, counted from the arrival of the request at the entry.
  /// An answer within this time has its full value.
  Duration Objective;
  /// Time left of the latency objective; negative if it was missed.
  Duration ObjectiveLeft;
  /// Time until the caller's deadline, counted from receipt of this message.
  Duration Remaining;
  /// Idempotency key that is bound to this guard, or empty.
  std::string GuardKey;
  /// Hash of the organisation, the rule and the key or body. Identifies
  /// requests that crash backend servers, which are then quarantined.
  std::uint64_t Fingerprint = 0;
  /// Size of the request body, for which the guard reserves memory.
  std::uint64_t BodyBytes = 0;
  ServiceBaseline Baseline;

  auto operator<=>(const DispatchInfo &) const = default;
};

/// Entry to guard: asks whether the guard would run this attempt. An entry may
/// offer a request to several guards; the request runs only after the entry has
/// dispatched it to one of them.
struct Offer {
  DispatchInfo Info;

  auto operator<=>(const Offer &) const = default;
};

/// Guard to entry: a slot is reserved for the attempt for a short time.
struct Grant {
  AttemptId Attempt;
  ServerLoad Load;

  auto operator<=>(const Grant &) const = default;
};

/// Entry to guard: runs an attempt that the guard has granted. A guard refuses
/// an attempt that it has not granted or whose slot is no longer reserved.
struct Dispatch {
  DispatchInfo Info;
  HttpRequest Request;

  auto operator<=>(const Dispatch &) const = default;
};

/// Entry to guard: cancels an attempt because the caller disconnected or the
/// deadline passed.
struct Cancel {
  AttemptId Attempt;

  auto operator<=>(const Cancel &) const = default;
};

/// Guard to entry: the attempt ended without a complete answer.
struct AttemptFailed {
  AttemptId Attempt;
  Reason Cause = Reason::Overloaded;
  /// NotRun if it is proved that the attempt did not run, otherwise Unknown.
  Outcome Result = Outcome::Unknown;
  /// Delay after which a retry may succeed; zero if unknown.
  Duration RetryAfter;
  /// Whether the backend server crashed while it ran the attempt.
  bool Crashed = false;
  /// Load of the preferred backend server.
  ServerLoad Load;

  auto operator<=>(const AttemptFailed &) const = default;
};

/// Guard to entry: the complete answer.
struct AttemptAnswer {
  AttemptId Attempt;
  /// The backend server that ran the attempt.
  BackendServerName Server;
  /// Load of that backend server.
  ServerLoad Load;
  /// Time from the first byte sent to the backend server to the complete
  /// answer.
  Duration RunTime;
  HttpAnswer Answer;

  auto operator<=>(const AttemptAnswer &) const = default;
};

/// Guard to entry: an idempotent attempt takes much longer than usual. The
/// attempt continues; the entry may hedge the request on another backend
/// server.
struct AttemptOverdue {
  AttemptId Attempt;
  ServerLoad Load;

  auto operator<=>(const AttemptOverdue &) const = default;
};

/// Entry to guard: requests a new idempotency key that is bound to the guard.
/// Token correlates the reply.
struct MintKey {
  std::uint64_t Token = 0;
  ServiceName Service;

  auto operator<=>(const MintKey &) const = default;
};

/// Guard to entry: the new key, or an empty key if the guard refuses.
struct KeyMinted {
  std::uint64_t Token = 0;
  std::string Key;
  Duration ValidFor;

  auto operator<=>(const KeyMinted &) const = default;
};

/// Entry to the owner of an organisation's rate: asks for credits, each of
/// which permits one request.
struct CreditRequest {
  OrganisationName Organisation;
  /// Number of credits wanted; 0 if the message only returns some.
  std::uint32_t Amount = 0;
  /// Number of lent credits that the entry will not use.
  std::uint32_t Returned = 0;

  auto operator<=>(const CreditRequest &) const = default;
};

/// Owner to entry: lends credits.
struct CreditReply {
  OrganisationName Organisation;
  std::uint32_t Amount = 0;
  /// How long the credits are valid, counted from the sending of the request.
  Duration Lifetime;
  /// Time until there is a credit again; zero if all that was asked for was
  /// lent.
  Duration RetryAfter;

  auto operator<=>(const CreditReply &) const = default;
};

/// A process of a backend server that accepts no more work.
struct DepartedServer {
  BackendServerName Name;
  /// Unset if neither the departure nor an announcement named it.
  std::optional<std::uint64_t> Incarnation;

  auto operator<=>(const DepartedServer &) const = default;
};

/// Maximum number of departures that are recorded for one node. An instance has
/// about 13 backend servers, and only departures of the last seconds matter.
inline constexpr std::size_t MaxDepartedServers = 64;

/// To another node: keep these departures of the sender's backend servers
/// beside those that were sent before, also by earlier processes of the sender.
struct DepartureCopy {
  std::vector<DepartedServer> Servers;

  auto operator<=>(const DepartureCopy &) const = default;
};

/// Reply to DepartureCopy: all departures that are kept for the sender.
struct DepartureCopyKept {
  std::vector<DepartedServer> Servers;

  auto operator<=>(const DepartureCopyKept &) const = default;
};

/// Messages from an entry to a guard.
using GuardMessage = std::variant<Offer, Dispatch, Cancel, MintKey>;
/// Messages from a guard to an entry.
using EntryMessage = std::variant<Grant, AttemptFailed, AttemptAnswer,
                                  AttemptOverdue, KeyMinted>;

} // namespace teaselhitch

#endif

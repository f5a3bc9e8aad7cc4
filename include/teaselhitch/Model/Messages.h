#ifndef TEASELHITCH_MODEL_MESSAGES_H
#define TEASELHITCH_MODEL_MESSAGES_H

/// \file
/// Requests, answers and the messages about them between entry and guard.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Model/Outcome.h"
#include "teaselhitch/Support/Clock.h"

#include <compare>
#include <cstdint>
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
  std::string Body;

  auto operator<=>(const HttpRequest &) const = default;
};

/// The value of a header, or an empty string. Names are compared without case.
std::string headerValue(const HeaderList &Headers, const std::string &Name);

/// A whole HTTP answer without connection-specific headers.
struct HttpAnswer {
  unsigned Status = 0;
  HeaderList Headers;
  std::string Body;

  auto operator<=>(const HttpAnswer &) const = default;
};

/// Identifies a request in the fleet for good: the incarnation tells requests
/// of a restarted entry from earlier ones.
struct RequestId {
  NodeName Entry;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;

  auto operator<=>(const RequestId &) const = default;
};
std::string toString(const RequestId &Id);

/// One try at running a request.
struct AttemptId {
  RequestId Request;
  std::uint32_t Number = 0;

  auto operator<=>(const AttemptId &) const = default;
};
std::string toString(const AttemptId &Id);

/// How the backend servers of a service have done lately, as one entry saw it.
/// Entries send it with each attempt, so that a guard can compare its own
/// backend servers with their peers without traffic of its own.
struct ServiceBaseline {
  /// Share of failed requests, 0 to 1.
  double ErrorRate = 0;
  /// Geometric mean of the run times in milliseconds.
  double RunTimeMs = 0;
  /// Requests that the figures rest on; old requests count less. 0 means that
  /// nothing is known.
  double Weight = 0;

  auto operator<=>(const ServiceBaseline &) const = default;
};

/// What a guard tells of one backend server with each reply, so that entries
/// know where the next request has a chance.
struct ServerLoad {
  std::uint32_t InProgress = 0;
  std::uint32_t Waiting = 0;
  /// Requests that it may run at once; 0 if nothing is known.
  std::uint32_t Slots = 0;
  /// Estimated probability that it is failing, in percent.
  std::uint32_t RiskPercent = 0;

  auto operator<=>(const ServerLoad &) const = default;
};

/// What a guard needs to decide on an attempt; the HTTP request travels beside
/// it.
struct DispatchInfo {
  AttemptId Attempt;
  ServiceName Service;
  /// Requests of one rule are alike; their run times are compared.
  RuleName Rule;
  /// The backend server that the entry prefers; the guard may take another one
  /// of the same service on its instance.
  BackendServerName Preferred;
  OrganisationName Organisation;
  bool Idempotent = false;
  /// Paid work goes before other work in the queue.
  bool Paid = false;
  /// Rank in the queue; 0 goes first.
  std::uint32_t Priority = 0;
  /// Refuse unless a slot is free and the backend server looks sound; the
  /// entry has other candidates.
  bool Strict = false;
  /// Refuse, also while it waits, if the backend server looks bad; most others
  /// of the service do not.
  bool AvoidsRisk = false;
  /// Greatest estimated risk of the backend server, in percent, at which the
  /// attempt may start. The first offers of a request that must not run twice
  /// ask for backend servers that have shown to be sound just now.
  std::uint32_t MaxRiskPercent = 100;
  /// Guards to which the request is offered at the same time.
  std::uint32_t Offers = 1;
  /// Time within which the answer is worth its full value, counted from the
  /// arrival of the request at the entry.
  Duration Objective;
  /// What is left of the objective; negative if it has passed.
  Duration ObjectiveLeft;
  /// Time left until the caller's deadline, counted from receipt.
  Duration Remaining;
  /// A guard-bound key, or empty.
  std::string GuardKey;
  /// Hash of organisation, rule and key or body, for crash quarantine.
  std::uint64_t Fingerprint = 0;
  ServiceBaseline Baseline;

  auto operator<=>(const DispatchInfo &) const = default;
};

/// Entry to guard: may this attempt run here? An entry may offer a request to
/// several guards; nothing runs before it has sent the request to one of them.
struct Offer {
  DispatchInfo Info;

  auto operator<=>(const Offer &) const = default;
};

/// Guard to entry: a slot is held for the attempt for a short time.
struct Grant {
  AttemptId Attempt;
  ServerLoad Load;

  auto operator<=>(const Grant &) const = default;
};

/// Entry to guard: run this attempt, which the guard has granted. A guard
/// refuses one that it has not granted, or no longer holds a slot for.
struct Dispatch {
  DispatchInfo Info;
  HttpRequest Request;

  auto operator<=>(const Dispatch &) const = default;
};

/// Entry to guard: the caller is gone or the deadline passed.
struct Cancel {
  AttemptId Attempt;

  auto operator<=>(const Cancel &) const = default;
};

/// Guard to entry: the attempt ended without a whole answer.
struct AttemptFailed {
  AttemptId Attempt;
  Reason Cause = Reason::Overloaded;
  /// NotRun is a proof; Unknown is everything else.
  Outcome Result = Outcome::Unknown;
  /// When a retry has a chance; zero if unknown.
  Duration RetryAfter;
  /// The backend server crashed while it ran the attempt.
  bool Crashed = false;
  /// Of the preferred backend server.
  ServerLoad Load;

  auto operator<=>(const AttemptFailed &) const = default;
};

/// Guard to entry: the whole answer.
struct AttemptAnswer {
  AttemptId Attempt;
  BackendServerName RanOn;
  /// Of that backend server.
  ServerLoad Load;
  /// Time from the first byte sent to the backend server to the whole answer.
  Duration RunTime;
  HttpAnswer Answer;

  auto operator<=>(const AttemptAnswer &) const = default;
};

/// Guard to entry: an idempotent attempt runs much longer than usual. It goes
/// on; the entry may run the request elsewhere as well.
struct AttemptOverdue {
  AttemptId Attempt;
  ServerLoad Load;

  auto operator<=>(const AttemptOverdue &) const = default;
};

/// Entry to guard: mint a guard-bound key. Token correlates the reply.
struct MintKey {
  std::uint64_t Token = 0;
  ServiceName Service;

  auto operator<=>(const MintKey &) const = default;
};

/// Guard to entry: the key, or an empty one if the guard refuses.
struct KeyMinted {
  std::uint64_t Token = 0;
  std::string Key;
  Duration ValidFor;

  auto operator<=>(const KeyMinted &) const = default;
};

/// Messages from an entry to a guard.
using GuardMessage = std::variant<Offer, Dispatch, Cancel, MintKey>;
/// Messages from a guard to an entry.
using EntryMessage = std::variant<Grant, AttemptFailed, AttemptAnswer,
                                  AttemptOverdue, KeyMinted>;

} // namespace teaselhitch

#endif

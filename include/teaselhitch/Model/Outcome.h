#ifndef TEASELHITCH_MODEL_OUTCOME_H
#define TEASELHITCH_MODEL_OUTCOME_H

/// \file
/// Outcomes of requests, and the stable reason codes of refusals and failures.

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace teaselhitch {

/// How an attempt or a request ended. The three outcomes are never conflated:
/// a request that may have run is not reported as NotRun.
enum class Outcome : std::uint8_t {
  /// The complete answer arrived.
  Completed,
  /// It is proved that the request did not run: no byte reached a backend
  /// server, or the backend server itself refused the request.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// Returns "completed", "not-run" or "unknown", as in the header
/// `Teaselhitch-Outcome`.
const char *outcomeName(Outcome O);

/// Why a request was refused or failed. The names of the reasons are stable,
/// because callers, logs and metrics use them.
enum class Reason : std::uint8_t {
  BadRequest,
  UnknownOrganisation,
  NoRule,
  BodyTooLarge,
  HeaderTooLarge,
  OverShare,
  NoConfiguration,
  NoBackendServer,
  QueueFull,
  Overloaded,
  Draining,
  Quarantined,
  ClaimStoreUnavailable,
  RetryBudgetSpent,
  Shed,
  DeadlineExpired,
  DeadlineExpiredRunning,
  KeyAlreadyUsed,
  KeyExpired,
  KeyOwnerGone,
  BackendServerFailed,
  LinkLost,
  Busy,
  Suspected,
  AnswerTooLarge,
  GrantExpired,
  DependencyBusy,
  UnknownCredential,
  OverRate,
  OutOfMemory,
};

/// The last enumerator of Reason; decoders reject greater values.
inline constexpr Reason LastReason = Reason::OutOfMemory;

/// Documented properties of a reason.
struct ReasonInfo {
  Reason Code;
  /// Stable name, e.g. "queue-full".
  const char *Name;
  /// HTTP status of the answer.
  unsigned Status;
  Outcome Result;
  /// One sentence for the `detail` field of the problem body.
  const char *Detail;
};

/// Returns the properties of \p R.
const ReasonInfo &reasonInfo(Reason R);

/// Returns all reasons in the order of their enumerators.
const std::vector<ReasonInfo> &allReasons();

/// Returns the reason with this name, or nullopt.
std::optional<Reason> reasonByName(std::string_view Name);

} // namespace teaselhitch

#endif

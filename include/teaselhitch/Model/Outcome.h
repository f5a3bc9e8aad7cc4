#ifndef TEASELHITCH_MODEL_OUTCOME_H
#define TEASELHITCH_MODEL_OUTCOME_H

/// \file
/// How requests end: outcomes and the stable reason codes of refusals.

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace teaselhitch {

/// How an attempt or a request ended. The three are never mixed.
enum class Outcome : std::uint8_t {
  /// The whole answer arrived.
  Completed,
  /// Proved that it did not run: no byte reached a backend server, or the
  /// backend server itself refused it.
  NotRun,
  /// It may have run.
  Unknown,
};

/// "completed", "not-run" or "unknown", as in the header
/// `Teaselhitch-Outcome`.
const char *outcomeName(Outcome O);

/// Why a request was refused or failed. Codes are stable: callers, logs and
/// metrics use their names.
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
};

/// The last of the reasons, for decoders.
inline constexpr Reason LastReason = Reason::DependencyBusy;

/// What the documentation promises of a reason.
struct ReasonInfo {
  Reason Code;
  /// Stable name, e.g. "queue-full".
  const char *Name;
  /// HTTP status of the answer.
  unsigned Status;
  Outcome Result;
  /// One sentence for the `detail` field.
  const char *Detail;
};

const ReasonInfo &reasonInfo(Reason R);

/// All reasons in order of their code.
const std::vector<ReasonInfo> &allReasons();

/// The reason with this name.
std::optional<Reason> reasonByName(std::string_view Name);

} // namespace teaselhitch

#endif

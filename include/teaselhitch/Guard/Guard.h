#ifndef TEASELHITCH_GUARD_GUARD_H
#define TEASELHITCH_GUARD_GUARD_H

/// \file
/// Decides which attempts run on the backend servers of one instance, when, and
/// which are refused. Pure: events and the time go in, actions come out.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselhitch {

/// What a backend server says of itself, repeated about each second.
struct Announcement {
  BackendServerName Name;
  ServiceName Service;
  Endpoint Address;
  std::uint32_t Slots = 1;
  /// Grows with each start of the backend server.
  std::uint64_t Incarnation = 0;
  BackendServerState State = BackendServerState::Starting;
  std::string Label;
  /// Load that it reports, 0 to 1 and above; a hint only.
  std::optional<double> Load;
  /// Orders the announcements of one incarnation; 0 if they are not ordered.
  std::uint64_t Sequence = 0;
  /// How long it stays slow after its start. Without it the guard assumes
  /// GuardSettings::SlowStart.
  std::optional<Duration> ColdLeft;

  auto operator<=>(const Announcement &) const = default;
};

/// How an attempt ended at the backend server.
enum class RunEnd : std::uint8_t {
  /// The whole answer arrived.
  Answered,
  /// The backend server refused it and told that it was not run.
  Shed,
  /// No connection; nothing was sent.
  ConnectFailed,
  /// The connection was lost or condemned while a fresh one works.
  ConnectionLost,
  /// The connection was lost and a fresh one is refused.
  Crashed,
  /// Ended by an AbortAttempt action.
  Aborted,
  /// The answer is larger than the limit of the node.
  TooLarge,
  /// Another process listens at the address and told that it was not run.
  OtherServer,
  /// Nothing was sent, because the entry did not send the request in time or
  /// took it back.
  Withdrawn,
};

/// Stable name for logs, e.g. "connection-lost".
const char *runEndName(RunEnd End);

struct RunResult {
  RunEnd End = RunEnd::Answered;
  /// HTTP status if answered.
  unsigned Status = 0;
  Duration RunTime;

  auto operator<=>(const RunResult &) const = default;
};

/// Send the request to this backend server now. It holds a slot until
/// Guard::finished is called.
struct StartAttempt {
  AttemptId Attempt;
  BackendServerName Server;
  Endpoint Address;
  /// Time left until the deadline.
  Duration Remaining;

  auto operator<=>(const StartAttempt &) const = default;
};

/// Close the connection of a running attempt; then call Guard::finished.
struct AbortAttempt {
  AttemptId Attempt;

  auto operator<=>(const AbortAttempt &) const = default;
};

/// The record of an own backend server changed; let the fleet know.
struct PublishRecord {
  BackendServerRecord Record;

  auto operator<=>(const PublishRecord &) const = default;
};

/// Refuse requests with this fingerprint everywhere for a time.
struct Quarantine {
  std::uint64_t Fingerprint = 0;
  Duration For;

  auto operator<=>(const Quarantine &) const = default;
};

/// A backend server crashed while it ran a request with this fingerprint. The
/// other guards need it, because the caller may send the request again through
/// any of them.
struct CrashMark {
  std::uint64_t Fingerprint = 0;
  /// Identifies the crash: hash of node, backend server and its incarnation.
  std::uint64_t Crash = 0;
  ServiceName Service;
  /// It is the second crash of a request that was sent again. Receivers refuse
  /// the request until the sending guard has decided on a quarantine.
  bool Repeated = false;

  auto operator<=>(const CrashMark &) const = default;
};

/// AttemptFailed and AttemptOverdue go to the entry of the attempt; Quarantine
/// and CrashMark go to all other guards.
using GuardAction =
    std::variant<StartAttempt, AbortAttempt, AttemptFailed, AttemptOverdue,
                 PublishRecord, Quarantine, CrashMark>;
using GuardActions = std::vector<GuardAction>;

struct GuardSettings {
  NodeName Node;
  FailureDomain Domain;
  /// Grows with each start of the node; part of guard-bound keys and of record
  /// versions.
  std::uint64_t Incarnation = 0;
  /// Backend servers that are silent for longer are gone.
  Duration AnnouncementTimeout = Duration::seconds(3);
  /// How long a guard-bound key can be used.
  Duration KeyLifetime = Duration::seconds(600);
  /// How long a crashing request is refused.
  Duration QuarantineTime = Duration::seconds(600);
  /// From cold start or readmission to full weight.
  Duration SlowStart = Duration::seconds(10);
  /// Greatest number of fingerprints remembered.
  std::uint32_t MaxFingerprints = 4096;
  /// Greatest number of used guard-bound keys remembered.
  std::uint32_t MaxKeys = 65536;
  /// Secret of the fleet that signs guard-bound keys.
  std::string KeySecret;
};

/// The state of one backend server, for operators.
struct GuardedServerStatus {
  BackendServerRecord Record;
  Endpoint Address;
  std::uint32_t InProgress = 0;
  std::uint32_t Waiting = 0;

  auto operator<=>(const GuardedServerStatus &) const = default;
};

/// The guard of an instance.
///
/// Guarantees: an attempt gets exactly one StartAttempt or one AttemptFailed
/// with outcome NotRun; a backend server never has more attempts in progress
/// than slots; a guard-bound key starts at most one attempt.
class Guard {
public:
  static Result<std::unique_ptr<Guard>> create(GuardSettings Settings);
  virtual ~Guard() = default;

  /// Puts a configuration in force: queue lengths and shares.
  virtual GuardActions configure(std::shared_ptr<const ActiveConfig> Config,
                                 Time Now) = 0;

  /// InvalidInput names the field that is wrong.
  virtual Result<GuardActions> announce(const Announcement &A, Time Now) = 0;

  virtual GuardActions dispatch(const DispatchInfo &Info, Time Now) = 0;
  virtual GuardActions cancel(const AttemptId &Attempt, Time Now) = 0;

  /// A started attempt ended. An answered attempt yields no AttemptFailed; the
  /// caller sends the answer itself.
  virtual GuardActions finished(const AttemptId &Attempt,
                                const RunResult &Result, Time Now) = 0;

  /// The backend server has made a request of its own for a running attempt,
  /// so it does not hang.
  virtual void progressed(const AttemptId &Attempt, Time Now) = 0;

  /// A request that a backend server made for an attempt of this rule has
  /// ended. \param Congested it found no room until it was refused or its
  /// caller left.
  virtual void subRequestEnded(const RuleName &Rule, bool Congested,
                               Time Now) = 0;

  /// Load and estimated risk of a backend server, for answers to entries.
  virtual ServerLoad load(const BackendServerName &Server, Time Now) const = 0;

  /// A backend server stops taking work, as after an announcement with the
  /// state Draining. Nothing happens for another incarnation.
  virtual GuardActions depart(const BackendServerName &Server,
                              std::optional<std::uint64_t> Incarnation,
                              Time Now) = 0;

  /// Issues a guard-bound key. The key is empty if no backend server of the
  /// service is here or the guard is draining.
  virtual KeyMinted mintKey(const MintKey &Request, Time Now) = 0;

  /// Sets what detection found. Weight is in percent, 1 to 100. While ejected,
  /// 1 means no requests and a greater weight means trial requests.
  virtual GuardActions setHealth(const BackendServerName &Server,
                                 BackendServerHealth Health,
                                 std::uint32_t Weight, Time Now) = 0;

  /// A quarantine heard from another guard.
  virtual void quarantine(const Quarantine &Q, Time Now) = 0;

  /// A crash heard from another guard.
  virtual void crashMark(const CrashMark &Mark, Time Now) = 0;

  /// Starts a graceful shutdown: new attempts are refused, waiting ones are
  /// refused, running ones finish.
  virtual GuardActions drain(Time Now) = 0;
  /// True if nothing waits or runs.
  virtual bool isIdle() const = 0;

  /// Expires announcements, waiting attempts, keys and quarantines; aborts
  /// attempts past their deadline. Call at least every 50 ms.
  virtual GuardActions tick(Time Now) = 0;

  virtual std::vector<GuardedServerStatus> status() const = 0;
};

} // namespace teaselhitch

#endif

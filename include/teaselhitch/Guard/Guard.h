#ifndef TEASELHITCH_GUARD_GUARD_H
#define TEASELHITCH_GUARD_GUARD_H

/// \file
/// Admission control for the backend servers of one instance: decides which
/// attempts run, when they run, and which are refused. The guard does no I/O
/// and reads no clock: it takes events and the current time and returns
/// actions.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Guard/DepartureLog.h"
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

/// State of a backend server, which it announces about once per second.
struct Announcement {
  BackendServerName Name;
  ServiceName Service;
  Endpoint Address;
  std::uint32_t Slots = 1;
  /// Increases with each start of the backend server.
  std::uint64_t Incarnation = 0;
  BackendServerState State = BackendServerState::Starting;
  std::string Label;
  /// Reported load, from 0 to 1 or above. Only a hint.
  std::optional<double> Load;
  /// Sequence number of the announcement within its incarnation; 0 if the
  /// announcements are not numbered.
  std::uint64_t Sequence = 0;
  /// Time for which the backend server is still slow after its start. If this
  /// is not set, the guard assumes GuardSettings::SlowStart.
  std::optional<Duration> ColdRemaining;

  auto operator<=>(const Announcement &) const = default;
};

/// How an attempt ended at the backend server.
enum class RunEnd : std::uint8_t {
  /// The complete answer was received.
  Answered,
  /// The backend server refused the attempt and confirmed that it was not run.
  Shed,
  /// The connection could not be established; nothing was sent.
  ConnectFailed,
  /// The connection was lost, or was given up as faulty, and a new connection
  /// can be established.
  ConnectionLost,
  /// The connection was lost and a new connection is refused.
  Crashed,
  /// Ended by an AbortAttempt action.
  Aborted,
  /// The answer exceeds the size limit of the node.
  TooLarge,
  /// Another process listens at the address and confirmed that the attempt was
  /// not run.
  OtherServer,
  /// Nothing was sent, because the entry did not send the request in time or
  /// cancelled it.
  Withdrawn,
};

/// Stable name for logs, e.g. "connection-lost".
const char *runEndName(RunEnd End);

struct RunResult {
  RunEnd End = RunEnd::Answered;
  /// HTTP status, set if End is Answered.
  unsigned Status = 0;
  Duration RunTime;

  auto operator<=>(const RunResult &) const = default;
};

/// Action: send the request to this backend server now. The attempt holds a
/// slot until Guard::finished is called.
struct StartAttempt {
  AttemptId Attempt;
  BackendServerName Server;
  Endpoint Address;
  /// Time until the deadline.
  Duration Remaining;

  auto operator<=>(const StartAttempt &) const = default;
};

/// Action: close the connection of a running attempt, then call
/// Guard::finished.
struct AbortAttempt {
  AttemptId Attempt;

  auto operator<=>(const AbortAttempt &) const = default;
};

/// Action: publish the changed record of a backend server of this instance to
/// the fleet.
struct PublishRecord {
  BackendServerRecord Record;

  auto operator<=>(const PublishRecord &) const = default;
};

/// Action: make all guards refuse requests with this fingerprint for a limited
/// time.
struct Quarantine {
  std::uint64_t Fingerprint = 0;
  Duration Period;

  auto operator<=>(const Quarantine &) const = default;
};

/// A backend server crashed while it ran a request with this fingerprint. The
/// other guards are informed because the caller may retry the request through
/// any of them.
struct CrashMark {
  std::uint64_t Fingerprint = 0;
  /// Identifies the crash: hash of the node, the backend server and its
  /// incarnation.
  std::uint64_t CrashId = 0;
  ServiceName Service;
  /// True for the second crash of a request that was retried. Receivers refuse
  /// the request until the sending guard has decided on a quarantine.
  bool Repeated = false;

  auto operator<=>(const CrashMark &) const = default;
};

/// Action: keep this departure for the next process of the node.
struct KeepDeparture {
  DepartedServer Server;

  auto operator<=>(const KeepDeparture &) const = default;
};

/// AttemptFailed and AttemptOverdue are sent to the entry of the attempt;
/// Quarantine and CrashMark are sent to all other guards.
using GuardAction =
    std::variant<StartAttempt, AbortAttempt, AttemptFailed, AttemptOverdue,
                 PublishRecord, Quarantine, CrashMark, KeepDeparture>;
using GuardActions = std::vector<GuardAction>;

struct GuardSettings {
  NodeName Node;
  FailureDomain Domain;
  /// Increases with each start of the node; part of guard-bound keys and of
  /// record versions.
  std::uint64_t Incarnation = 0;
  /// A backend server without an announcement for longer than this is
  /// considered gone.
  Duration AnnouncementTimeout = Duration::seconds(3);
  /// Time for which a guard-bound key is valid.
  Duration KeyLifetime = Duration::seconds(600);
  /// Time for which a request that crashes backend servers is refused.
  Duration QuarantineTime = Duration::seconds(600);
  /// Duration of the slow start, from a cold start or readmission to full
  /// weight.
  Duration SlowStart = Duration::seconds(10);
  /// Maximum number of fingerprints that are stored.
  std::uint32_t MaxFingerprints = 4096;
  /// Maximum number of issued guard-bound keys that have not expired.
  std::uint32_t MaxKeys = 65536;
  /// Secret of the fleet for signing guard-bound keys.
  std::string KeySecret;
  /// Backend servers that announce that they are ready count as starting until
  /// Guard::admitServers() is called.
  bool HoldsServers = false;
};

/// State of one backend server, as shown to operators.
struct GuardedServerStatus {
  BackendServerRecord Record;
  Endpoint Address;
  std::uint32_t InProgress = 0;
  std::uint32_t Waiting = 0;

  auto operator<=>(const GuardedServerStatus &) const = default;
};

/// Admission control for the backend servers of one instance.
///
/// Guarantees: each attempt gets exactly one StartAttempt or one AttemptFailed
/// with outcome NotRun; a backend server never has more attempts in progress
/// than slots; a guard-bound key starts at most one attempt.
class Guard {
public:
  static Result<std::unique_ptr<Guard>> create(GuardSettings Settings);
  virtual ~Guard() = default;

  /// Applies a configuration, which sets queue lengths and shares.
  virtual GuardActions configure(std::shared_ptr<const ActiveConfig> Config,
                                 Time Now) = 0;

  /// Processes an announcement. The error InvalidInput names the invalid field.
  virtual Result<GuardActions> announce(const Announcement &A, Time Now) = 0;

  virtual GuardActions dispatch(const DispatchInfo &Info, Time Now) = 0;
  virtual GuardActions cancel(const AttemptId &Attempt, Time Now) = 0;

  /// Handles the end of a started attempt. An answered attempt yields no
  /// AttemptFailed; the caller sends the answer itself.
  virtual GuardActions finished(const AttemptId &Attempt,
                                const RunResult &Result, Time Now) = 0;

  /// Handles a sub-request that the backend server sent for a running attempt,
  /// which shows that the attempt does not hang.
  virtual void recordProgress(const AttemptId &Attempt, Time Now) = 0;

  /// Handles the end of a sub-request of an attempt of this rule.
  /// \param Congested no capacity was available for the sub-request before it
  /// was refused or its caller disconnected.
  virtual void subRequestEnded(const RuleName &Rule, bool Congested,
                               Time Now) = 0;

  /// Load and estimated risk of a backend server, for replies to entries.
  virtual ServerLoad load(const BackendServerName &Server, Time Now) const = 0;

  /// Stops new work for a backend server, as an announcement with the state
  /// Draining does. Announcements of the same process that arrive later do not
  /// undo this, even if the backend server was not known before. A departure of
  /// an earlier incarnation has no effect.
  virtual GuardActions drainServer(const BackendServerName &Server,
                                   std::optional<std::uint64_t> Incarnation,
                                   Time Now) = 0;

  /// Applies departures that an earlier process of this node acknowledged.
  virtual GuardActions
  restoreDepartures(const std::vector<DepartedServer> &Departed, Time Now) = 0;

  /// Ends the time in which announcements are not believed because departures
  /// that an earlier process acknowledged may not have been restored yet.
  virtual GuardActions admitServers(Time Now) = 0;

  /// Issues a guard-bound key. The key is empty if no backend server of the
  /// service is usable here, if the guard is draining, or if MaxKeys keys have
  /// not expired.
  virtual KeyMinted mintKey(const MintKey &Request, Time Now) = 0;

  /// Sets the result of failure detection. Weight is in percent, 1 to 100. For
  /// an ejected backend server, 1 means no requests and a higher weight means
  /// trial requests.
  virtual GuardActions setHealth(const BackendServerName &Server,
                                 BackendServerHealth Health,
                                 std::uint32_t Weight, Time Now) = 0;

  /// Applies a quarantine received from another guard.
  virtual void receiveQuarantine(const Quarantine &Q, Time Now) = 0;

  /// Records a crash reported by another guard.
  virtual void receiveCrashMark(const CrashMark &Mark, Time Now) = 0;

  /// Starts a graceful shutdown: new and waiting attempts are refused, running
  /// attempts finish.
  virtual GuardActions drain(Time Now) = 0;
  /// True if no attempt is waiting or running.
  virtual bool isIdle() const = 0;

  /// Sets whether servers that look faulty are published as suspected. The
  /// default is true.
  virtual void shareRisk(bool IsShared) = 0;

  /// To be called before tick() if this process did not run for the last
  /// \p Pause. Backend servers could not be heard meanwhile, so they do not
  /// count as silent.
  virtual void resume(Duration Pause, Time Now) = 0;

  /// Expires announcements, waiting attempts, keys and quarantines, and aborts
  /// attempts past their deadline. Must be called at least every 50 ms.
  virtual GuardActions tick(Time Now) = 0;

  virtual std::vector<GuardedServerStatus> status() const = 0;
};

} // namespace teaselhitch

#endif

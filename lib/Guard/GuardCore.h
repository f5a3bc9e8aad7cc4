#ifndef TEASELHITCH_LIB_GUARD_GUARDCORE_H
#define TEASELHITCH_LIB_GUARD_GUARDCORE_H

#include "AdmissionQueue.h"
#include "CrashTable.h"
#include "DependencyLimits.h"
#include "FairShares.h"
#include "GuardKeys.h"
#include "ServerRisk.h"
#include "ServerTable.h"
#include "teaselhitch/Guard/Guard.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teaselhitch {

/// Implementation of Guard that combines the tables.
class GuardCore final : public Guard {
public:
  explicit GuardCore(GuardSettings Settings);

  GuardActions configure(std::shared_ptr<const ActiveConfig> NewConfig,
                         Time Now) override;
  Result<GuardActions> announce(const Announcement &A, Time Now) override;
  GuardActions dispatch(const DispatchInfo &Info, Time Now) override;
  GuardActions cancel(const AttemptId &Id, Time Now) override;
  GuardActions finished(const AttemptId &Id, const RunResult &Result,
                        Time Now) override;
  void recordProgress(const AttemptId &Id, Time Now) override;
  void subRequestEnded(const RuleName &Rule, bool Congested,
                       Time Now) override {
    Dependencies.subRequestEnded(Rule, Congested, Now);
  }
  ServerLoad load(const BackendServerName &Server, Time Now) const override;
  GuardActions drainServer(const BackendServerName &Server,
                           std::optional<std::uint64_t> Incarnation,
                           Time Now) override;
  GuardActions restoreDepartures(const std::vector<DepartedServer> &Departed,
                                 Time Now) override;
  KeyMinted mintKey(const MintKey &Request, Time Now) override;
  GuardActions setHealth(const BackendServerName &Server,
                         BackendServerHealth Health, std::uint32_t Weight,
                         Time Now) override;
  void receiveQuarantine(const Quarantine &Q, Time Now) override;
  void receiveCrashMark(const CrashMark &Mark, Time Now) override;
  GuardActions drain(Time Now) override;
  bool isIdle() const override;
  void shareRisk(bool IsShared) override { SharesRisk = IsShared; }
  GuardActions admitServers(Time Now) override;
  void resume(Duration Pause, Time Now) override {
    Servers.excludePause(Pause, Now);
  }
  GuardActions tick(Time Now) override;
  std::vector<GuardedServerStatus> status() const override;

private:
  /// An attempt, from its dispatch until it leaves the queue or releases its
  /// slot.
  struct Attempt {
    DispatchInfo Info;
    Time Deadline;
    /// Time at which the attempt has to start to meet its latency objective, or
    /// its deadline if the entry sets no objective.
    Time LatestStart;
    std::uint64_t Order = 0;
    /// Organisation whose share is charged and in whose sub-queue the attempt
    /// waits.
    OrganisationName Account;
    bool Running = false;
    /// The entry was told how the attempt ended; the slot may still be held.
    bool Reported = false;
    /// An AbortAttempt action was emitted.
    bool Aborted = false;
    bool Trial = false;
    /// The entry was told that the attempt runs longer than usual.
    bool Overdue = false;
    /// Runs as the single permitted attempt whose fingerprint was in a crash.
    bool Suspect = false;
    /// The crash of the backend server of the attempt is recorded.
    bool CrashRecorded = false;
    /// Sequence number of the guard-bound key of the attempt.
    std::optional<std::uint64_t> Key;
    /// The following members are set while the attempt runs.
    BackendServerName Server;
    std::uint64_t ServerIncarnation = 0;
    Time StartedAt;
    Duration Charged;

    QueuedAttempt queueEntry() const {
      return {Info.Attempt, Info.Paid, Info.Priority,
              LatestStart,  Deadline,  Order};
    }
  };

  /// The queue of one service and the shares of the organisations in it.
  struct ServiceQueue {
    AdmissionQueue Queue;
    FairShares Shares;
  };

  // GuardDispatch.cpp: which attempts are queued and started.
  void admit(Attempt &A, Time Now, GuardActions &Out);
  Attempt &store(Attempt A);
  /// Returns the reason why a strict attempt, which may not wait, cannot start
  /// now.
  std::optional<Reason> declineStrict(const DispatchInfo &Info, Time Now);
  /// True if the attempt may start now as a trial that shows whether a server
  /// that looks faulty has recovered.
  bool allowsTrial(const DispatchInfo &Info, Time Now);
  /// True if the attempt would most likely miss its deadline in the queue.
  bool wouldExpire(const Attempt &A) const;
  /// Makes room in a full queue for an attempt of higher priority. Returns
  /// false if there is no attempt to displace.
  bool displaceLast(const Attempt &A, Time Now, GuardActions &Out);
  /// True if all servers that could run the attempt look faulty.
  bool allRisky(const DispatchInfo &Info, Time Now) const;
  /// Refuses waiting attempts if all servers of their service look faulty.
  void refuseRisky(Time Now, GuardActions &Out);
  /// Updates the published health of servers that look faulty and of servers
  /// that have recovered.
  void publishRisk(Time Now);
  void reportOverdue(Time Now, GuardActions &Out);
  bool tryStart(Attempt &A, Time Now, GuardActions &Out);
  void start(Attempt &A, GuardedServer &Server, bool Direct, Time Now,
             GuardActions &Out);
  void startWaiting(const ServiceName &Service, Time Now, GuardActions &Out);
  /// Starts, moves or refuses the first attempt in the sub-queue of Account.
  void processHead(ServiceQueue &Q, const OrganisationName &Account, Time Now,
                   GuardActions &Out);
  /// True if the attempt has to wait until no other suspect attempt is running.
  bool isBlockedSuspect(const Attempt &A) const;
  /// Updates the queue of a service to the state of its servers: refuses
  /// attempts that no server can run and starts those that can run.
  void updateQueue(const ServiceName &Service, Time Now, GuardActions &Out);
  void updateAllQueues(Time Now, GuardActions &Out);
  /// Updates the queue and the published record of a server that departed.
  void updateDeparted(const BackendServerName &Name, Time Now,
                      GuardActions &Out);
  void refuseExpired(Time Now, GuardActions &Out);
  Reason unservedReason(const ServiceName &Service) const;
  OrganisationName account(const OrganisationName &Organisation) const;
  std::uint32_t share(const OrganisationName &Account) const;
  std::size_t queueLimit(const ServiceName &Service) const;
  Duration retryAfter(const ServiceName &Service);

  // GuardCompletion.cpp: how attempts end.
  /// Removes a waiting attempt from the queue and refuses it.
  void refuseWaiting(const AttemptId &Id, Reason Cause, Time Now,
                     GuardActions &Out, Duration RetryAfter = {});
  void refuse(const DispatchInfo &Info, Reason Cause, Duration RetryAfter,
              Time Now, GuardActions &Out);
  /// Reports to the entry how a running attempt ended, once only.
  void report(Attempt &A, AttemptFailed Failure, GuardActions &Out);
  void abort(Attempt &A, GuardActions &Out);
  void abortOverdue(Time Now, GuardActions &Out);
  /// Aborts the attempts of earlier incarnations of a restarted server and
  /// reports their failure.
  void endInterrupted(const BackendServerName &Name, std::uint64_t Incarnation,
                      bool Crashed, GuardActions &Out);
  std::uint64_t crashId(const BackendServerName &Name,
                        std::uint64_t Incarnation) const;
  /// Records a crash together with all attempts that were running on the
  /// server.
  void recordCrash(const BackendServerName &Name, std::uint64_t Incarnation,
                   Time Now, GuardActions &Out);
  void reportResult(Attempt &A, const RunResult &Result, GuardActions &Out);
  void releaseSlot(const Attempt &A, Time Now);

  GuardSettings Settings;
  std::shared_ptr<const ActiveConfig> Config;
  std::map<ServiceName, std::uint32_t> QueuePerSlot;
  /// Services without ejection. Their servers are published as suspected or
  /// healthy according to their estimated risk.
  std::set<ServiceName> RiskBasedServices;
  ServerTable Servers;
  ServerRisk Risk;
  DependencyLimits Dependencies;
  std::map<ServiceName, ServiceQueue> Queues;
  std::map<AttemptId, Attempt> Attempts;
  GuardKeys Keys;
  CrashTable Crashes;
  bool SharesRisk = true;
  bool SuspectRunning = false;
  std::uint64_t NextOrder = 0;
  bool Draining = false;
};

} // namespace teaselhitch

#endif

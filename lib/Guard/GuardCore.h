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

/// The implementation of Guard: ties the tables together.
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
  void progressed(const AttemptId &Id, Time Now) override;
  void subRequestEnded(const RuleName &Rule, bool Congested,
                       Time Now) override {
    Dependencies.subRequestEnded(Rule, Congested, Now);
  }
  ServerLoad load(const BackendServerName &Server, Time Now) const override;
  GuardActions depart(const BackendServerName &Server,
                      std::optional<std::uint64_t> Incarnation,
                      Time Now) override;
  KeyMinted mintKey(const MintKey &Request, Time Now) override;
  GuardActions setHealth(const BackendServerName &Server,
                         BackendServerHealth Health, std::uint32_t Weight,
                         Time Now) override;
  void quarantine(const Quarantine &Q, Time Now) override;
  void crashMark(const CrashMark &Mark, Time Now) override;
  GuardActions drain(Time Now) override;
  bool isIdle() const override;
  GuardActions tick(Time Now) override;
  std::vector<GuardedServerStatus> status() const override;

private:
  /// An attempt from its dispatch until it has left the queue or its slot.
  struct Attempt {
    DispatchInfo Info;
    Time Deadline;
    /// When the answer stops being worth its full value; the deadline if the
    /// entry names no objective.
    Time Objective;
    std::uint64_t Order = 0;
    /// Whose share and line it uses.
    OrganisationName Payer;
    bool Running = false;
    /// The entry knows how it ended; the slot is still held.
    bool Reported = false;
    /// An AbortAttempt was given out.
    bool Aborted = false;
    bool Trial = false;
    /// The entry was told that it runs longer than usual.
    bool Overdue = false;
    /// Runs in the single place for fingerprints that were in a crash.
    bool Suspect = false;
    /// The crash of its server is recorded.
    bool CrashRecorded = false;
    /// Sequence of its guard-bound key.
    std::optional<std::uint64_t> Key;
    /// The rest is set while it runs.
    BackendServerName Server;
    std::uint64_t ServerIncarnation = 0;
    Time StartedAt;
    Duration Charged;

    QueuedAttempt queued() const {
      return {Info.Attempt, Info.Paid, Info.Priority,
              Objective,    Deadline,  Order};
    }
  };

  /// The queue of one service and its division among organisations.
  struct ServiceQueue {
    AdmissionQueue Queue;
    FairShares Shares;
  };

  // GuardDispatch.cpp: who waits and who starts.
  void admit(Attempt &A, Time Now, GuardActions &Out);
  Attempt &store(Attempt A);
  /// Why an attempt that may not wait cannot start now.
  std::optional<Reason> declineStrict(const DispatchInfo &Info, Time Now);
  /// The attempt may start now to find out whether a server that looks bad is
  /// sound again.
  bool isTrial(const DispatchInfo &Info, Time Now);
  /// An attempt that waits now would most likely miss its deadline.
  bool wouldExpire(const Attempt &A) const;
  /// Makes room in a full queue for an attempt that goes before others; false
  /// if there is none.
  bool displaceLast(const Attempt &A, Time Now, GuardActions &Out);
  /// All servers that could run the attempt look bad.
  bool allRisky(const DispatchInfo &Info, Time Now) const;
  /// Gives waiting attempts back when all servers of a service look bad.
  void returnWaiting(Time Now, GuardActions &Out);
  /// Tells the fleet of servers that look bad, and of those that recovered.
  void publishRisk(Time Now);
  void reportOverdue(Time Now, GuardActions &Out);
  bool tryStart(Attempt &A, Time Now, GuardActions &Out);
  void start(Attempt &A, GuardedServer &Server, bool Direct, Time Now,
             GuardActions &Out);
  void startWaiting(const ServiceName &Service, Time Now, GuardActions &Out);
  /// Starts, moves or refuses the first attempt of a line.
  void advance(ServiceQueue &Q, const OrganisationName &Line, Time Now,
               GuardActions &Out);
  /// The attempt has to wait until no other suspect runs.
  bool isBlockedSuspect(const Attempt &A) const;
  /// Brings the queue of a service in line with its servers: refuses what no
  /// server can take and starts what can run.
  void settle(const ServiceName &Service, Time Now, GuardActions &Out);
  void settleAll(Time Now, GuardActions &Out);
  void dropExpired(Time Now, GuardActions &Out);
  Reason reasonUnserved(const ServiceName &Service) const;
  OrganisationName payer(const OrganisationName &Organisation) const;
  std::uint32_t share(const OrganisationName &Payer) const;
  std::size_t queueLimit(const ServiceName &Service) const;
  Duration retryAfter(const ServiceName &Service);

  // GuardEnds.cpp: how attempts end.
  /// Takes a waiting attempt out and refuses it.
  void refuseWaiting(const AttemptId &Id, Reason Why, Time Now,
                     GuardActions &Out, Duration RetryAfter = {});
  void refuse(const DispatchInfo &Info, Reason Why, Duration RetryAfter,
              Time Now, GuardActions &Out);
  /// Tells the entry how a running attempt ended, once.
  void report(Attempt &A, AttemptFailed Failure, GuardActions &Out);
  void abort(Attempt &A, GuardActions &Out);
  void abortOverdue(Time Now, GuardActions &Out);
  /// Ends the attempts of a server that started again.
  void endInterrupted(const BackendServerName &Name, std::uint64_t Incarnation,
                      bool Crashed, GuardActions &Out);
  std::uint64_t crashId(const BackendServerName &Name,
                        std::uint64_t Incarnation) const;
  /// Records a crash with all attempts that ran on the server.
  void recordCrash(const BackendServerName &Name, std::uint64_t Incarnation,
                   Time Now, GuardActions &Out);
  void reportResult(Attempt &A, const RunResult &Result, GuardActions &Out);
  void release(const Attempt &A, Time Now);

  GuardSettings Settings;
  std::shared_ptr<const ActiveConfig> Config;
  std::map<ServiceName, std::uint32_t> QueuePerSlot;
  /// Services whose servers are never ejected.
  std::set<ServiceName> JudgedByRisk;
  ServerTable Servers;
  ServerRisk Risk;
  DependencyLimits Dependencies;
  std::map<ServiceName, ServiceQueue> Queues;
  std::map<AttemptId, Attempt> Attempts;
  GuardKeys Keys;
  CrashTable Crashes;
  bool SuspectRunning = false;
  std::uint64_t NextOrder = 0;
  bool Draining = false;
};

} // namespace teaselhitch

#endif

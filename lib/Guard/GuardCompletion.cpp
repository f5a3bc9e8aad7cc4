#include "GuardCore.h"
#include "teaselhitch/Support/Hash.h"

#include <cassert>
#include <string>
#include <utility>

namespace teaselhitch {

namespace {

/// After a failed connection, a server gets no work for this time. Otherwise it
/// would attract and fail the attempts of the whole queue.
constexpr Duration ConnectPause = Duration(100);

AttemptFailed failure(Reason Cause) {
  AttemptFailed F;
  F.Cause = Cause;
  F.Result = reasonInfo(Cause).Result;
  return F;
}

} // namespace

GuardActions GuardCore::cancel(const AttemptId &Id, Time Now) {
  GuardActions Out;
  auto It = Attempts.find(Id);
  if (It == Attempts.end())
    return Out;
  if (It->second.Running)
    abort(It->second, Out);
  else
    refuseWaiting(Id, Reason::DeadlineExpired, Now, Out);
  return Out;
}

GuardActions GuardCore::finished(const AttemptId &Id, const RunResult &Result,
                                 Time Now) {
  GuardActions Out;
  auto It = Attempts.find(Id);
  if (It == Attempts.end() || !It->second.Running)
    return Out;
  GuardedServer *Server = Servers.find(It->second.Server);
  bool SameIncarnation =
      Server != nullptr && Server->Incarnation == It->second.ServerIncarnation;
  if (SameIncarnation && Result.End == RunEnd::ConnectFailed)
    Server->PausedUntil = Now + ConnectPause;
  if (Result.End == RunEnd::Crashed && !It->second.CrashRecorded)
    recordCrash(It->second.Server, It->second.ServerIncarnation, Now, Out);
  bool IsGone =
      Result.End == RunEnd::Crashed || Result.End == RunEnd::OtherServer;
  if (SameIncarnation && IsGone)
    Servers.setGone(*Server);
  Risk.recordFinish(It->second.Server, It->second.Info, Result, Now);
  if (Result.End == RunEnd::Answered)
    Crashes.recordAnswer(It->second.Info.Fingerprint);
  reportResult(It->second, Result, Out);
  releaseSlot(It->second, Now);
  ServiceName Service = It->second.Info.Service;
  bool WasSuspect = It->second.Suspect;
  Attempts.erase(It);
  if (WasSuspect) {
    SuspectRunning = false;
    updateAllQueues(Now, Out);
  }
  updateQueue(Service, Now, Out);
  Servers.publish(Out);
  return Out;
}

void GuardCore::recordProgress(const AttemptId &Id, Time Now) {
  auto It = Attempts.find(Id);
  if (It != Attempts.end() && It->second.Running)
    Risk.recordProgress(It->second.Server, It->second.Info, Now);
}

void GuardCore::refuse(const DispatchInfo &Info, Reason Cause,
                       Duration RetryAfter, Time Now, GuardActions &Out) {
  AttemptFailed F = failure(Cause);
  F.Attempt = Info.Attempt;
  F.RetryAfter = RetryAfter;
  F.Load = load(Info.Preferred, Now);
  Out.emplace_back(std::move(F));
}

void GuardCore::refuseWaiting(const AttemptId &Id, Reason Cause, Time Now,
                              GuardActions &Out, Duration RetryAfter) {
  auto It = Attempts.find(Id);
  assert(It != Attempts.end() && !It->second.Running &&
         "attempt must be waiting");
  const Attempt &A = It->second;
  Queues[A.Info.Service].Queue.erase(A.Account, A.queueEntry());
  refuse(A.Info, Cause, RetryAfter, Now, Out);
  if (A.Key)
    Keys.release(*A.Key);
  Attempts.erase(It);
}

void GuardCore::report(Attempt &A, AttemptFailed Failure, GuardActions &Out) {
  if (std::exchange(A.Reported, true))
    return;
  Failure.Attempt = A.Info.Attempt;
  Out.emplace_back(std::move(Failure));
}

void GuardCore::abort(Attempt &A, GuardActions &Out) {
  if (!std::exchange(A.Aborted, true))
    Out.emplace_back(AbortAttempt{A.Info.Attempt});
}

void GuardCore::abortOverdue(Time Now, GuardActions &Out) {
  for (auto &[Id, A] : Attempts) {
    if (!A.Running || A.Reported || A.Deadline > Now)
      continue;
    abort(A, Out);
    report(A, failure(Reason::DeadlineExpiredRunning), Out);
  }
}

void GuardCore::reportOverdue(Time Now, GuardActions &Out) {
  for (auto &[Id, A] : Attempts) {
    if (!A.Running || A.Reported || A.Overdue || !A.Info.Idempotent ||
        !Risk.isOverdue(A.Server, A.Info, Now - A.StartedAt, Now))
      continue;
    A.Overdue = true;
    Out.emplace_back(AttemptOverdue{Id, load(A.Server, Now)});
  }
}

void GuardCore::endInterrupted(const BackendServerName &Name,
                               std::uint64_t Incarnation, bool Crashed,
                               GuardActions &Out) {
  for (auto &[Id, A] : Attempts) {
    if (!A.Running || A.Server != Name || A.ServerIncarnation == Incarnation)
      continue;
    abort(A, Out);
    AttemptFailed F = failure(Reason::BackendServerFailed);
    F.Crashed = Crashed;
    report(A, std::move(F), Out);
  }
}

std::uint64_t GuardCore::crashId(const BackendServerName &Name,
                                 std::uint64_t Incarnation) const {
  return hash64(Settings.Node.str() + "/" + Name.str() + "/" +
                std::to_string(Incarnation));
}

void GuardCore::recordCrash(const BackendServerName &Name,
                            std::uint64_t Incarnation, Time Now,
                            GuardActions &Out) {
  std::vector<CrashTable::RunningAttempt> Running;
  for (auto &[Id, A] : Attempts) {
    if (!A.Running || A.Server != Name || A.ServerIncarnation != Incarnation)
      continue;
    A.CrashRecorded = true;
    Running.push_back({A.Info.Fingerprint, A.Info.Service, A.StartedAt});
  }
  Crashes.recordCrash(crashId(Name, Incarnation), Running, Now, Out);
}

void GuardCore::reportResult(Attempt &A, const RunResult &Result,
                             GuardActions &Out) {
  switch (Result.End) {
  case RunEnd::Answered:
    A.Reported = true;
    return;
  case RunEnd::Shed: {
    AttemptFailed F = failure(Reason::Shed);
    F.RetryAfter = retryAfter(A.Info.Service);
    report(A, std::move(F), Out);
    return;
  }
  case RunEnd::ConnectFailed:
  case RunEnd::OtherServer:
    report(A, failure(Reason::NoBackendServer), Out);
    return;
  case RunEnd::ConnectionLost:
    report(A, failure(Reason::BackendServerFailed), Out);
    return;
  case RunEnd::Withdrawn:
    report(A, failure(Reason::GrantExpired), Out);
    return;
  case RunEnd::TooLarge:
    report(A, failure(Reason::AnswerTooLarge), Out);
    return;
  case RunEnd::Crashed: {
    AttemptFailed F = failure(Reason::BackendServerFailed);
    F.Crashed = true;
    report(A, std::move(F), Out);
    return;
  }
  case RunEnd::Aborted:
    report(A, failure(Reason::DeadlineExpiredRunning), Out);
    return;
  }
}

void GuardCore::releaseSlot(const Attempt &A, Time Now) {
  GuardedServer *Server = Servers.find(A.Server);
  assert(Server != nullptr && Server->InProgress != 0 &&
         "server with attempts in progress must be kept");
  --Server->InProgress;
  if (A.Trial)
    Server->TrialInProgress = false;
  Queues[A.Info.Service].Shares.recordFinish(A.Account, A.Charged,
                                             Now - A.StartedAt);
}

} // namespace teaselhitch

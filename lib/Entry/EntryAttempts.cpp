#include "EntryCore.h"
#include "teaselhitch/Guard/GuardKey.h"

#include <algorithm>
#include <cassert>

namespace teaselhitch {

namespace {

/// `Retry-After` when nothing better is known.
constexpr Duration DefaultRetryAfter = Duration::seconds(1);
/// Guards that are asked to queue a request before it is refused. The first
/// ones are the least loaded; more would refuse it as well.
constexpr std::uint32_t MaxLenientDispatches = 3;
constexpr unsigned FirstServerError = 500;

/// A refusal by a guard costs no backend server any work: another one can run
/// the request at once, without the retry budget.
bool isGuardRefusal(const AttemptFailed &Failure) {
  return Failure.Result == Outcome::NotRun && Failure.Why != Reason::Shed;
}

/// A guard's decision on the request itself; another guard would not decide
/// otherwise.
bool isFinalRefusal(Reason Why) {
  return Why == Reason::Quarantined || Why == Reason::BadRequest ||
         Why == Reason::OverShare || Why == Reason::DeadlineExpired;
}

} // namespace

/// First only backend servers that can run the request now; if there are none,
/// the guards may queue it.
Selection EntryCore::selectNext(PendingRequest &P, Time Now) {
  Selection Next = Servers.choose(P, Now);
  if (Next.Server || P.Lenient)
    return Next;
  P.Lenient = true;
  P.Declined.clear();
  return Servers.choose(P, Now);
}

void EntryCore::startAttempt(PendingRequest &P, Time Now,
                             EntryActions &Actions) {
  Selection Next = selectNext(P, Now);
  bool Enough = P.Lenient && P.LenientDispatches >= MaxLenientDispatches;
  if (!Next.Server || Enough)
    return fail(P, P.LastFailure.value_or(Reason::NoBackendServer), Now,
                Actions);
  send(P, Next.Server->Id, Next.IsTrial, Now, Actions);
}

void EntryCore::startGuardKeyAttempt(PendingRequest &P, Time Now,
                                     EntryActions &Actions) {
  std::optional<GuardKey> Owner = parseGuardKey(P.GuardKey);
  if (!Owner)
    return fail(P, Reason::BadRequest, Now, Actions);
  const auto &Nodes = Servers.view().Nodes;
  auto It = Nodes ? Nodes->find(Owner->Node) : decltype(Nodes->end())();
  bool IsOwn = Owner->Node == Settings.Node &&
               Owner->Incarnation == Settings.Incarnation;
  bool IsKnown = Nodes && It != Nodes->end() &&
                 It->second.Version.Incarnation == Owner->Incarnation;
  if (!IsOwn && !IsKnown)
    return fail(P, Reason::KeyOwnerGone, Now, Actions);
  P.Lenient = true;
  send(P, BackendServerId{Owner->Node, BackendServerName()}, false, Now,
       Actions);
}

void EntryCore::send(PendingRequest &P, const BackendServerId &Server,
                     bool IsTrial, Time Now, EntryActions &Actions) {
  if (!P.ClaimRow.empty() && Now - P.ClaimedAt > Settings.ClaimLifetime)
    return fail(P, Reason::ClaimStoreUnavailable, Now, Actions);
  const Rule &R = *P.Target.MatchedRule;
  RunningAttempt Attempt;
  Attempt.Id = AttemptId{P.Id, ++P.Dispatches};
  Attempt.Server = Server;
  Attempt.IsTrial = IsTrial;
  Attempt.IsStrict = !P.Lenient && !IsTrial;
  P.LenientDispatches += P.Lenient ? 1 : 0;
  P.Running.push_back(Attempt);
  Servers.load().attemptStarted(Server);
  DispatchInfo Info;
  Info.Attempt = Attempt.Id;
  Info.Service = P.Target.To.TargetService->Name;
  Info.Rule = R.Name;
  Info.Preferred = Server.Name;
  Info.Organisation = P.Organisation;
  Info.Idempotent = R.Idempotent;
  Info.Paid = R.Paid;
  Info.Priority = R.Priority;
  Info.Strict = Attempt.IsStrict;
  Info.MayReturn = P.LenientDispatches == 1;
  Info.Objective = P.Objective;
  Info.Remaining = P.Deadline - Now;
  Info.GuardKey = P.GuardKey;
  Info.Fingerprint = P.Fingerprint;
  Info.Baseline = baseline(P).baseline(Now);
  Actions.push_back(SendAttempt{Server.Node, std::move(Info)});
}

PendingRequest *EntryCore::endAttempt(const AttemptId &Attempt,
                                      RunningAttempt &Ended) {
  PendingRequest *P = Requests.find(Attempt.Request);
  const RunningAttempt *Found = P ? P->running(Attempt) : nullptr;
  if (!Found) {
    ++Strays;
    return nullptr;
  }
  Ended = *Found;
  Servers.load().attemptEnded(Ended.Server);
  P->removeRunning(Attempt);
  return P;
}

EntryActions EntryCore::answered(const AttemptAnswer &Answer, Time Now) {
  EntryActions Actions;
  RunningAttempt Ended;
  PendingRequest *P = endAttempt(Answer.Attempt, Ended);
  if (!P)
    return Actions;
  bool Success = Answer.Answer.Status < FirstServerError;
  // The guard may have used another backend server than the preferred one.
  Servers.load().recordAnswer(BackendServerId{Ended.Server.Node, Answer.RanOn},
                              Success, Answer.RunTime, Answer.Load, Now);
  baseline(*P).record(Success, Answer.RunTime, Now);
  cancelRunning(*P, Actions);
  Actions.push_back(ReplyAnswer{Answer.Attempt});
  finish(*P, Outcome::Completed, Now, Actions);
  return Actions;
}

EntryActions EntryCore::failed(const AttemptFailed &Failure, Time Now) {
  EntryActions Actions;
  RunningAttempt Ended;
  PendingRequest *P = endAttempt(Failure.Attempt, Ended);
  if (!P)
    return Actions;
  if (Failure.Why == Reason::LinkLost)
    Servers.load().recordPathFailure(Ended.Server);
  else if (Failure.Result == Outcome::Unknown)
    baseline(*P).record(false, Duration(), Now);
  Servers.load().recordLoad(Ended.Server, Failure.Load, Now);
  retryOrFail(*P, Ended, Failure, Now, Actions);
  return Actions;
}

bool EntryCore::mayRepeat(const PendingRequest &P, const AttemptFailed &Failure,
                          Time Now) const {
  bool Ran = Failure.Result != Outcome::NotRun;
  bool IsSafe = !Ran || P.Target.MatchedRule->Idempotent;
  // Only the guard that issued a key can run it. A crashed backend server may
  // have crashed because of this request.
  return IsSafe && !Failure.Crashed && P.GuardKey.empty() &&
         !isFinalRefusal(Failure.Why) && P.Deadline > Now &&
         P.Tried.size() < P.Target.MatchedRule->Attempts;
}

void EntryCore::retryOrFail(PendingRequest &P, const RunningAttempt &Ended,
                            const AttemptFailed &Failure, Time Now,
                            EntryActions &Actions) {
  bool Ran = Failure.Result != Outcome::NotRun;
  // What may have run explains the end better than a later refusal.
  if (Ran || !P.MayHaveRun)
    P.LastFailure = Failure.Why;
  P.MayHaveRun = P.MayHaveRun || Ran;
  bool IsRefusal = isGuardRefusal(Failure);
  (IsRefusal ? P.Declined : P.Tried).push_back(Ended.Server);
  // It was given back from a queue: others may have a free slot by now.
  bool IsReturned =
      Failure.Why == Reason::Suspected && !Ended.IsStrict && P.Lenient;
  if (IsReturned) {
    P.Lenient = false;
    P.Declined = {Ended.Server};
  }
  if (!IsRefusal) {
    P.Lenient = false;
    P.LenientDispatches = 0;
    P.Declined.clear();
  }
  auto End = [&](Reason Why) {
    // A hedge still runs and may bring the answer.
    if (P.Running.empty())
      fail(P, Why, P.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
           Failure.RetryAfter, Now, Actions);
  };
  if (!mayRepeat(P, Failure, Now))
    return End(Failure.Why);
  bool Free = Ended.IsTrial || IsRefusal;
  if (!Free && !budget(P).tryRetry(Now))
    return End(Ran ? Failure.Why : Reason::RetryBudgetSpent);
  // A hedge is worth a free slot, but not a place in a queue.
  if (!P.Running.empty()) {
    Selection Next = Servers.choose(P, Now);
    if (Next.Server)
      send(P, Next.Server->Id, Next.IsTrial, Now, Actions);
    return;
  }
  startAttempt(P, Now, Actions);
}

EntryActions EntryCore::overdue(const AttemptOverdue &Notice, Time Now) {
  EntryActions Actions;
  PendingRequest *P = Requests.find(Notice.Attempt.Request);
  const RunningAttempt *Slow = P ? P->running(Notice.Attempt) : nullptr;
  if (!Slow)
    return Actions;
  BackendServerId Server = Slow->Server;
  Servers.load().recordLoad(Server, Notice.Load, Now);
  if (!P->Target.MatchedRule->Idempotent || P->Running.size() > 1 ||
      !P->GuardKey.empty() ||
      P->Tried.size() + 1 >= P->Target.MatchedRule->Attempts)
    return Actions;
  P->Declined.push_back(Server);
  P->Lenient = false;
  Selection Next = Servers.choose(*P, Now);
  if (!Next.Server || !budget(*P).tryRetry(Now))
    return Actions;
  send(*P, Next.Server->Id, Next.IsTrial, Now, Actions);
  return Actions;
}

void EntryCore::cancelRunning(PendingRequest &P, EntryActions &Actions) {
  for (const RunningAttempt &R : P.Running) {
    Actions.push_back(SendCancel{R.Server.Node, R.Id});
    Servers.load().attemptEnded(R.Server);
    P.MayHaveRun = true;
  }
  P.Running.clear();
}

void EntryCore::fail(PendingRequest &P, Reason Why, Time Now,
                     EntryActions &Actions) {
  Outcome Result = P.MayHaveRun ? Outcome::Unknown : reasonInfo(Why).Result;
  fail(P, Why, Result, Duration(), Now, Actions);
}

void EntryCore::fail(PendingRequest &P, Reason Why, Outcome Result,
                     Duration RetryAfter, Time Now, EntryActions &Actions) {
  assert((Result != Outcome::NotRun || !P.MayHaveRun) &&
         "a request that may have run is never reported as not run");
  Duration After = RetryAfter.ms() > 0 ? RetryAfter : DefaultRetryAfter;
  Actions.push_back(ReplyFailure{P.Id, Why, Result, After});
  finish(P, Result, Now, Actions);
}

void EntryCore::finish(PendingRequest &P, Outcome Result, Time Now,
                       EntryActions &Actions) {
  std::string ClaimRow = std::move(P.ClaimRow);
  RequestId Id = P.Id;
  bool Release = Result == Outcome::NotRun && P.ClaimSent;
  Requests.remove(Id);
  if (Release)
    applyClaims(KeyClaims.release(Id, ClaimRow), Now, Actions);
}

} // namespace teaselhitch

#include "EntryCore.h"
#include "teaselhitch/Guard/GuardKey.h"
#include "teaselhitch/Model/Risk.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace teaselhitch {

namespace {

/// `Retry-After` when nothing better is known.
constexpr Duration DefaultRetryAfter = Duration::seconds(1);
/// Guards that are asked for a free slot one after the other. Each costs a
/// round trip; where five have none, most have none.
constexpr std::size_t MaxStrictOffers = 5;
/// Guards at which a request may wait at the same time. The first slot that
/// gets free takes it; more guards gain little and cost messages.
constexpr std::uint32_t ParallelOffers = 3;
/// Guards that are asked to queue a request before it is refused.
constexpr std::uint32_t MaxLenientOffers = 6;
/// A guard answers an offer that it may not queue at once. Without an answer
/// the path or the node is in trouble; nothing ran, so another guard is asked.
constexpr Duration OfferTimeout = Duration(80);
/// Share of attempts that run longer when the entry hedges without a notice of
/// the guard, which may be cut off.
constexpr double UnansweredShare = 0.01;
/// Greatest risk, in percent, that the first offers of the last attempt that a
/// request has accept. A backend server that answered within the last seconds
/// has less, one of which nothing is known has more; where none has, the
/// guards' own limits decide.
constexpr std::array<std::uint32_t, 3> FirstRiskPercents = {4, 7, 12};
constexpr unsigned FirstServerError = 500;
constexpr unsigned GatewayTimeout = 504;

/// A refusal by a guard costs no backend server any work: another one can run
/// the request at once, without the retry budget.
bool isGuardRefusal(const AttemptFailed &Failure) {
  return Failure.Result == Outcome::NotRun && Failure.Why != Reason::Shed;
}

/// Greatest risk that the next offer of a request accepts.
std::uint32_t maxRiskPercent(const PendingRequest &P) {
  if (P.Lenient || P.hasSpareAttempt() ||
      P.StrictOffers >= FirstRiskPercents.size())
    return AnyRiskPercent;
  return FirstRiskPercents.at(P.StrictOffers);
}

/// A guard's decision on the request itself; another guard would not decide
/// otherwise.
bool isFinalRefusal(Reason Why) {
  return Why == Reason::Quarantined || Why == Reason::BadRequest ||
         Why == Reason::OverShare || Why == Reason::DeadlineExpired ||
         Why == Reason::DependencyBusy;
}

} // namespace

RunTimeModel &EntryCore::runTimes(const PendingRequest &P) {
  constexpr double RunTimesPerObjective = 3;
  return RunTimes
      .try_emplace(P.Target.MatchedRule->Name,
                   P.Objective * (1 / RunTimesPerObjective))
      .first->second;
}

/// First asks guards that can run the request now, one after the other; if
/// there are none, it waits at several.
void EntryCore::startAttempt(PendingRequest &P, Time Now,
                             EntryActions &Actions) {
  if (!P.ClaimRow.empty() && Now - P.ClaimedAt > Settings.ClaimLifetime)
    return fail(P, Reason::ClaimStoreUnavailable, Now, Actions);
  if (!P.Lenient) {
    Selection Next =
        P.StrictOffers < MaxStrictOffers ? Servers.choose(P, Now) : Selection();
    if (Next.Server) {
      offer(P, Next, Now, Actions);
      ++P.StrictOffers;
      return;
    }
    P.Lenient = true;
    P.Declined.clear();
    for (const RunningAttempt &R : P.Running)
      P.Declined.push_back(R.Server);
  }
  offerLeniently(P, Now, Actions);
}

void EntryCore::offerLeniently(PendingRequest &P, Time Now,
                               EntryActions &Actions) {
  while (P.Running.size() < ParallelOffers &&
         P.LenientOffers < MaxLenientOffers) {
    Selection Next = Servers.choose(P, Now);
    if (!Next.Server)
      break;
    ++P.LenientOffers;
    P.Declined.push_back(Next.Server->Id);
    offer(P, Next, Now, Actions);
  }
  if (P.Running.empty())
    fail(P, P.LastFailure.value_or(Reason::NoBackendServer), Now, Actions);
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
  BackendServerRecord Any;
  Any.Id.Node = Owner->Node;
  offer(P, {&Any, false}, Now, Actions);
}

void EntryCore::offer(PendingRequest &P, const Selection &To, Time Now,
                      EntryActions &Actions) {
  RunningAttempt Attempt;
  Attempt.Id = AttemptId{P.Id, ++P.Dispatches};
  Attempt.Server = To.Server->Id;
  Attempt.IsTrial = To.IsTrial;
  Attempt.IsStrict = !P.Lenient && !To.IsTrial;
  Attempt.Since = Now;
  SendOffer Action{Attempt.Server.Node, describe(P, Attempt, Now)};
  P.Running.push_back(Attempt);
  Servers.load().attemptStarted(Attempt.Server);
  Actions.push_back(std::move(Action));
}

DispatchInfo EntryCore::describe(PendingRequest &P,
                                 const RunningAttempt &Attempt, Time Now) {
  const Rule &R = *P.Target.MatchedRule;
  DispatchInfo Info;
  Info.Attempt = Attempt.Id;
  Info.Service = P.Target.To.TargetService->Name;
  Info.Rule = R.Name;
  Info.Preferred = Attempt.Server.Name;
  Info.Organisation = P.Organisation;
  Info.Idempotent = R.Idempotent;
  Info.Paid = R.Paid;
  Info.Priority = P.Priority;
  Info.Strict = Attempt.IsStrict;
  Info.AvoidsRisk = P.Lenient && !Servers.isMostlyRisky(P, Now);
  Info.MaxRiskPercent = maxRiskPercent(P);
  Info.Offers = P.Lenient ? ParallelOffers : 1;
  Info.Objective = P.Objective;
  Info.ObjectiveLeft = P.ArrivedAt + P.Objective - Now;
  Info.Remaining = P.Deadline - Now;
  Info.GuardKey = P.GuardKey;
  Info.Fingerprint = P.Fingerprint;
  Info.Baseline = baseline(P).baseline(Now);
  return Info;
}

EntryActions EntryCore::granted(const Grant &Granted, Time Now) {
  EntryActions Actions;
  PendingRequest *P = Requests.find(Granted.Attempt.Request);
  RunningAttempt *Attempt = P ? P->running(Granted.Attempt) : nullptr;
  // What was taken back is released by the cancellation.
  if (!Attempt || Attempt->IsSent)
    return Actions;
  Servers.load().recordLoad(Attempt->Server, Granted.Load, Now);
  Attempt->IsSent = true;
  Attempt->Since = Now;
  DispatchInfo Info = describe(*P, *Attempt, Now);
  Actions.push_back(SendAttempt{Attempt->Server.Node, std::move(Info)});
  cancelOffers(*P, Actions);
  return Actions;
}

void EntryCore::cancelOffers(PendingRequest &P, EntryActions &Actions) {
  std::erase_if(P.Running, [&](const RunningAttempt &R) {
    if (R.IsSent)
      return false;
    Actions.push_back(SendCancel{R.Server.Node, R.Id});
    Servers.load().attemptEnded(R.Server);
    return true;
  });
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
  unsigned Status = Answer.Answer.Status;
  bool Success = Status < FirstServerError;
  // The guard may have used another backend server than the preferred one.
  Servers.load().recordAnswer(BackendServerId{Ended.Server.Node, Answer.RanOn},
                              Success, Answer.RunTime, Answer.Load, Now);
  baseline(*P).record(Success, Answer.RunTime, Now);
  if (Success)
    runTimes(*P).record(Now - Ended.Since);
  // After a timeout there is no time left for another try.
  if (!Success && Status != GatewayTimeout &&
      retryAnswer(*P, Ended, Now, Actions)) {
    Actions.push_back(KeepAnswer{Answer.Attempt});
    return Actions;
  }
  cancelRunning(*P, Actions);
  Actions.push_back(ReplyAnswer{Answer.Attempt});
  finish(*P, Outcome::Completed, Now, Actions);
  return Actions;
}

bool EntryCore::retryAnswer(PendingRequest &P, const RunningAttempt &Ended,
                            Time Now, EntryActions &Actions) {
  if (!P.Target.MatchedRule->Idempotent || !P.GuardKey.empty())
    return false;
  P.MayHaveRun = true;
  P.LastFailure = Reason::BackendServerFailed;
  P.Tried.push_back(Ended.Server);
  if (!P.Running.empty())
    return true;
  if (P.Tried.size() >= P.Target.MatchedRule->Attempts || P.Deadline <= Now)
    return false;
  P.startPass();
  Selection Next = Servers.choose(P, Now);
  if (!Next.Server || !budget(P).tryRetry(Now))
    return false;
  offer(P, Next, Now, Actions);
  return true;
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

/// A guard did not take the attempt; nothing ran.
void EntryCore::declined(PendingRequest &P, const RunningAttempt &Ended,
                         const AttemptFailed &Failure, Time Now,
                         EntryActions &Actions) {
  if (!P.hasDeclined(Ended.Server))
    P.Declined.push_back(Ended.Server);
  // It waited there, and the backend server turned bad: others may have a free
  // slot by now.
  bool HasWaited = !Ended.IsStrict && Now - Ended.Since > OfferTimeout;
  if (HasWaited && Failure.Why == Reason::Suspected && P.Running.empty()) {
    P.startPass();
    P.Declined = {Ended.Server};
  }
  // A hedge waits for a slot as well: the attempt beside it most likely hangs.
  startAttempt(P, Now, Actions);
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
  if (!IsRefusal) {
    P.Tried.push_back(Ended.Server);
    P.startPass();
  }
  bool MayGoOn = mayRepeat(P, Failure, Now);
  if (MayGoOn && IsRefusal)
    return declined(P, Ended, Failure, Now, Actions);
  // Another attempt still runs, or other guards may still grant it.
  if (P.isSent() || (!P.Running.empty() && !isFinalRefusal(Failure.Why)))
    return;
  bool Free = Ended.IsTrial;
  if (MayGoOn && (Free || budget(P).tryRetry(Now)))
    return startAttempt(P, Now, Actions);
  Reason Why =
      MayGoOn && !Ran ? Reason::RetryBudgetSpent : P.LastFailure.value();
  cancelRunning(P, Actions);
  fail(P, Why, P.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
       Failure.RetryAfter, Now, Actions);
}

EntryActions EntryCore::overdue(const AttemptOverdue &Notice, Time Now) {
  EntryActions Actions;
  PendingRequest *P = Requests.find(Notice.Attempt.Request);
  const RunningAttempt *Slow = P ? P->running(Notice.Attempt) : nullptr;
  if (!Slow)
    return Actions;
  Servers.load().recordLoad(Slow->Server, Notice.Load, Now);
  hedge(*P, Now, Actions);
  return Actions;
}

bool EntryCore::hedge(PendingRequest &P, Time Now, EntryActions &Actions) {
  if (P.IsHedged || !P.Target.MatchedRule->Idempotent || !P.GuardKey.empty() ||
      P.Running.size() != 1 || !P.isSent() ||
      P.Tried.size() + 1 >= P.Target.MatchedRule->Attempts)
    return false;
  P.startPass();
  P.Declined = {P.Running.front().Server};
  if (!Servers.choose(P, Now).Server || !budget(P).tryRetry(Now))
    return false;
  P.IsHedged = true;
  startAttempt(P, Now, Actions);
  return true;
}

/// Hedges attempts of which nothing was heard for long.
void EntryCore::hedgeOverdue(Time Now, EntryActions &Actions) {
  Requests.forEach([&](PendingRequest &P) {
    if (P.IsHedged || P.Running.size() != 1 || !P.isSent() ||
        !P.Target.MatchedRule->Idempotent)
      return;
    Duration Elapsed = Now - P.Running.front().Since;
    if (runTimes(P).survival(Elapsed) < UnansweredShare)
      hedge(P, Now, Actions);
  });
}

/// Asks other guards where an offer got no answer.
void EntryCore::endOverdueOffers(Time Now, EntryActions &Actions) {
  std::vector<AttemptId> Overdue;
  Requests.forEach([&](PendingRequest &P) {
    for (const RunningAttempt &R : P.Running)
      if (!R.IsSent && R.IsStrict && Now - R.Since > OfferTimeout)
        Overdue.push_back(R.Id);
  });
  for (const AttemptId &Id : Overdue) {
    RunningAttempt Ended;
    PendingRequest *P = endAttempt(Id, Ended);
    if (!P)
      continue;
    Actions.push_back(SendCancel{Ended.Server.Node, Id});
    Servers.load().recordPathFailure(Ended.Server);
    AttemptFailed Failure;
    Failure.Attempt = Id;
    Failure.Why = Reason::LinkLost;
    Failure.Result = Outcome::NotRun;
    retryOrFail(*P, Ended, Failure, Now, Actions);
  }
}

void EntryCore::cancelRunning(PendingRequest &P, EntryActions &Actions) {
  for (const RunningAttempt &R : P.Running) {
    Actions.push_back(SendCancel{R.Server.Node, R.Id});
    Servers.load().attemptEnded(R.Server);
    P.MayHaveRun = P.MayHaveRun || R.IsSent;
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

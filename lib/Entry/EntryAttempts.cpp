#include "EntryCore.h"
#include "teaselhitch/Guard/GuardKey.h"
#include "teaselhitch/Model/Risk.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace teaselhitch {

namespace {

/// `Retry-After` when no better estimate is available.
constexpr Duration DefaultRetryAfter = Duration::seconds(1);
/// Maximum number of strict offers, which are made one after the other. Each
/// costs a round trip; if five guards have no free slot, most have none.
constexpr std::size_t MaxStrictOffers = 5;
/// The same for a request that can run again, in a service most of whose guards
/// have no free slot. A request that must not run twice looks longer for a
/// backend server with evidence of health.
constexpr std::size_t MaxStrictOffersWhenBusy = 2;
/// Number of strict offers to near guards before remote ones are asked. An
/// entry learns the load of a guard from its replies, a few times a second: in
/// a full domain it would otherwise ask only near guards, and queue the request
/// there while a remote domain is idle.
constexpr std::size_t MaxNearStrictOffers = 2;
/// Share of busy guards from which a service counts as busy.
constexpr double BusyThreshold = 0.7;
/// Weight of the newest offer in the share of busy guards.
constexpr double BusySmoothing = 0.05;
/// Maximum number of guards that are asked to queue a request before it is
/// refused.
constexpr std::uint32_t MaxQueueableOffers = 6;
/// A guard answers a strict offer at once, because it may not queue it. If the
/// answer is missing, the path or the node has a fault; nothing ran, so another
/// guard is asked.
constexpr Duration OfferTimeout = Duration(80);
/// Survival probability below which the entry hedges an attempt without a
/// notice from its guard. The guard may be cut off and its notice lost.
constexpr double HedgeSurvival = 0.01;
/// Maximum risk, in percent, that the first offers of the last possible attempt
/// of a request accept. A backend server that answered within the last seconds
/// is below these limits; one without recent data is above them. If no backend
/// server is below them, the guards' own limits decide.
constexpr std::array<std::uint32_t, 3> StrictOfferRiskPercents = {4, 7, 12};
constexpr unsigned MinServerErrorStatus = 500;
constexpr unsigned GatewayTimeoutStatus = 504;

/// Returns true if the guard refused the attempt. The refusal causes no work on
/// a backend server, so another one can run the request at once, without using
/// the retry budget.
bool isGuardRefusal(const AttemptFailed &Failure) {
  return Failure.Result == Outcome::NotRun && Failure.Cause != Reason::Shed;
}

/// Returns the maximum risk that the next offer of a request accepts.
std::uint32_t maxRiskPercent(const PendingRequest &P) {
  if (P.IsQueueable || P.hasSpareAttempt() ||
      P.StrictOffers >= StrictOfferRiskPercents.size())
    return AnyRiskPercent;
  return StrictOfferRiskPercents.at(P.StrictOffers);
}

/// Returns true if the refusal concerns the request itself, so that other
/// guards would refuse it as well. A request within the rate of its
/// organisation may be over the share at one guard and not at another.
bool isFinalRefusal(const PendingRequest &P, Reason Why) {
  if (Why == Reason::OverShare)
    return !P.HasCredit;
  return Why == Reason::Quarantined || Why == Reason::BadRequest ||
         Why == Reason::DeadlineExpired || Why == Reason::DependencyBusy;
}

} // namespace

RunTimeModel &EntryCore::runTimeModel(const PendingRequest &P) {
  constexpr double RunTimesPerObjective = 3;
  return RunTimes
      .try_emplace(P.Target.MatchedRule->Name,
                   P.Objective * (1 / RunTimesPerObjective))
      .first->second;
}

/// Makes the next strict offer. If no backend server is left for one, offers
/// the request to several guards that may queue it.
void EntryCore::startAttempt(PendingRequest &P, Time Now,
                             EntryActions &Actions) {
  if (!P.ClaimRow.empty() && Now - P.ClaimedAt > Settings.ClaimLifetime)
    return fail(P, Reason::ClaimStoreUnavailable, Now, Actions);
  if (!P.IsQueueable) {
    std::size_t MaxOffers = maxStrictOffers(P);
    P.SearchesRemote =
        P.StrictOffers >= std::min(MaxNearStrictOffers, MaxOffers - 1);
    Selection Next =
        P.StrictOffers < MaxOffers ? Selector.choose(P, Now) : Selection();
    if (Next.Server) {
      sendOffer(P, Next, Now, Actions);
      ++P.StrictOffers;
      return;
    }
    P.IsQueueable = true;
    P.Declined.clear();
    for (const RunningAttempt &R : P.Running)
      P.Declined.push_back(R.Server);
  }
  sendQueueableOffers(P, Now, Actions);
}

std::size_t EntryCore::maxStrictOffers(const PendingRequest &P) const {
  auto It = BusyShares.find(P.Target.Dest.TargetService->Name);
  bool IsBusy = It != BusyShares.end() && It->second > BusyThreshold;
  return IsBusy && P.Target.MatchedRule->Idempotent ? MaxStrictOffersWhenBusy
                                                    : MaxStrictOffers;
}

void EntryCore::recordStrictOffer(const PendingRequest &P, bool WasBusy) {
  double &Share = BusyShares[P.Target.Dest.TargetService->Name];
  Share += BusySmoothing * ((WasBusy ? 1 : 0) - Share);
}

void EntryCore::sendQueueableOffers(PendingRequest &P, Time Now,
                                    EntryActions &Actions) {
  while (P.Running.size() < ParallelOffers &&
         P.QueueableOffers < MaxQueueableOffers) {
    Selection Next = Selector.choose(P, Now);
    if (!Next.Server)
      break;
    ++P.QueueableOffers;
    P.Declined.push_back(Next.Server->Id);
    sendOffer(P, Next, Now, Actions);
  }
  if (P.Running.empty())
    fail(P, P.LastFailure.value_or(Reason::NoBackendServer), Now, Actions);
}

void EntryCore::startGuardKeyAttempt(PendingRequest &P, Time Now,
                                     EntryActions &Actions) {
  std::optional<GuardKey> Owner = parseGuardKey(P.GuardKey);
  if (!Owner)
    return fail(P, Reason::BadRequest, Now, Actions);
  const auto &Nodes = Selector.view().Nodes;
  auto It = Nodes ? Nodes->find(Owner->Node) : decltype(Nodes->end())();
  bool IsOwn = Owner->Node == Settings.Node &&
               Owner->Incarnation == Settings.Incarnation;
  bool IsKnown = Nodes && It != Nodes->end() &&
                 It->second.Version.Incarnation == Owner->Incarnation;
  if (!IsOwn && !IsKnown)
    return fail(P, Reason::KeyOwnerGone, Now, Actions);
  P.IsQueueable = true;
  BackendServerRecord AnyServer;
  AnyServer.Id.Node = Owner->Node;
  sendOffer(P, {&AnyServer, false}, Now, Actions);
}

void EntryCore::sendOffer(PendingRequest &P, const Selection &Chosen, Time Now,
                          EntryActions &Actions) {
  RunningAttempt Attempt;
  Attempt.Id = AttemptId{P.Id, ++P.Dispatches};
  Attempt.Server = Chosen.Server->Id;
  Attempt.IsTrial = Chosen.IsTrial;
  Attempt.IsStrict = !P.IsQueueable && !Chosen.IsTrial;
  Attempt.PhaseStart = Now;
  SendOffer Action{Attempt.Server.Node, makeDispatchInfo(P, Attempt, Now)};
  P.Running.push_back(Attempt);
  Selector.load().recordAttemptStart(Attempt.Server);
  Actions.push_back(std::move(Action));
}

DispatchInfo EntryCore::makeDispatchInfo(PendingRequest &P,
                                         const RunningAttempt &Attempt,
                                         Time Now) {
  const Rule &R = *P.Target.MatchedRule;
  DispatchInfo Info;
  Info.Attempt = Attempt.Id;
  Info.Service = P.Target.Dest.TargetService->Name;
  Info.Rule = R.Name;
  Info.Preferred = Attempt.Server.Name;
  Info.Organisation = P.Organisation;
  Info.Idempotent = R.Idempotent;
  Info.Paid = R.Paid;
  Info.IsRepeat = P.IsRepeat || !P.Tried.empty() ||
                  std::any_of(P.Running.begin(), P.Running.end(),
                              [&](const RunningAttempt &Other) {
                                return Other.IsSent && Other.Id != Attempt.Id;
                              });
  Info.Priority = P.Priority;
  Info.Strict = Attempt.IsStrict;
  Info.AvoidsRisk = P.IsQueueable && !Selector.isMostlyRisky(P, Now);
  Info.MaxRiskPercent = maxRiskPercent(P);
  Info.Offers = P.IsQueueable ? ParallelOffers : 1;
  Info.Objective = P.Objective;
  Info.ObjectiveLeft = P.ArrivedAt + P.Objective - Now;
  Info.Remaining = P.Deadline - Now;
  Info.GuardKey = P.GuardKey;
  Info.Fingerprint = P.Fingerprint;
  Info.BodyBytes = P.BodyBytes;
  Info.Baseline = baseline(P).baseline(Now);
  return Info;
}

EntryActions EntryCore::handleGrant(const Grant &Granted, Time Now) {
  EntryActions Actions;
  PendingRequest *P = Requests.find(Granted.Attempt.Request);
  RunningAttempt *Attempt = P ? P->findRunning(Granted.Attempt) : nullptr;
  // The slot of a cancelled offer is released by the cancellation.
  if (!Attempt || Attempt->IsSent)
    return Actions;
  // After a pause of this process, the grant may be handled before the deadline
  // is noticed.
  if (P->Deadline <= Now) {
    expire(*P, Now, Actions);
    return Actions;
  }
  Selector.load().recordLoad(Attempt->Server, Granted.Load, Now);
  if (Attempt->IsStrict)
    recordStrictOffer(*P, false);
  Attempt->IsSent = true;
  Attempt->PhaseStart = Now;
  DispatchInfo Info = makeDispatchInfo(*P, *Attempt, Now);
  Actions.push_back(SendAttempt{Attempt->Server.Node, std::move(Info)});
  cancelOffers(*P, Actions);
  return Actions;
}

void EntryCore::cancelOffers(PendingRequest &P, EntryActions &Actions) {
  std::erase_if(P.Running, [&](const RunningAttempt &R) {
    if (R.IsSent)
      return false;
    Actions.push_back(SendCancel{R.Server.Node, R.Id});
    Selector.load().recordAttemptEnd(R.Server);
    return true;
  });
}

PendingRequest *EntryCore::endAttempt(const AttemptId &Attempt,
                                      RunningAttempt &Ended) {
  PendingRequest *P = Requests.find(Attempt.Request);
  const RunningAttempt *Found = P ? P->findRunning(Attempt) : nullptr;
  if (!Found) {
    ++StrayCount;
    return nullptr;
  }
  Ended = *Found;
  Selector.load().recordAttemptEnd(Ended.Server);
  P->removeRunning(Attempt);
  return P;
}

EntryActions EntryCore::handleAnswer(const AttemptAnswer &Answer, Time Now) {
  EntryActions Actions;
  RunningAttempt Ended;
  PendingRequest *P = endAttempt(Answer.Attempt, Ended);
  if (!P)
    return Actions;
  unsigned Status = Answer.Answer.Status;
  bool Success = Status < MinServerErrorStatus;
  // The guard may have used another backend server than the preferred one.
  Selector.load().recordAnswer(
      BackendServerId{Ended.Server.Node, Answer.Server}, Success,
      Answer.RunTime, Answer.Load, Now);
  baseline(*P).record(Success, Answer.RunTime, Now);
  if (Success)
    runTimeModel(*P).record(Now - Ended.PhaseStart);
  // After a timeout no time is left for another attempt.
  if (!Success && Status != GatewayTimeoutStatus &&
      retryErrorAnswer(*P, Ended, Now, Actions)) {
    Actions.push_back(KeepAnswer{Answer.Attempt});
    return Actions;
  }
  cancelRunning(*P, Actions);
  Actions.push_back(ReplyAnswer{Answer.Attempt});
  finish(*P, Outcome::Completed, Now, Actions);
  return Actions;
}

bool EntryCore::retryErrorAnswer(PendingRequest &P, const RunningAttempt &Ended,
                                 Time Now, EntryActions &Actions) {
  if (!P.Target.MatchedRule->Idempotent || !P.GuardKey.empty())
    return false;
  P.MayHaveRun = true;
  P.LastFailure = Reason::BackendServerFailed;
  P.Tried.push_back(Ended.Server);
  if (!P.Running.empty())
    return true;
  if (P.Tried.size() >= P.Target.MatchedRule->MaxAttempts || P.Deadline <= Now)
    return false;
  P.resetOffers();
  Selection Next = Selector.choose(P, Now);
  if (!Next.Server || !budget(P).tryRetry(Now))
    return false;
  sendOffer(P, Next, Now, Actions);
  return true;
}

EntryActions EntryCore::handleFailure(const AttemptFailed &Failure, Time Now) {
  EntryActions Actions;
  RunningAttempt Ended;
  PendingRequest *P = endAttempt(Failure.Attempt, Ended);
  if (!P)
    return Actions;
  if (Failure.Cause == Reason::LinkLost)
    Selector.load().recordPathFailure(Ended.Server);
  else if (Failure.Result == Outcome::Unknown)
    baseline(*P).record(false, Duration(), Now);
  Selector.load().recordLoad(Ended.Server, Failure.Load, Now);
  retryOrFail(*P, Ended, Failure, Now, Actions);
  return Actions;
}

bool EntryCore::canRetry(const PendingRequest &P, const AttemptFailed &Failure,
                         Time Now) const {
  bool AttemptMayHaveRun = Failure.Result != Outcome::NotRun;
  bool IsSafe = !AttemptMayHaveRun || P.Target.MatchedRule->Idempotent;
  // Only the guard that issued a key can run its request. If a backend server
  // crashed, this request may be the cause.
  return IsSafe && !Failure.Crashed && P.GuardKey.empty() &&
         !isFinalRefusal(P, Failure.Cause) && P.Deadline > Now &&
         P.Tried.size() < P.Target.MatchedRule->MaxAttempts;
}

/// Handles the refusal of an attempt by its guard; nothing ran.
void EntryCore::handleRefusal(PendingRequest &P, const RunningAttempt &Ended,
                              const AttemptFailed &Failure, Time Now,
                              EntryActions &Actions) {
  if (!P.hasDeclined(Ended.Server))
    P.Declined.push_back(Ended.Server);
  if (Ended.IsStrict)
    recordStrictOffer(P, Failure.Cause == Reason::Busy);
  // The request was queued there until the backend server became suspected.
  // Other backend servers may have a free slot by now.
  bool WasQueued = !Ended.IsStrict && Now - Ended.PhaseStart > OfferTimeout;
  if (WasQueued && Failure.Cause == Reason::Suspected && P.Running.empty()) {
    P.resetOffers();
    P.Declined = {Ended.Server};
  }
  // A hedge is queued as well, because the first attempt most likely hangs.
  startAttempt(P, Now, Actions);
}

void EntryCore::retryOrFail(PendingRequest &P, const RunningAttempt &Ended,
                            const AttemptFailed &Failure, Time Now,
                            EntryActions &Actions) {
  bool AttemptMayHaveRun = Failure.Result != Outcome::NotRun;
  // A failure of an attempt that may have run explains the result better than a
  // later refusal.
  if (AttemptMayHaveRun || !P.MayHaveRun)
    P.LastFailure = Failure.Cause;
  P.MayHaveRun = P.MayHaveRun || AttemptMayHaveRun;
  bool IsRefusal = isGuardRefusal(Failure);
  if (!IsRefusal) {
    P.Tried.push_back(Ended.Server);
    P.resetOffers();
  }
  bool CanRetry = canRetry(P, Failure, Now);
  if (CanRetry && IsRefusal)
    return handleRefusal(P, Ended, Failure, Now, Actions);
  // Another attempt is still running, or another guard may still grant its
  // offer.
  if (P.isSent() || (!P.Running.empty() && !isFinalRefusal(P, Failure.Cause)))
    return;
  bool SkipsBudget = Ended.IsTrial;
  if (CanRetry && (SkipsBudget || budget(P).tryRetry(Now)))
    return startAttempt(P, Now, Actions);
  Reason Why = CanRetry && !AttemptMayHaveRun ? Reason::RetryBudgetSpent
                                              : P.LastFailure.value();
  cancelRunning(P, Actions);
  fail(P, Why, P.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
       Failure.RetryAfter, Now, Actions);
}

EntryActions EntryCore::handleOverdue(const AttemptOverdue &Notice, Time Now) {
  EntryActions Actions;
  PendingRequest *P = Requests.find(Notice.Attempt.Request);
  const RunningAttempt *Slow = P ? P->findRunning(Notice.Attempt) : nullptr;
  if (!Slow)
    return Actions;
  Selector.load().recordLoad(Slow->Server, Notice.Load, Now);
  hedge(*P, Now, Actions);
  return Actions;
}

bool EntryCore::hedge(PendingRequest &P, Time Now, EntryActions &Actions) {
  if (P.IsHedged || !P.Target.MatchedRule->Idempotent || !P.GuardKey.empty() ||
      P.Running.size() != 1 || !P.isSent() ||
      P.Tried.size() + 1 >= P.Target.MatchedRule->MaxAttempts)
    return false;
  P.resetOffers();
  P.Declined = {P.Running.front().Server};
  if (!Selector.choose(P, Now).Server || !budget(P).tryRetry(Now))
    return false;
  P.IsHedged = true;
  startAttempt(P, Now, Actions);
  return true;
}

/// Hedges attempts that have had no answer for an unusually long time.
void EntryCore::hedgeOverdue(Time Now, EntryActions &Actions) {
  Requests.forEach([&](PendingRequest &P) {
    if (P.IsHedged || P.Running.size() != 1 || !P.isSent() ||
        !P.Target.MatchedRule->Idempotent)
      return;
    Duration Elapsed = Now - P.Running.front().PhaseStart;
    if (runTimeModel(P).survival(Elapsed) < HedgeSurvival)
      hedge(P, Now, Actions);
  });
}

/// Cancels strict offers without an answer and asks other guards.
void EntryCore::expireOffers(Time Now, EntryActions &Actions) {
  std::vector<AttemptId> Overdue;
  Requests.forEach([&](PendingRequest &P) {
    for (const RunningAttempt &R : P.Running)
      if (!R.IsSent && R.IsStrict && Now - R.PhaseStart > OfferTimeout)
        Overdue.push_back(R.Id);
  });
  for (const AttemptId &Id : Overdue) {
    RunningAttempt Ended;
    PendingRequest *P = endAttempt(Id, Ended);
    if (!P)
      continue;
    Actions.push_back(SendCancel{Ended.Server.Node, Id});
    Selector.load().recordPathFailure(Ended.Server);
    AttemptFailed Failure;
    Failure.Attempt = Id;
    Failure.Cause = Reason::LinkLost;
    Failure.Result = Outcome::NotRun;
    retryOrFail(*P, Ended, Failure, Now, Actions);
  }
}

void EntryCore::cancelRunning(PendingRequest &P, EntryActions &Actions) {
  for (const RunningAttempt &R : P.Running) {
    Actions.push_back(SendCancel{R.Server.Node, R.Id});
    Selector.load().recordAttemptEnd(R.Server);
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
  Duration Delay = RetryAfter.ms() > 0 ? RetryAfter : DefaultRetryAfter;
  Actions.push_back(ReplyFailure{P.Id, Why, Result, Delay});
  finish(P, Result, Now, Actions);
}

void EntryCore::finish(PendingRequest &P, Outcome Result, Time Now,
                       EntryActions &Actions) {
  std::string ClaimRow = std::move(P.ClaimRow);
  RequestId Id = P.Id;
  releaseCredit(P, Result, Now);
  bool ReleaseClaim = Result == Outcome::NotRun && P.ClaimSent;
  Requests.remove(Id);
  if (ReleaseClaim)
    applyClaimOutput(KeyClaims.release(Id, ClaimRow), Now, Actions);
}

} // namespace teaselhitch

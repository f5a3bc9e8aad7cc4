#include "teaselhitch/Entry/Entry.h"

#include "RequestTable.h"
#include "teaselhitch/Detection/Baseline.h"
#include "teaselhitch/Entry/Claims.h"
#include "teaselhitch/Entry/RetryBudget.h"
#include "teaselhitch/Guard/GuardKey.h"
#include "teaselhitch/Routing/Balancer.h"
#include "teaselhitch/Routing/LoadTracker.h"
#include "teaselhitch/Routing/RuleTable.h"
#include "teaselhitch/Support/Hash.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>

namespace teaselhitch {

namespace {

/// Share of idempotent requests that are offered to an ejected backend server
/// first; its guard runs only a rationed number of them.
constexpr double TrialShare = 0.02;
/// A pass over the load figures of all backend servers takes milliseconds at
/// the target size, so it is rare.
constexpr Duration PruneInterval = Duration::seconds(60);
/// `Retry-After` when nothing better is known.
constexpr Duration DefaultRetryAfter = Duration::seconds(1);

/// Keys that start so were issued by guards.
constexpr const char *GuardKeyPrefix = "th1.";

/// A refusal that cost no backend server any work does not use up the retry
/// budget: another node can run the request at once.
bool isFreeRetry(Reason Why) {
  return Why == Reason::Draining || Why == Reason::NoBackendServer;
}

/// A guard's decision on the request itself; another guard would not decide
/// otherwise.
bool isFinalRefusal(Reason Why) {
  return Why == Reason::Quarantined || Why == Reason::BadRequest ||
         Why == Reason::OverShare || Why == Reason::DeadlineExpired;
}

class EntryImpl final : public Entry {
public:
  EntryImpl(EntrySettings Settings, RandomSource &Random,
            std::unique_ptr<Balancer> Chosen)
      : Settings(std::move(Settings)), Random(Random),
        Choice(std::move(Chosen)) {}

  void configure(std::shared_ptr<const ActiveConfig> Config) override {
    Rules = std::make_shared<RuleTable>(std::move(Config));
  }

  void updateView(std::shared_ptr<const FleetView> NewView) override {
    View = std::move(NewView);
  }

  void drain() override { Draining = true; }

  bool isIdle() const override { return Requests.isEmpty() && Mints.empty(); }

  RequestId accept(const CallerRequest &Request, Time Now,
                   EntryActions &Actions) override;
  EntryActions mintKey(std::uint64_t Token, const ServiceName &Service,
                       Time Now) override;
  EntryActions answered(const AttemptAnswer &Answer, Time Now) override;
  EntryActions failed(const AttemptFailed &Failure, Time Now) override;
  EntryActions keyMinted(const KeyMinted &Minted, Time Now) override;
  EntryActions tableReply(const TableReply &Reply, Time Now) override;
  EntryActions callerGone(const RequestId &Request, Time Now) override;
  EntryActions tick(Time Now) override;

  std::uint64_t strayMessages() const override { return Strays; }

private:
  std::optional<Reason> refuseEarly(const CallerRequest &Request,
                                    const Route *Target) const;
  PendingRequest makePending(const CallerRequest &Request, const Route &Target,
                             Time Now) const;
  void startAttempt(PendingRequest &P, Time Now, EntryActions &Actions);
  void startGuardKeyAttempt(PendingRequest &P, Time Now, EntryActions &Actions);
  void startClaim(PendingRequest &P, Time Now, EntryActions &Actions);
  void send(PendingRequest &P, const NodeName &GuardNode,
            const BackendServerName &Preferred, Time Now,
            EntryActions &Actions);
  const BackendServerRecord *chooseServer(const PendingRequest &P, Time Now);
  Candidate makeCandidate(const BackendServerRecord &Server, Time Now) const;
  void retryOrFail(PendingRequest &P, const AttemptFailed &Failure, Time Now,
                   EntryActions &Actions);
  void fail(PendingRequest &P, Reason Why, Outcome Result, Duration RetryAfter,
            Time Now, EntryActions &Actions);
  void fail(PendingRequest &P, Reason Why, Time Now, EntryActions &Actions);
  void finish(PendingRequest &P, Outcome Result, Time Now,
              EntryActions &Actions);
  void applyClaims(ClaimStep Step, Time Now, EntryActions &Actions);
  PendingRequest *findAttempt(const AttemptId &Attempt);
  void recordFailure(const PendingRequest &P, Time Now) {
    Baselines[P.Target.TargetService->Name].record(false, Duration(), Now);
  }
  void expire(PendingRequest &P, Time Now, EntryActions &Actions);

  EntrySettings Settings;
  RandomSource &Random;
  std::unique_ptr<Balancer> Choice;
  std::shared_ptr<const RuleTable> Rules;
  std::shared_ptr<const FleetView> View = std::make_shared<FleetView>();
  LoadTracker Load;
  std::unordered_map<ServiceName, BaselineTracker> Baselines;
  std::unordered_map<ServiceName, RetryBudget> Budgets;
  RequestTable Requests;
  Claims KeyClaims;
  /// Deadlines of key requests by token.
  std::unordered_map<std::uint64_t, Time> Mints;
  Time PrunedAt;
  std::uint64_t NextSequence = 1;
  std::uint64_t Strays = 0;
  bool Draining = false;
};

std::optional<Reason> EntryImpl::refuseEarly(const CallerRequest &Request,
                                             const Route *Target) const {
  if (Draining)
    return Reason::Draining;
  if (!Rules)
    return Reason::NoConfiguration;
  if (!Target)
    return Reason::NoRule;
  if (!Rules->knowsOrganisation(Request.Organisation))
    return Reason::UnknownOrganisation;
  if (Request.BodyBytes > Target->ServiceLimit->MaxBodyBytes)
    return Reason::BodyTooLarge;
  if (Request.Deadline && Request.Deadline->ms() <= 0)
    return Reason::DeadlineExpired;
  if (Requests.size() >= Settings.MaxRequests)
    return Reason::Overloaded;
  return std::nullopt;
}

PendingRequest EntryImpl::makePending(const CallerRequest &Request,
                                      const Route &Target, Time Now) const {
  const Rule &R = *Target.MatchedRule;
  PendingRequest P;
  P.Rules = Rules;
  P.Target = Target;
  P.Organisation = Request.Organisation;
  P.Deadline =
      Now + std::min(R.Deadline, Request.Deadline.value_or(R.Deadline));
  if (Request.Key.rfind(GuardKeyPrefix, 0) == 0)
    P.GuardKey = Request.Key;
  else if (!Request.Key.empty() && !R.Idempotent)
    P.ClaimRow = Claims::rowKey(Request.Organisation, R.Name, Request.Key);
  std::string Identity = Request.Key.empty() ? std::to_string(Request.BodyHash)
                                             : "key " + Request.Key;
  P.Fingerprint =
      hash64(Request.Organisation.str() + "\n" + R.Name.str() + "\n" +
             Request.Method + " " + Request.Path + "\n" + Identity);
  return P;
}

RequestId EntryImpl::accept(const CallerRequest &Request, Time Now,
                            EntryActions &Actions) {
  RequestId Id{Settings.Node, Settings.Incarnation, NextSequence++};
  const Route *Target =
      Rules ? Rules->match(Request.Method, Request.Path) : nullptr;
  if (std::optional<Reason> Why = refuseEarly(Request, Target)) {
    Actions.push_back(
        ReplyFailure{Id, *Why, reasonInfo(*Why).Result, DefaultRetryAfter});
    return Id;
  }
  PendingRequest &P = Requests.add(Id, makePending(Request, *Target, Now));
  Budgets[Target->TargetService->Name].requestArrived(
      Target->ServiceLimit->RetryPercent, Now);
  if (!P.GuardKey.empty())
    startGuardKeyAttempt(P, Now, Actions);
  else if (!P.ClaimRow.empty())
    startClaim(P, Now, Actions);
  else
    startAttempt(P, Now, Actions);
  return Id;
}

Candidate EntryImpl::makeCandidate(const BackendServerRecord &Server,
                                   Time Now) const {
  Candidate C;
  C.Server = &Server;
  if (Server.Id.Node == Settings.Node)
    C.Away = Distance::OwnInstance;
  else if (Server.Domain == Settings.Domain)
    C.Away = Distance::OwnDomain;
  Load.describe(C, Now);
  return C;
}

const BackendServerRecord *EntryImpl::chooseServer(const PendingRequest &P,
                                                   Time Now) {
  auto It = View->Services.find(P.Target.TargetService->Name);
  if (It == View->Services.end())
    return nullptr;
  std::vector<Candidate> InUse;
  std::vector<Candidate> Ejected;
  for (const BackendServerRecord &Server : *It->second) {
    if (Server.State != BackendServerState::Ready || P.hasTried(Server.Id) ||
        !selects(*P.Target.Target, Server))
      continue;
    bool IsEjected = Server.Health == BackendServerHealth::Ejected;
    (IsEjected ? Ejected : InUse).push_back(makeCandidate(Server, Now));
  }
  bool Trial = !Ejected.empty() && P.Tried.empty() &&
               P.Target.MatchedRule->Idempotent &&
               Random.uniform() < TrialShare;
  const std::vector<Candidate> &From = Trial ? Ejected : InUse;
  std::optional<std::size_t> Chosen = Choice->choose(From, Random);
  return Chosen ? From[*Chosen].Server : nullptr;
}

void EntryImpl::startAttempt(PendingRequest &P, Time Now,
                             EntryActions &Actions) {
  const BackendServerRecord *Server = chooseServer(P, Now);
  if (!Server)
    return fail(P, P.LastFailure.value_or(Reason::NoBackendServer), Now,
                Actions);
  P.IsTrial = Server->Health == BackendServerHealth::Ejected;
  send(P, Server->Id.Node, Server->Id.Name, Now, Actions);
}

void EntryImpl::startGuardKeyAttempt(PendingRequest &P, Time Now,
                                     EntryActions &Actions) {
  std::optional<GuardKey> Owner = parseGuardKey(P.GuardKey);
  if (!Owner)
    return fail(P, Reason::BadRequest, Now, Actions);
  const auto &Nodes = View->Nodes;
  auto It = Nodes ? Nodes->find(Owner->Node) : decltype(Nodes->end())();
  bool IsOwn = Owner->Node == Settings.Node &&
               Owner->Incarnation == Settings.Incarnation;
  bool IsKnown = Nodes && It != Nodes->end() &&
                 It->second.Version.Incarnation == Owner->Incarnation;
  if (!IsOwn && !IsKnown)
    return fail(P, Reason::KeyOwnerGone, Now, Actions);
  send(P, Owner->Node, BackendServerName(), Now, Actions);
}

void EntryImpl::startClaim(PendingRequest &P, Time Now, EntryActions &Actions) {
  P.ClaimedAt = Now;
  P.ClaimSent = true;
  applyClaims(KeyClaims.claim(P.Id, P.ClaimRow), Now, Actions);
}

void EntryImpl::send(PendingRequest &P, const NodeName &GuardNode,
                     const BackendServerName &Preferred, Time Now,
                     EntryActions &Actions) {
  if (!P.ClaimRow.empty() && Now - P.ClaimedAt > Settings.ClaimLifetime)
    return fail(P, Reason::ClaimStoreUnavailable, Now, Actions);
  const Rule &R = *P.Target.MatchedRule;
  P.Attempt = AttemptId{P.Id, ++P.Attempts};
  P.Server = BackendServerId{GuardNode, Preferred};
  P.Tried.push_back(P.Server);
  P.InFlight = true;
  Load.attemptStarted(P.Server);
  DispatchInfo Info;
  Info.Attempt = P.Attempt;
  Info.Service = P.Target.TargetService->Name;
  Info.Preferred = Preferred;
  Info.Organisation = P.Organisation;
  Info.Idempotent = R.Idempotent;
  Info.Paid = R.Paid;
  Info.Remaining = P.Deadline - Now;
  Info.GuardKey = P.GuardKey;
  Info.Fingerprint = P.Fingerprint;
  Info.Baseline = Baselines[Info.Service].baseline(Now);
  Actions.push_back(SendAttempt{GuardNode, std::move(Info)});
}

PendingRequest *EntryImpl::findAttempt(const AttemptId &Attempt) {
  PendingRequest *P = Requests.find(Attempt.Request);
  if (P && P->InFlight && P->Attempt == Attempt)
    return P;
  ++Strays;
  return nullptr;
}

EntryActions EntryImpl::answered(const AttemptAnswer &Answer, Time Now) {
  EntryActions Actions;
  PendingRequest *P = findAttempt(Answer.Attempt);
  if (!P)
    return Actions;
  constexpr unsigned FirstServerError = 500;
  bool Success = Answer.Answer.Status < FirstServerError;
  Load.attemptEnded(P->Server);
  // The guard may have used another backend server than the preferred one.
  Load.recordAnswer(BackendServerId{P->Server.Node, Answer.RanOn}, Success,
                    Answer.RunTime, Answer.InProgress, Now);
  Baselines[P->Target.TargetService->Name].record(Success, Answer.RunTime, Now);
  P->InFlight = false;
  Actions.push_back(ReplyAnswer{Answer.Attempt});
  finish(*P, Outcome::Completed, Now, Actions);
  return Actions;
}

EntryActions EntryImpl::failed(const AttemptFailed &Failure, Time Now) {
  EntryActions Actions;
  PendingRequest *P = findAttempt(Failure.Attempt);
  if (!P)
    return Actions;
  P->InFlight = false;
  Load.attemptEnded(P->Server);
  if (Failure.Why == Reason::LinkLost)
    Load.recordPathFailure(P->Server);
  else if (Failure.Result == Outcome::Unknown)
    recordFailure(*P, Now);
  retryOrFail(*P, Failure, Now, Actions);
  return Actions;
}

void EntryImpl::retryOrFail(PendingRequest &P, const AttemptFailed &Failure,
                            Time Now, EntryActions &Actions) {
  P.LastFailure = Failure.Why;
  bool Ran = Failure.Result != Outcome::NotRun;
  P.MayHaveRun = P.MayHaveRun || Ran;
  auto End = [&](Reason Why) {
    fail(P, Why, P.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
         Failure.RetryAfter, Now, Actions);
  };
  bool MayRepeat = !Ran || P.Target.MatchedRule->Idempotent;
  // Only the guard that issued a key can run it. A crashed backend server may
  // have crashed because of this request.
  if (!MayRepeat || Failure.Crashed || !P.GuardKey.empty() ||
      isFinalRefusal(Failure.Why) || P.Attempts >= Settings.MaxAttempts ||
      P.Deadline <= Now)
    return End(Failure.Why);
  bool Free = P.IsTrial || isFreeRetry(Failure.Why);
  if (!Free && !Budgets[P.Target.TargetService->Name].tryRetry(Now))
    return End(Ran ? Failure.Why : Reason::RetryBudgetSpent);
  startAttempt(P, Now, Actions);
}

void EntryImpl::fail(PendingRequest &P, Reason Why, Time Now,
                     EntryActions &Actions) {
  Outcome Result = P.MayHaveRun ? Outcome::Unknown : reasonInfo(Why).Result;
  fail(P, Why, Result, Duration(), Now, Actions);
}

void EntryImpl::fail(PendingRequest &P, Reason Why, Outcome Result,
                     Duration RetryAfter, Time Now, EntryActions &Actions) {
  assert((Result != Outcome::NotRun || !P.MayHaveRun) &&
         "a request that may have run is never reported as not run");
  Duration After = RetryAfter.ms() > 0 ? RetryAfter : DefaultRetryAfter;
  Actions.push_back(ReplyFailure{P.Id, Why, Result, After});
  finish(P, Result, Now, Actions);
}

void EntryImpl::finish(PendingRequest &P, Outcome Result, Time Now,
                       EntryActions &Actions) {
  std::string ClaimRow = std::move(P.ClaimRow);
  RequestId Id = P.Id;
  bool Release = Result == Outcome::NotRun && P.ClaimSent;
  Requests.remove(Id);
  if (Release)
    applyClaims(KeyClaims.release(Id, ClaimRow), Now, Actions);
}

void EntryImpl::applyClaims(ClaimStep Step, Time Now, EntryActions &Actions) {
  for (TableRequest &Request : Step.Requests)
    Actions.push_back(std::move(Request));
  for (const ClaimDecision &Decision : Step.Decisions) {
    PendingRequest *P = Requests.find(Decision.Request);
    if (!P) {
      // The request ended while its claim was on the way.
      if (Decision.Result == ClaimOutcome::Held)
        applyClaims(KeyClaims.release(Decision.Request, Decision.RowKey), Now,
                    Actions);
      continue;
    }
    switch (Decision.Result) {
    case ClaimOutcome::Held:
      startAttempt(*P, Now, Actions);
      break;
    case ClaimOutcome::AlreadyUsed:
      P->ClaimSent = false;
      fail(*P, Reason::KeyAlreadyUsed, Now, Actions);
      break;
    case ClaimOutcome::Unavailable:
      fail(*P, Reason::ClaimStoreUnavailable, Now, Actions);
      break;
    }
  }
}

EntryActions EntryImpl::tableReply(const TableReply &Reply, Time Now) {
  EntryActions Actions;
  applyClaims(KeyClaims.reply(Reply, Now), Now, Actions);
  return Actions;
}

EntryActions EntryImpl::callerGone(const RequestId &Request, Time Now) {
  EntryActions Actions;
  PendingRequest *P = Requests.find(Request);
  if (!P)
    return Actions;
  if (P->InFlight) {
    Actions.push_back(SendCancel{P->Server.Node, P->Attempt});
    Load.attemptEnded(P->Server);
    P->MayHaveRun = true;
  }
  finish(*P, P->MayHaveRun ? Outcome::Unknown : Outcome::NotRun, Now, Actions);
  return Actions;
}

void EntryImpl::expire(PendingRequest &P, Time Now, EntryActions &Actions) {
  if (P.InFlight) {
    Actions.push_back(SendCancel{P.Server.Node, P.Attempt});
    Load.attemptEnded(P.Server);
    recordFailure(P, Now);
    P.MayHaveRun = true;
  }
  fail(P,
       P.MayHaveRun ? Reason::DeadlineExpiredRunning : Reason::DeadlineExpired,
       Now, Actions);
}

EntryActions EntryImpl::tick(Time Now) {
  EntryActions Actions;
  for (const RequestId &Id : Requests.takeExpired(Now))
    if (PendingRequest *P = Requests.find(Id))
      expire(*P, Now, Actions);
  applyClaims(KeyClaims.tick(Now), Now, Actions);
  if (Now - PrunedAt > PruneInterval) {
    PrunedAt = Now;
    Load.prune(*View);
  }
  std::erase_if(Mints, [&](const auto &Item) {
    if (Item.second > Now)
      return false;
    Actions.push_back(ReplyKey{Item.first, "", Duration()});
    return true;
  });
  return Actions;
}

EntryActions EntryImpl::mintKey(std::uint64_t Token, const ServiceName &Service,
                                Time Now) {
  std::vector<Candidate> Candidates;
  auto It = View->Services.find(Service);
  if (It != View->Services.end() && !Draining)
    for (const BackendServerRecord &Server : *It->second)
      if (Server.isCapacity())
        Candidates.push_back(makeCandidate(Server, Now));
  std::optional<std::size_t> Chosen = Choice->choose(Candidates, Random);
  if (!Chosen)
    return {ReplyKey{Token, "", Duration()}};
  Mints.emplace(Token, Now + Settings.MintTimeout);
  return {SendMintKey{Candidates[*Chosen].Server->Id.Node,
                      MintKey{Token, Service}}};
}

EntryActions EntryImpl::keyMinted(const KeyMinted &Minted, Time) {
  if (Mints.erase(Minted.Token) == 0) {
    ++Strays;
    return {};
  }
  return {ReplyKey{Minted.Token, Minted.Key, Minted.ValidFor}};
}

} // namespace

Result<std::unique_ptr<Entry>> Entry::create(EntrySettings Settings,
                                             RandomSource &Random) {
  auto Chosen = BalancerRegistry::create(Settings.Balancer);
  if (!Chosen)
    return Chosen.error();
  return std::unique_ptr<Entry>(std::make_unique<EntryImpl>(
      std::move(Settings), Random, std::move(*Chosen)));
}

} // namespace teaselhitch

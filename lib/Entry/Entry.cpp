#include "EntryCore.h"
#include "teaselhitch/Support/Hash.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// A pass over the load figures of all backend servers takes milliseconds at
/// the target size, so it is rare.
constexpr Duration PruneInterval = Duration::seconds(60);
/// `Retry-After` when nothing better is known.
constexpr Duration DefaultRetryAfter = Duration::seconds(1);

/// Keys that start so were issued by guards.
constexpr const char *GuardKeyPrefix = "th1.";

/// A sub-request is one rank more urgent than the request that waits for it and
/// holds a slot meanwhile: refusing it wastes what that one has used.
std::uint32_t priorityOf(const CallerRequest &Request, const Rule &R) {
  if (!Request.ParentPriority)
    return R.Priority;
  return *Request.ParentPriority == 0 ? 0 : *Request.ParentPriority - 1;
}

} // namespace

EntryCore::EntryCore(EntrySettings Chosen, RandomSource &Random,
                     std::unique_ptr<Balancer> Choice)
    : Settings(std::move(Chosen)), Random(Random),
      Servers(Settings.Node, Settings.Domain, std::move(Choice), Random) {}

void EntryCore::configure(std::shared_ptr<const ActiveConfig> Config) {
  Rules = std::make_shared<RuleTable>(std::move(Config));
}

void EntryCore::updateView(std::shared_ptr<const FleetView> NewView) {
  Servers.updateView(std::move(NewView));
  const auto &Nodes = Servers.view().Nodes;
  if (Settings.FleetRetries == 0 || !Nodes)
    return;
  Allowance = RetryBudget::share(Settings.FleetRetries, Settings.RetryWindow,
                                 Nodes->size());
  for (auto &[Service, Budget] : Budgets)
    Budget.setAllowance(Allowance);
}

RetryBudget &EntryCore::budget(const PendingRequest &P) {
  auto [It, Inserted] = Budgets.try_emplace(P.Target.To.TargetService->Name);
  if (Inserted)
    It->second.setAllowance(Allowance);
  return It->second;
}

std::optional<Reason> EntryCore::refuseEarly(const CallerRequest &Request,
                                             const MatchedRule *Matched) const {
  if (Draining)
    return Reason::Draining;
  if (!Rules)
    return Reason::NoConfiguration;
  if (!Matched)
    return Reason::NoRule;
  if (!Rules->knowsOrganisation(Request.Organisation))
    return Reason::UnknownOrganisation;
  if (Request.Deadline && Request.Deadline->ms() <= 0)
    return Reason::DeadlineExpired;
  if (Requests.size() >= Settings.MaxRequests)
    return Reason::Overloaded;
  return std::nullopt;
}

PendingRequest EntryCore::makePending(const CallerRequest &Request,
                                      const Route &Target, Time Now) const {
  const Rule &R = *Target.MatchedRule;
  PendingRequest P;
  P.Rules = Rules;
  P.Target = Target;
  P.Organisation = Request.Organisation;
  P.CallerId = Request.CallerId;
  P.Priority = priorityOf(Request, R);
  P.ArrivedAt = Now;
  P.Objective = R.Objective.ms() > 0 ? R.Objective : R.Deadline;
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

RequestId EntryCore::accept(const CallerRequest &Request, Time Now,
                            EntryActions &Actions) {
  RequestId Id{Settings.Node, Settings.Incarnation, NextSequence++};
  const MatchedRule *Matched =
      Rules ? Rules->match(Request.Method, Request.Host, Request.Path)
            : nullptr;
  std::optional<Reason> Why = refuseEarly(Request, Matched);
  Route Target;
  if (!Why) {
    Target = Matched->choose(Random.uniform());
    if (Request.BodyBytes > Target.To.ServiceLimit->MaxBodyBytes)
      Why = Reason::BodyTooLarge;
  }
  if (Why) {
    Actions.push_back(
        ReplyFailure{Id, *Why, reasonInfo(*Why).Result, DefaultRetryAfter});
    return Id;
  }
  PendingRequest &P = Requests.add(Id, makePending(Request, Target, Now));
  budget(P).requestArrived(Target.To.ServiceLimit->RetryPercent, Now);
  if (!P.GuardKey.empty())
    startGuardKeyAttempt(P, Now, Actions);
  else if (!P.ClaimRow.empty())
    startClaim(P, Now, Actions);
  else
    startAttempt(P, Now, Actions);
  return Id;
}

void EntryCore::startClaim(PendingRequest &P, Time Now, EntryActions &Actions) {
  P.ClaimedAt = Now;
  P.ClaimSent = true;
  applyClaims(KeyClaims.claim(P.Id, P.ClaimRow), Now, Actions);
}

void EntryCore::applyClaims(ClaimStep Step, Time Now, EntryActions &Actions) {
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

EntryActions EntryCore::tableReply(const TableReply &Reply, Time Now) {
  EntryActions Actions;
  applyClaims(KeyClaims.reply(Reply, Now), Now, Actions);
  return Actions;
}

EntryActions EntryCore::callerGone(const RequestId &Request, Time Now) {
  EntryActions Actions;
  PendingRequest *P = Requests.find(Request);
  if (!P)
    return Actions;
  cancelRunning(*P, Actions);
  finish(*P, P->MayHaveRun ? Outcome::Unknown : Outcome::NotRun, Now, Actions);
  return Actions;
}

void EntryCore::expire(PendingRequest &P, Time Now, EntryActions &Actions) {
  if (P.isSent())
    baseline(P).record(false, Duration(), Now);
  cancelRunning(P, Actions);
  fail(P,
       P.MayHaveRun ? Reason::DeadlineExpiredRunning : Reason::DeadlineExpired,
       Now, Actions);
}

EntryActions EntryCore::tick(Time Now) {
  EntryActions Actions;
  for (const RequestId &Id : Requests.takeExpired(Now))
    if (PendingRequest *P = Requests.find(Id))
      expire(*P, Now, Actions);
  endOverdueOffers(Now, Actions);
  hedgeOverdue(Now, Actions);
  applyClaims(KeyClaims.tick(Now), Now, Actions);
  if (Now - PrunedAt > PruneInterval) {
    PrunedAt = Now;
    Servers.load().prune(Servers.view());
  }
  std::erase_if(Mints, [&](const auto &Item) {
    if (Item.second > Now)
      return false;
    Actions.push_back(ReplyKey{Item.first, "", Duration()});
    return true;
  });
  return Actions;
}

EntryActions EntryCore::mintKey(std::uint64_t Token, const ServiceName &Service,
                                Time Now) {
  const BackendServerRecord *Server =
      Draining ? nullptr : Servers.chooseAny(Service, Now);
  if (!Server)
    return {ReplyKey{Token, "", Duration()}};
  Mints.emplace(Token, Now + Settings.MintTimeout);
  return {SendMintKey{Server->Id.Node, MintKey{Token, Service}}};
}

EntryActions EntryCore::keyMinted(const KeyMinted &Minted, Time) {
  if (Mints.erase(Minted.Token) == 0) {
    ++Strays;
    return {};
  }
  return {ReplyKey{Minted.Token, Minted.Key, Minted.ValidFor}};
}

Result<std::unique_ptr<Entry>> Entry::create(EntrySettings Settings,
                                             RandomSource &Random) {
  auto Chosen = BalancerRegistry::create(Settings.Balancer);
  if (!Chosen)
    return Chosen.error();
  return std::unique_ptr<Entry>(std::make_unique<EntryCore>(
      std::move(Settings), Random, std::move(*Chosen)));
}

} // namespace teaselhitch

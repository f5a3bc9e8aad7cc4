#include "EntryCore.h"
#include "teaselhitch/Support/Hash.h"

#include <algorithm>
#include <utility>

namespace teaselhitch {

namespace {

/// Pruning scans the data of all backend servers, which takes milliseconds at
/// the target fleet size, so it is rare.
constexpr Duration PruneInterval = Duration::seconds(60);
/// `Retry-After` when no better estimate is available.
constexpr Duration DefaultRetryAfter = Duration::seconds(1);

/// Prefix of keys that were issued by guards.
constexpr const char *GuardKeyPrefix = "th1.";

/// Returns the queue priority of a request. A sub-request is one level more
/// urgent than its parent, which holds a slot while it waits: refusing the
/// sub-request would waste the work that the parent has done.
std::uint32_t requestPriority(const CallerRequest &Request, const Rule &R,
                              const Organisation *Owner) {
  if (!Request.ParentPriority)
    return Owner ? Owner->Priority.value_or(R.Priority) : R.Priority;
  return *Request.ParentPriority == 0 ? 0 : *Request.ParentPriority - 1;
}

} // namespace

EntryCore::EntryCore(EntrySettings InitialSettings, RandomSource &Random,
                     std::unique_ptr<Balancer> Policy)
    : Settings(std::move(InitialSettings)), Random(Random),
      Selector(Settings.Node, Settings.Domain, std::move(Policy), Random),
      Credits(Settings.Node) {}

void EntryCore::configure(std::shared_ptr<const ActiveConfig> Config) {
  if (Config)
    Credits.configure(rateLimits(Config->Objects), CreditOutput);
  Rules = std::make_shared<RuleTable>(std::move(Config));
  IsNewlyConfigured = true;
}

OrganisationName
EntryCore::organisationOf(const std::string &CredentialDigest) const {
  const Organisation *Owner =
      Rules ? Rules->findByKeyDigest(CredentialDigest) : nullptr;
  return Owner ? Owner->Name : OrganisationName();
}

void EntryCore::updateView(std::shared_ptr<const FleetView> NewView) {
  CreditView = NewView;
  Selector.updateView(std::move(NewView));
  const auto &Nodes = Selector.view().Nodes;
  if (!Settings.FleetRetries || !Nodes)
    return;
  auto Rank = static_cast<std::size_t>(
      std::distance(Nodes->begin(), Nodes->lower_bound(Settings.Node)));
  Allowance = RetryBudget::nodeAllowance(
      *Settings.FleetRetries, Settings.RetryWindow, Nodes->size(), Rank);
  for (auto &[Service, Budget] : Budgets)
    Budget.setAllowance(Allowance);
}

RetryBudget &EntryCore::budget(const PendingRequest &P) {
  auto [It, Inserted] = Budgets.try_emplace(P.Target.Dest.TargetService->Name);
  if (Inserted)
    It->second.setAllowance(Allowance);
  return It->second;
}

std::optional<Reason>
EntryCore::refusalReason(const CallerRequest &Request,
                         const MatchedRule *Matched,
                         const Organisation *Owner) const {
  if (Draining)
    return Reason::Draining;
  if (!Rules)
    return Reason::NoConfiguration;
  // A removed rule is reported as such to callers without a key, too: they must
  // be able to tell it from a key that was revoked.
  if (!Matched)
    return Reason::NoRule;
  if (Rules->requiresCredentials() && !Owner && !Matched->Object->IsPublic)
    return Reason::UnknownCredential;
  if (!Rules->requiresCredentials() &&
      !Rules->isKnownOrganisation(Request.Organisation))
    return Reason::UnknownOrganisation;
  if (Request.Deadline && *Request.Deadline <= Request.Waited)
    return Reason::DeadlineExpired;
  bool HasWaited = Request.Waited.ms() > 0;
  if (HasWaited && Matched->Object->Deadline <= Request.Waited)
    return Reason::DeadlineExpired;
  if (Requests.size() >= Settings.MaxRequests)
    return Reason::Overloaded;
  return std::nullopt;
}

PendingRequest EntryCore::makePendingRequest(const CallerRequest &Request,
                                             const Route &Target,
                                             const Organisation *Owner,
                                             Time Now) const {
  const Rule &R = *Target.MatchedRule;
  PendingRequest P;
  P.Rules = Rules;
  P.Target = Target;
  if (!Rules->requiresCredentials())
    P.Organisation = Request.Organisation;
  else if (Owner)
    P.Organisation = Owner->Name;
  else if (Request.ParentOrganisation)
    P.Organisation = *Request.ParentOrganisation;
  if (Owner && !R.IsPublic)
    P.CredentialDigest = Request.CredentialDigest;
  P.CallerId = Request.CallerId;
  P.Priority = requestPriority(Request, R, Owner);
  P.IsRepeat = Request.IsParentRepeated;
  P.ArrivedAt = Now - Request.Waited;
  P.Objective = R.Objective.ms() > 0 ? R.Objective : R.Deadline;
  P.Deadline =
      P.ArrivedAt + std::min(R.Deadline, Request.Deadline.value_or(R.Deadline));
  if (Request.Key.rfind(GuardKeyPrefix, 0) == 0)
    P.GuardKey = Request.Key;
  else if (!Request.Key.empty() && !R.Idempotent)
    P.ClaimRow = Claims::rowKey(P.Organisation, R.Name, Request.Key);
  std::string Identity = Request.Key.empty() ? std::to_string(Request.BodyHash)
                                             : "key " + Request.Key;
  P.BodyBytes = Request.BodyBytes;
  P.Fingerprint = hash64(P.Organisation.str() + "\n" + R.Name.str() + "\n" +
                         Request.Method + " " + Request.Path + "\n" + Identity);
  return P;
}

const MatchedRule *EntryCore::match(const CallerRequest &Request) const {
  return Rules ? Rules->match(Request.Method, Request.Host, Request.Path)
               : nullptr;
}

bool EntryCore::isIdempotent(const CallerRequest &Request) const {
  const MatchedRule *Matched = match(Request);
  return Matched && Matched->Object->Idempotent;
}

RequestId EntryCore::accept(const CallerRequest &Request, Time Now,
                            EntryActions &Actions) {
  RequestId Id{Settings.Node, Settings.Incarnation, NextSequence++};
  const MatchedRule *Matched = match(Request);
  const Organisation *Owner =
      Rules ? Rules->findByKeyDigest(Request.CredentialDigest) : nullptr;
  std::optional<Reason> Why = refusalReason(Request, Matched, Owner);
  Route Target;
  if (!Why) {
    Target = Matched->choose(Random.uniform());
    if (Request.BodyBytes > Target.Dest.ServiceLimit->MaxBodyBytes)
      Why = Reason::BodyTooLarge;
  }
  if (Why) {
    Actions.push_back(
        ReplyFailure{Id, *Why, reasonInfo(*Why).Result, DefaultRetryAfter});
    return Id;
  }
  PendingRequest &P =
      Requests.add(Id, makePendingRequest(Request, Target, Owner, Now));
  if (isCounted(Request, Owner))
    requestCredit(P, Now, Actions);
  else
    start(P, Now, Actions);
  return Id;
}

void EntryCore::start(PendingRequest &P, Time Now, EntryActions &Actions) {
  // A repeated run of the parent request repeats its sub-requests as well.
  if (P.IsRepeat)
    budget(P).recordUnavoidableRetry(Now);
  else
    budget(P).recordRequest(P.Target.Dest.ServiceLimit->RetryPercent, Now);
  if (!P.GuardKey.empty())
    startGuardKeyAttempt(P, Now, Actions);
  else if (!P.ClaimRow.empty())
    startClaim(P, Now, Actions);
  else
    startAttempt(P, Now, Actions);
}

void EntryCore::startClaim(PendingRequest &P, Time Now, EntryActions &Actions) {
  P.ClaimedAt = Now;
  P.ClaimSent = true;
  applyClaimOutput(KeyClaims.claim(P.Id, P.ClaimRow), Now, Actions);
}

void EntryCore::applyClaimOutput(ClaimOutput Output, Time Now,
                                 EntryActions &Actions) {
  for (TableRequest &Request : Output.Requests)
    Actions.push_back(std::move(Request));
  for (const ClaimDecision &Decision : Output.Decisions) {
    PendingRequest *P = Requests.find(Decision.Request);
    if (!P) {
      // The request ended while its claim was in progress.
      if (Decision.Result == ClaimOutcome::Held)
        applyClaimOutput(KeyClaims.release(Decision.Request, Decision.RowKey),
                         Now, Actions);
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

EntryActions EntryCore::handleTableReply(const TableReply &Reply, Time Now) {
  EntryActions Actions;
  applyClaimOutput(KeyClaims.reply(Reply, Now), Now, Actions);
  return Actions;
}

EntryActions EntryCore::handleCallerGone(const RequestId &Request, Time Now) {
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

void EntryCore::endRevoked(Time Now, EntryActions &Actions) {
  std::vector<RequestId> Revoked;
  if (Rules->requiresCredentials())
    Requests.forEach([&](const PendingRequest &P) {
      if (!P.CredentialDigest.empty() && !P.isSent() && !P.MayHaveRun &&
          !Rules->findByKeyDigest(P.CredentialDigest))
        Revoked.push_back(P.Id);
    });
  for (const RequestId &Id : Revoked) {
    PendingRequest &P = *Requests.find(Id);
    cancelRunning(P, Actions);
    fail(P, Reason::UnknownCredential, Now, Actions);
  }
}

EntryActions EntryCore::endRequests(Time Now) {
  std::vector<RequestId> Left;
  Requests.forEach([&](PendingRequest &P) { Left.push_back(P.Id); });
  EntryActions Actions;
  for (const RequestId &Id : Left) {
    PendingRequest *P = Requests.find(Id);
    if (!P)
      continue;
    cancelRunning(*P, Actions);
    fail(*P, P->MayHaveRun ? Reason::LinkLost : Reason::Draining, Now, Actions);
  }
  return Actions;
}

EntryActions EntryCore::tick(Time Now) {
  EntryActions Actions;
  if (std::exchange(IsNewlyConfigured, false))
    endRevoked(Now, Actions);
  for (const RequestId &Id : Requests.takeExpired(Now))
    if (PendingRequest *P = Requests.find(Id))
      expire(*P, Now, Actions);
  expireOffers(Now, Actions);
  hedgeOverdue(Now, Actions);
  applyClaimOutput(KeyClaims.tick(Now), Now, Actions);
  tickCredits(Now, Actions);
  if (Now - PrunedAt > PruneInterval) {
    PrunedAt = Now;
    Selector.load().prune(Selector.view());
  }
  std::erase_if(MintDeadlines, [&](const auto &Item) {
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
      Draining ? nullptr : Selector.chooseAny(Service, Now);
  if (!Server)
    return {ReplyKey{Token, "", Duration()}};
  MintDeadlines.emplace(Token, Now + Settings.MintTimeout);
  return {SendMintKey{Server->Id.Node, MintKey{Token, Service}}};
}

EntryActions EntryCore::handleKeyMinted(const KeyMinted &Minted, Time) {
  if (MintDeadlines.erase(Minted.Token) == 0) {
    ++StrayCount;
    return {};
  }
  return {ReplyKey{Minted.Token, Minted.Key, Minted.ValidFor}};
}

Result<std::unique_ptr<Entry>> Entry::create(EntrySettings Settings,
                                             RandomSource &Random) {
  auto Policy = BalancerRegistry::create(Settings.Balancer);
  if (!Policy)
    return Policy.error();
  return std::unique_ptr<Entry>(std::make_unique<EntryCore>(
      std::move(Settings), Random, std::move(*Policy)));
}

} // namespace teaselhitch

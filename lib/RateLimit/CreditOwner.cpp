#include "teaselhitch/RateLimit/CreditOwner.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// A longer gap between two ticks is a stall: the lifetime of all lent credits
/// has passed, and another node may own the rates.
constexpr Duration StallGap = CreditLifetime;
/// How long after a change of the owner the entries and the previous owner may
/// not know of it. Covers the spreading of a view and an unanswered credit
/// request.
constexpr Duration TransitionPeriod = Duration::seconds(5);
/// Period whose credits a bucket may hold after the start of the process, a
/// stall or a loss of contact. The previous owner lends at the same time until
/// all entries have the new view, which takes about 0.5 s; a full bucket in
/// addition would exceed the bound.
constexpr Duration TransitionBurst = Duration(50);
/// Spare credits of a deputy or a new owner. The limit may be exceeded by 20
/// requests in 5 s, and two nodes may lend spare credits in one transition.
constexpr double SpareCredits = 10;
/// Time in which the spare credits are renewed. Much longer than 5 s, so that
/// they are lent at most once in that time.
constexpr Duration SparePeriod = Duration::seconds(60);
/// How long a leaving owner still lends. Until the entries have the new view,
/// which takes about 0.5 s, they ask it.
constexpr Duration HandOverPeriod = Duration::seconds(1);
/// Delay after which an entry asks a node that is not the owner again.
constexpr Duration NotOwnerRetry = Duration(200);
constexpr Duration MaxRetryAfter = Duration::seconds(3600);
/// Buckets are kept as long as departed nodes are remembered, so that a bucket
/// that is created again is not fuller than the removed one.
constexpr Duration BucketRetention = Duration::seconds(120);
constexpr Duration PruneInterval = Duration::seconds(10);

} // namespace

CreditOwner::CreditOwner(NodeName SelfName, Time Now)
    : Fleet(SelfName), Self(std::move(SelfName)), Start(Now), LastTick(Now),
      PrunedAt(Now) {}

void CreditOwner::configure(SharedRateLimits NewLimits, Time Now) {
  for (auto &[Organisation, B] : Buckets) {
    auto Old = Limits->find(Organisation);
    auto New = NewLimits->find(Organisation);
    if (Old == Limits->end() || New == NewLimits->end())
      continue;
    accrue(B, Old->second, Now);
    B.Credits = std::min(B.Credits, New->second.capacity());
  }
  std::erase_if(Buckets, [&](const auto &Item) {
    return NewLimits->count(Item.first) == 0;
  });
  std::erase_if(LimitedSince, [&](const auto &Item) {
    return NewLimits->count(Item.first) == 0 ||
           Now - Item.second > BucketRetention;
  });
  if (IsConfigured)
    for (const auto &[Organisation, Limit] : *NewLimits)
      if (Limits->count(Organisation) == 0)
        LimitedSince[Organisation] = Now;
  IsConfigured = true;
  Limits = std::move(NewLimits);
}

void CreditOwner::updateView(const FleetView &View, Time Now) {
  checkStall(Now);
  // The time until now is accrued with the share of the former view.
  for (auto &[Organisation, B] : Buckets)
    if (auto It = Limits->find(Organisation); It != Limits->end())
      accrue(B, It->second, Now);
  bool WasAlone = Fleet.knownNodes(Now) == 1;
  if (!Fleet.update(View, Now))
    return;
  // A node that was cut off when it started took itself for the whole fleet.
  if (WasAlone && Fleet.knownNodes(Now) > 1)
    reset(Now);
  for (auto &[Organisation, B] : Buckets) {
    bool IsOwner = Fleet.owners(Organisation).Owner == Self;
    if (IsOwner && !B.IsOwner) {
      B.Credits = 0;
      B.Since = Now;
      B.UpdatedAt = Now;
    }
    if (!IsOwner && B.IsOwner && Fleet.isLeaving())
      B.HandOverEnd = Now + HandOverPeriod;
    B.IsOwner = IsOwner;
  }
}

void CreditOwner::setContact(bool NewContact, Time Now) {
  if (NewContact == IsInContact)
    return;
  if (NewContact) {
    reset(Now);
  } else {
    for (auto &[Organisation, B] : Buckets)
      if (auto It = Limits->find(Organisation); It != Limits->end())
        accrue(B, It->second, Now);
  }
  IsInContact = NewContact;
}

double CreditOwner::accrualShare(Time Now) const {
  if (IsInContact)
    return Fleet.liveShare(Now);
  return 1.0 / static_cast<double>(Fleet.knownNodes(Now));
}

void CreditOwner::reset(Time Now) {
  Start = Now;
  for (auto &[Organisation, B] : Buckets) {
    B.Credits = 0;
    B.UpdatedAt = Now;
    B.Since = Now;
    B.Lent = {};
  }
  ++Counters.Resets;
}

void CreditOwner::checkStall(Time Now) {
  if (Now - LastTick > StallGap) {
    reset(Now);
    LastTick = Now;
  }
}

void CreditOwner::tick(Time Now) {
  checkStall(Now);
  LastTick = Now;
  if (Now - PrunedAt < PruneInterval)
    return;
  PrunedAt = Now;
  std::erase_if(Buckets, [&](const auto &Item) {
    return Now - Item.second.UsedAt > BucketRetention;
  });
}

CreditOwner::Bucket &
CreditOwner::findOrCreate(const OrganisationName &Organisation, Time Now) {
  auto [It, Inserted] = Buckets.try_emplace(Organisation);
  Bucket &B = It->second;
  if (!Inserted)
    return B;
  B.IsOwner = Fleet.owners(Organisation).Owner == Self;
  B.Since = std::max(Start, Fleet.ownedSince(Organisation));
  if (auto Changed = LimitedSince.find(Organisation);
      Changed != LimitedSince.end())
    B.Since = std::max(B.Since, Changed->second);
  // Before the transition has ended, the previous owner may still lend, so
  // nothing has accrued at this node.
  B.UpdatedAt = Now - B.Since < TransitionPeriod ? Now : B.Since;
  B.Spare = SpareCredits;
  B.SpareAt = Now;
  B.LentPeriodStart = Now;
  return B;
}

void CreditOwner::accrue(Bucket &B, const RateLimit &Limit, Time Now) const {
  double Seconds = std::max(0.0, (Now - B.UpdatedAt).ms()) / 1000;
  B.UpdatedAt = Now;
  double Capacity = Limit.capacity();
  if (Now - Start < TransitionPeriod)
    Capacity = std::min(
        Capacity, std::max(1.0, Limit.RatePerS * TransitionBurst.ms() / 1000));
  B.Credits = std::min(Capacity, B.Credits + Seconds * Limit.RatePerS *
                                                 accrualShare(Now));
}

void CreditOwner::advanceLentPeriod(Bucket &B, Time Now) {
  Duration Age = Now - B.LentPeriodStart;
  if (Age < CreditLifetime)
    return;
  B.Lent = {0, Age < CreditLifetime * 2 ? B.Lent[0] : 0};
  B.LentPeriodStart = Now;
}

void CreditOwner::takeBack(Bucket &B, const RateLimit &Limit,
                           std::uint32_t Amount) {
  double Accepted = std::min<double>(Amount, B.Lent[0] + B.Lent[1]);
  double FromPrevious = std::min(Accepted, B.Lent[1]);
  B.Lent[1] -= FromPrevious;
  B.Lent[0] -= Accepted - FromPrevious;
  B.Credits = std::min(Limit.capacity(), B.Credits + Accepted);
  Counters.Returned += static_cast<std::uint64_t>(Accepted);
}

std::uint32_t CreditOwner::lend(Bucket &B, std::uint32_t Amount, Time Now) {
  auto Lent = std::min(Amount, static_cast<std::uint32_t>(B.Credits));
  B.Credits -= Lent;
  B.Lent[0] += Lent;
  Duration Renewed = Now - B.SpareAt;
  B.Spare = std::min(SpareCredits,
                     B.Spare + SpareCredits * Renewed.ms() / SparePeriod.ms());
  B.SpareAt = Now;
  if (Now - B.Since < TransitionPeriod || !B.IsOwner) {
    auto FromSpare =
        std::min(Amount - Lent, static_cast<std::uint32_t>(B.Spare));
    B.Spare -= FromSpare;
    Lent += FromSpare;
    Counters.Spare += FromSpare;
  }
  Counters.Lent += Lent;
  return Lent;
}

std::optional<CreditReply> CreditOwner::handle(const CreditRequest &Request,
                                               Time Now) {
  checkStall(Now);
  CreditReply Reply{Request.Organisation, Request.Amount, CreditLifetime,
                    Duration()};
  auto Limit = Limits->find(Request.Organisation);
  if (Limit == Limits->end()) {
    // The entry has a newer configuration; until this node has it, the rate is
    // not limited, as before.
    return Request.Amount == 0 ? std::nullopt : std::optional(Reply);
  }
  CreditOwners Owners = Fleet.owners(Request.Organisation);
  auto Existing = Buckets.find(Request.Organisation);
  bool IsHandingOver =
      Existing != Buckets.end() && Now < Existing->second.HandOverEnd;
  if (Owners.Owner != Self && Owners.Deputy != Self && !IsHandingOver) {
    Reply.Amount = 0;
    Reply.RetryAfter = NotOwnerRetry;
    return Request.Amount == 0 ? std::nullopt : std::optional(Reply);
  }
  Bucket &B = findOrCreate(Request.Organisation, Now);
  B.UsedAt = Now;
  accrue(B, Limit->second, Now);
  if (!B.IsOwner && !IsHandingOver)
    B.Credits = 0;
  advanceLentPeriod(B, Now);
  takeBack(B, Limit->second, Request.Returned);
  if (Request.Amount == 0)
    return std::nullopt;
  Reply.Amount = lend(B, Request.Amount, Now);
  if (Reply.Amount == Request.Amount)
    return Reply;
  if (Reply.Amount == 0)
    ++Counters.Denied;
  double Rate = Limit->second.RatePerS * accrualShare(Now);
  Duration UntilCredit = Duration::seconds(std::max(0.0, 1 - B.Credits) / Rate);
  Reply.RetryAfter =
      B.IsOwner ? std::min(UntilCredit, MaxRetryAfter) : NotOwnerRetry;
  return Reply;
}

std::vector<CreditOwnerStatus> CreditOwner::status(std::size_t MaxItems,
                                                   Time Now) const {
  std::vector<CreditOwnerStatus> Result;
  for (const auto &[Organisation, B] : Buckets) {
    if (Result.size() == MaxItems)
      break;
    auto Limit = Limits->find(Organisation);
    if (Limit == Limits->end())
      continue;
    Bucket Current = B;
    accrue(Current, Limit->second, Now);
    Result.push_back({Organisation, Limit->second.RatePerS, Current.Credits,
                      B.Since, B.IsOwner});
  }
  return Result;
}

} // namespace teaselhitch

#include "teaselhitch/RateLimit/CreditAccount.h"

#include "teaselhitch/Support/Hash.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Maximum time that a request waits for a credit.
constexpr Duration MaxWait = Duration(150);
/// Time in which a node must reply. Half of MaxWait, so that the deputy can
/// still be asked.
constexpr Duration ReplyTimeout = Duration(75);
/// How long a node that did not reply is not asked again.
constexpr Duration UnreachablePeriod = Duration::seconds(1);
/// Credits are requested in advance for the demand of this period.
constexpr Duration AdvancePeriod = Duration(200);
/// Time constant of the estimate of the demand.
constexpr Duration DemandPeriod = Duration::seconds(1);
/// Minimum time between a denial and the next message to the owner. Credits
/// that accrue meanwhile are lent in one message: at 116 per second, six.
constexpr Duration MinDenial = Duration(50);
/// Maximum time for which a denial is not questioned. An owner without contact
/// to the fleet gives much longer times, which end when the contact is back.
constexpr Duration MaxDenial = Duration::seconds(1);
/// `Retry-After` when neither the owner nor its deputy has replied.
constexpr Duration UnreachableRetry = Duration::seconds(1);
/// Credits that will not be used are returned when less than this is left of
/// their lifetime.
constexpr Duration ReturnPeriod = Duration(500);
constexpr Duration CheckInterval = Duration(100);
/// How long a node must be silent before the even share begins to accrue. If
/// the node is cut off, it lends the whole rate to its own side until it
/// suspects the other one, which takes 1.0 to 1.5 s.
constexpr Duration SilencePeriod = Duration::seconds(1);
/// Maximum time from the loss of a link to a missing reply, within which the
/// loss counts as the beginning of the outage.
constexpr Duration LinkLossPeriod = Duration::seconds(5);
constexpr Duration OutageRetention = Duration::seconds(10);
constexpr Duration AccountRetention = Duration::seconds(10);

} // namespace

CreditAccount::CreditAccount(NodeName SelfName)
    : Fleet(SelfName), Self(std::move(SelfName)) {}

void CreditAccount::configure(SharedRateLimits NewLimits,
                              CreditActions &Actions) {
  Limits = std::move(NewLimits);
  std::erase_if(Accounts, [&](auto &Item) {
    if (isLimited(Item.first))
      return false;
    for (const Waiter &W : Item.second.Waiting)
      Actions.Granted.push_back(CreditGranted{W.Token, Time()});
    return true;
  });
}

void CreditAccount::updateView(const FleetView &View, Time Now) {
  if (Fleet.update(View, Now))
    ++ViewNumber;
}

void CreditAccount::refresh(const OrganisationName &Organisation, Account &A,
                            Time Now) {
  while (!A.Batches.empty() &&
         (A.Batches.front().Expires <= Now || A.Batches.front().Amount == 0))
    A.Batches.pop_front();
  if (A.ViewNumber == ViewNumber)
    return;
  A.ViewNumber = ViewNumber;
  CreditOwners NewOwners = Fleet.owners(Organisation);
  if (NewOwners.Owner != A.Owners.Owner) {
    A.IsFallback = false;
    A.DeniedUntil = Time();
  }
  A.Owners = std::move(NewOwners);
}

bool CreditAccount::isReachable(const NodeName &Node, Time Now) const {
  if (Node.empty())
    return false;
  auto It = Unreachable.find(Node);
  return It == Unreachable.end() || It->second.RetryAt <= Now;
}

void CreditAccount::markUnreachable(const NodeName &Node, Time Since,
                                    Time Now) {
  ++Counters.Unreachable;
  Outage &O = Unreachable.try_emplace(Node, Outage{Since, Now}).first->second;
  if (O.RetryAt == O.Since && Now - O.Since > LinkLossPeriod)
    O.Since = Since;
  O.RetryAt = Now + UnreachablePeriod;
}

std::uint32_t CreditAccount::credits(const Account &A) {
  std::uint32_t Sum = 0;
  for (const Batch &B : A.Batches)
    Sum += B.Amount;
  return Sum;
}

void CreditAccount::request(const OrganisationName &Organisation,
                            std::uint64_t Token, Time Now,
                            CreditActions &Actions) {
  Account &A = findOrCreate(Organisation, Now);
  refresh(Organisation, A, Now);
  A.Demand = A.Demand * std::exp(-(Now - A.DemandAt).ms() / DemandPeriod.ms()) +
             Duration::seconds(1).ms() / DemandPeriod.ms();
  A.DemandAt = Now;
  A.Waiting.push_back({Token, Now});
  serve(Organisation, A, Now, Actions);
}

void CreditAccount::serve(const OrganisationName &Organisation, Account &A,
                          Time Now, CreditActions &Actions) {
  auto Limit = Limits->find(Organisation);
  if (Limit == Limits->end())
    return;
  refresh(Organisation, A, Now);
  // A reply to the pending question may bring credits for the requests that
  // still wait.
  while (
      !A.Waiting.empty() &&
      (takeCredit(A, A.Waiting.front().Token, Actions) ||
       takeEvenShare(Limit->second, A, A.Waiting.front().Token, Now, Actions)))
    A.Waiting.pop_front();
  if (A.Pending)
    return;
  if (Now < A.DeniedUntil)
    return denyAll(A, A.DeniedUntil - Now, Actions);
  double Wanted = std::floor(A.Demand * AdvancePeriod.ms() / 1000);
  // Without a question, an entry whose demand is below its even share would not
  // notice that its owner replies again.
  bool Probes = A.IsFallback && isReachable(A.Owners.Owner, Now);
  if (!A.Waiting.empty() || Probes || (Wanted >= 2 && credits(A) < Wanted / 2))
    ask(Organisation, A, Now, Actions);
}

bool CreditAccount::takeCredit(Account &A, std::uint64_t Token,
                               CreditActions &Actions) {
  if (A.Batches.empty())
    return false;
  Batch &Oldest = A.Batches.front();
  Actions.Granted.push_back(CreditGranted{Token, Oldest.Expires});
  if (--Oldest.Amount == 0)
    A.Batches.pop_front();
  ++Counters.Granted;
  return true;
}

CreditAccount::Account &
CreditAccount::findOrCreate(const OrganisationName &Organisation, Time Now) {
  auto [It, Inserted] = Accounts.try_emplace(Organisation);
  if (Inserted) {
    // The buckets of the entries start with different fractions of a credit. If
    // all started empty, no entry would have a credit until N / rate seconds
    // have passed, and then all would.
    std::uint64_t Hash = hash64(Self.str() + "\n" + Organisation.str());
    It->second.EvenStart = static_cast<double>(Hash >> 11) * 0x1.0p-53;
    It->second.Even = It->second.EvenStart;
    It->second.EvenAt = Now;
  }
  return It->second;
}

double CreditAccount::evenShare(const RateLimit &Limit, Time Now) const {
  return Limit.RatePerS / static_cast<double>(Fleet.knownNodes(Now));
}

void CreditAccount::accrueEvenShare(const RateLimit &Limit, Account &A,
                                    Time Now) const {
  if (Now < A.EvenAt)
    return;
  double Share = evenShare(Limit, Now);
  // An entry that has the share of several requests a second can serve its
  // usual demand from the beginning of an outage.
  double Start = Share >= 1 ? Share : A.EvenStart;
  double Capacity = A.IsFallback ? std::max(1.0, Share) : Start;
  double Accrued = Share * (Now - A.EvenAt).ms() / 1000;
  A.EvenAt = Now;
  if (A.Even < Capacity)
    A.Even = std::min(Capacity, A.Even + Accrued);
}

void CreditAccount::startFallback(const RateLimit &Limit, Account &A,
                                  Time Now) {
  auto It = Unreachable.find(A.Owners.Owner);
  Time Since = It == Unreachable.end() ? Now : It->second.Since;
  accrueEvenShare(Limit, A, std::max(Since, A.EvenAt));
  // What accrued before the last use was used.
  A.EvenAt = std::max(Since, A.EvenUsedAt);
  A.IsFallback = true;
}

bool CreditAccount::takeEvenShare(const RateLimit &Limit, Account &A,
                                  std::uint64_t Token, Time Now,
                                  CreditActions &Actions) {
  if (!A.IsFallback)
    return false;
  double Share = Limit.RatePerS / static_cast<double>(Fleet.knownNodes(Now));
  A.Even = std::min(std::max(1.0, Share),
                    A.Even + Share * (Now - A.EvenAt).ms() / 1000);
  A.EvenAt = Now;
  if (A.Even < 1)
    return false;
  A.Even -= 1;
  A.EvenUsedAt = Now;
  Actions.Granted.push_back(CreditGranted{Token, Time()});
  ++Counters.Granted;
  ++Counters.Fallback;
  return true;
}

void CreditAccount::ask(const OrganisationName &Organisation, Account &A,
                        Time Now, CreditActions &Actions) {
  auto Amount = static_cast<std::uint32_t>(A.Waiting.size());
  NodeName Target = A.Owners.Owner;
  if (isReachable(Target, Now)) {
    // Credits in advance, beyond those that this entry still has.
    double Advance =
        std::floor(A.Demand * AdvancePeriod.ms() / 1000) - credits(A);
    Amount += static_cast<std::uint32_t>(std::max(0.0, Advance));
    if (A.IsFallback)
      Amount = std::max(Amount, 1U);
  } else {
    if (!A.IsFallback) {
      startFallback(Limits->at(Organisation), A, Now);
      return serve(Organisation, A, Now, Actions);
    }
    Target = A.Owners.Deputy;
    if (!isReachable(Target, Now))
      return denyAll(A, UnreachableRetry, Actions);
  }
  if (Amount == 0)
    return;
  A.Pending = Question{Target, Now};
  ++Counters.Messages;
  Actions.Messages.push_back(
      SendCreditRequest{Target, CreditRequest{Organisation, Amount, 0}});
}

void CreditAccount::denyAll(Account &A, Duration RetryAfter,
                            CreditActions &Actions) {
  for (const Waiter &W : A.Waiting) {
    Actions.Denied.push_back(CreditDenied{W.Token, RetryAfter});
    ++Counters.Refused;
  }
  A.Waiting.clear();
}

void CreditAccount::cancel(const OrganisationName &Organisation,
                           std::uint64_t Token) {
  auto It = Accounts.find(Organisation);
  if (It != Accounts.end())
    std::erase_if(It->second.Waiting,
                  [&](const Waiter &W) { return W.Token == Token; });
}

void CreditAccount::giveBack(const OrganisationName &Organisation, Time Expires,
                             Time Now) {
  auto It = Accounts.find(Organisation);
  if (Expires <= Now || It == Accounts.end())
    return;
  auto &Batches = It->second.Batches;
  auto Position =
      std::find_if(Batches.begin(), Batches.end(),
                   [&](const Batch &B) { return B.Expires >= Expires; });
  if (Position != Batches.end() && Position->Expires == Expires)
    ++Position->Amount;
  else
    Batches.insert(Position, Batch{1, Expires});
}

void CreditAccount::handleReply(const NodeName &From, const CreditReply &Reply,
                                Time Now, CreditActions &Actions) {
  Unreachable.erase(From);
  auto It = Accounts.find(Reply.Organisation);
  if (It == Accounts.end())
    return;
  Account &A = It->second;
  Time SentAt = A.LateSentAt;
  bool IsExpected = A.Pending && A.Pending->Node == From;
  if (IsExpected) {
    SentAt = A.Pending->SentAt;
    A.Pending.reset();
  }
  refresh(Reply.Organisation, A, Now);
  if (From == A.Owners.Owner) {
    // Lent credits count against the even share. Otherwise an owner that
    // replies late, or whose replies are lost, would lend the rate while the
    // entries use it a second time.
    const RateLimit &Limit = Limits->at(Reply.Organisation);
    accrueEvenShare(Limit, A, Now);
    A.Even =
        std::max(A.Even - Reply.Amount, -std::max(1.0, evenShare(Limit, Now)));
    A.IsFallback = false;
  }
  Time Expires = SentAt + std::min(Reply.Lifetime, CreditLifetime);
  if (Reply.Amount > 0 && Expires > Now) {
    auto Position =
        std::find_if(A.Batches.begin(), A.Batches.end(),
                     [&](const Batch &B) { return B.Expires > Expires; });
    A.Batches.insert(Position, Batch{Reply.Amount, Expires});
  }
  if (IsExpected && (Reply.RetryAfter.ms() > 0 || Reply.Amount == 0))
    A.DeniedUntil = Now + std::clamp(Reply.RetryAfter, MinDenial, MaxDenial);
  serve(Reply.Organisation, A, Now, Actions);
}

void CreditAccount::handleUnreachable(const NodeName &Node, Time Now,
                                      CreditActions &Actions) {
  // Links are also closed when they are not used. If nothing is pending, the
  // node is still asked, and the outage counts from now on if it does not
  // reply.
  bool IsPending =
      std::any_of(Accounts.begin(), Accounts.end(), [&](const auto &Item) {
        return Item.second.Pending && Item.second.Pending->Node == Node;
      });
  if (!IsPending) {
    Unreachable.insert_or_assign(Node, Outage{Now, Now});
    return;
  }
  markUnreachable(Node, Now, Now);
  for (auto &[Organisation, A] : Accounts) {
    if (!A.Pending || A.Pending->Node != Node)
      continue;
    A.LateSentAt = A.Pending->SentAt;
    A.Pending.reset();
    serve(Organisation, A, Now, Actions);
  }
}

void CreditAccount::tick(Time Now, CreditActions &Actions) {
  for (auto &[Organisation, A] : Accounts) {
    if (A.Pending && Now - A.Pending->SentAt >= ReplyTimeout) {
      markUnreachable(A.Pending->Node, Now + SilencePeriod, Now);
      A.LateSentAt = A.Pending->SentAt;
      A.Pending.reset();
      serve(Organisation, A, Now, Actions);
    }
    while (!A.Waiting.empty() && Now - A.Waiting.front().Since >= MaxWait) {
      Actions.Denied.push_back(
          CreditDenied{A.Waiting.front().Token, UnreachableRetry});
      ++Counters.Refused;
      A.Waiting.pop_front();
    }
  }
  if (Now - CheckedAt < CheckInterval)
    return;
  CheckedAt = Now;
  for (auto &[Organisation, A] : Accounts)
    returnUnused(Organisation, A, Now, Actions);
  std::erase_if(Accounts, [&](const auto &Item) {
    const Account &A = Item.second;
    return A.Waiting.empty() && !A.Pending &&
           Now - A.DemandAt > AccountRetention;
  });
  std::erase_if(Unreachable, [&](const auto &Item) {
    return Now - Item.second.RetryAt > OutageRetention;
  });
}

void CreditAccount::returnUnused(const OrganisationName &Organisation,
                                 Account &A, Time Now, CreditActions &Actions) {
  refresh(Organisation, A, Now);
  if (A.Batches.empty() || A.Pending || !isReachable(A.Owners.Owner, Now))
    return;
  Batch &Oldest = A.Batches.front();
  Duration Left = Oldest.Expires - Now;
  if (Left > ReturnPeriod)
    return;
  double Demand =
      A.Demand * std::exp(-(Now - A.DemandAt).ms() / DemandPeriod.ms());
  auto Needed = static_cast<std::uint32_t>(Demand * Left.ms() / 1000);
  if (Oldest.Amount <= Needed)
    return;
  std::uint32_t Returned = Oldest.Amount - Needed;
  Oldest.Amount = Needed;
  if (Needed == 0)
    A.Batches.pop_front();
  ++Counters.Messages;
  Actions.Messages.push_back(SendCreditRequest{
      A.Owners.Owner, CreditRequest{Organisation, 0, Returned}});
}

std::vector<CreditAccountStatus>
CreditAccount::status(std::size_t MaxItems) const {
  std::vector<CreditAccountStatus> Result;
  for (const auto &[Organisation, A] : Accounts) {
    if (Result.size() == MaxItems)
      break;
    Result.push_back({Organisation, A.Owners.Owner, credits(A),
                      A.Waiting.size(), A.IsFallback});
  }
  return Result;
}

} // namespace teaselhitch

#include "FairShares.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace teaselhitch {

namespace {

/// One part in ReserveDivisor of the queue is reserved for organisations within
/// their share, so that an organisation without recent attempts finds a place
/// immediately. At least one place is reserved.
constexpr std::size_t ReserveDivisor = 4;
/// An organisation counts as active for this time after one of its attempts
/// arrived, even if the attempt was refused. Others are then refused with
/// over-share, which names the cause, instead of queue-full.
constexpr Duration ActiveTime = Duration::seconds(1);
/// Idle accounts are removed after this time.
constexpr Duration IdleTimeout = Duration::seconds(10);
/// Paid work and early deadlines may be served ahead of the fair order by at
/// most the work that the service completes in this many mean slot times.
constexpr double LeadSlotTimes = 2;
/// Weight of the latest value in the moving average of the slot time.
constexpr double SlotTimeSmoothing = 0.05;
/// Assumed slot time before the first attempt has finished.
constexpr Duration InitialSlotTime = Duration(10);
/// Bounds of the retry delay. The upper bound keeps a single very slow attempt
/// from turning callers away for minutes.
constexpr Duration MinRetryAfter = Duration(10);
constexpr Duration MaxRetryAfter = Duration::seconds(30);

} // namespace

void FairShares::recordArrival(const OrganisationName &Organisation,
                               std::uint32_t Share, bool HasWaiting, Time Now) {
  Account &A = Accounts[Organisation];
  A.Share = std::max(1U, Share);
  A.LastArrival = Now;
  if (!HasWaiting)
    A.Usage = std::max(A.Usage, BaseUsage);
}

bool FairShares::isActive(const Account &A, Time Now) const {
  return A.Running != 0 || Now - A.LastArrival <= ActiveTime;
}

Admission FairShares::admit(const OrganisationName &Organisation,
                            const AdmissionQueue &Queue, std::size_t Limit,
                            Time Now) const {
  auto Own = Accounts.find(Organisation);
  assert(Own != Accounts.end() && "recordArrival must be called first");
  double OtherShares = 0;
  for (const auto &[Name, A] : Accounts)
    if (Name != Organisation && (isActive(A, Now) || Queue.size(Name) != 0))
      OtherShares += A.Share;

  double Share = Own->second.Share;
  auto Places = static_cast<double>(Limit);
  double Quota = std::max(1.0, Places * Share / (Share + OtherShares));
  bool WithinShare = static_cast<double>(Queue.size(Organisation)) + 1 <= Quota;
  bool Contended = OtherShares > 0;
  std::size_t Reserve =
      Limit < 2 ? 0 : std::max<std::size_t>(1, Limit / ReserveDivisor);
  std::size_t Borrowable = Limit - Reserve;
  std::size_t Room = WithinShare && Contended ? Limit : Borrowable;
  if (Queue.size() < Room)
    return Admission::Admit;
  return Contended && !WithinShare ? Admission::OverShare
                                   : Admission::QueueFull;
}

std::optional<OrganisationName> FairShares::next(
    const AdmissionQueue &Queue, std::uint32_t Slots,
    const std::function<bool(const OrganisationName &)> &IsEligible) {
  double Lowest = std::numeric_limits<double>::infinity();
  double Shares = 0;
  for (const auto &[Name, SubQueue] : Queue.subQueues()) {
    if (!IsEligible(Name))
      continue;
    const Account &A = Accounts[Name];
    Lowest = std::min(Lowest, A.Usage);
    Shares += A.Share;
  }
  if (Shares == 0)
    return std::nullopt;
  BaseUsage = std::max(BaseUsage, Lowest);

  Duration SlotTime = HasMeanSlotTime ? MeanSlotTime : InitialSlotTime;
  double Lead = LeadSlotTimes * SlotTime.ms() * Slots / Shares;
  const std::pair<const OrganisationName, AdmissionQueue::SubQueue> *Best =
      nullptr;
  for (const auto &Entry : Queue.subQueues()) {
    if (!IsEligible(Entry.first) || Accounts[Entry.first].Usage > Lowest + Lead)
      continue;
    if (Best == nullptr || *Entry.second.begin() < *Best->second.begin())
      Best = &Entry;
  }
  return Best->first;
}

Duration FairShares::recordStart(const OrganisationName &Organisation,
                                 bool Direct) {
  Account &A = Accounts[Organisation];
  if (Direct)
    BaseUsage = std::max(BaseUsage, A.Usage);
  Duration Charge = HasMeanSlotTime ? MeanSlotTime : InitialSlotTime;
  A.Usage += Charge.ms() / A.Share;
  ++A.Running;
  return Charge;
}

void FairShares::recordFinish(const OrganisationName &Organisation,
                              Duration Charged, Duration Held) {
  Account &A = Accounts[Organisation];
  A.Usage += (Held - Charged).ms() / A.Share;
  assert(A.Running != 0 && "organisation must have a running attempt");
  --A.Running;
  MeanSlotTime = HasMeanSlotTime
                     ? MeanSlotTime + (Held - MeanSlotTime) * SlotTimeSmoothing
                     : Held;
  HasMeanSlotTime = true;
}

Duration FairShares::retryAfter(std::size_t Waiting,
                                std::uint32_t Slots) const {
  Duration SlotTime = HasMeanSlotTime ? MeanSlotTime : InitialSlotTime;
  double DrainPerMs = std::max(1U, Slots) / std::max(SlotTime.ms(), 1e-3);
  Duration Estimate = Duration((static_cast<double>(Waiting) + 1) / DrainPerMs);
  return std::clamp(Estimate, MinRetryAfter, MaxRetryAfter);
}

void FairShares::tick(const AdmissionQueue &Queue, Time Now) {
  for (auto It = Accounts.begin(); It != Accounts.end();) {
    const Account &A = It->second;
    bool Idle = A.Running == 0 && Queue.size(It->first) == 0;
    if (Idle && Now - A.LastArrival > IdleTimeout)
      It = Accounts.erase(It);
    else
      ++It;
  }
}

} // namespace teaselhitch

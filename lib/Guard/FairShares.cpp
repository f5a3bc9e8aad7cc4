#include "FairShares.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace teaselhitch {

namespace {

/// This part of the queue is kept for organisations within their share, so that
/// one that was quiet finds a place at once. At least one place is kept.
constexpr std::size_t ReserveDivisor = 4;
/// An organisation counts as wanting its share this long after an attempt of it
/// arrived, even if that was refused. Others are then told over-share, which
/// names the cause, and not queue-full.
constexpr Duration WantTime = Duration::seconds(1);
/// Accounts without use are dropped after this time.
constexpr Duration IdleTime = Duration::seconds(10);
/// Paid work and early deadlines may go ahead of the fair order by the work
/// that the service does in this many mean run times.
constexpr double LeadRunTimes = 2;
/// Weight of the newest value in the mean slot time.
constexpr double HoldSmoothing = 0.05;
/// Mean slot time before the first attempt has finished.
constexpr Duration InitialHold = Duration(10);
/// Bounds of the time given for a retry. The upper one keeps a single very
/// slow attempt from sending callers away for minutes.
constexpr Duration MinRetryAfter = Duration(10);
constexpr Duration MaxRetryAfter = Duration::seconds(30);

} // namespace

void FairShares::arrived(const OrganisationName &Organisation,
                         std::uint32_t Share, bool Waits, Time Now) {
  Account &A = Accounts[Organisation];
  A.Share = std::max(1U, Share);
  A.LastArrival = Now;
  if (!Waits)
    A.Usage = std::max(A.Usage, Base);
}

bool FairShares::wants(const Account &A, Time Now) const {
  return A.Running != 0 || Now - A.LastArrival <= WantTime;
}

Admission FairShares::admit(const OrganisationName &Organisation,
                            const AdmissionQueue &Queue, std::size_t Limit,
                            Time Now) const {
  auto Own = Accounts.find(Organisation);
  assert(Own != Accounts.end() && "call arrived first");
  double OtherShares = 0;
  for (const auto &[Name, A] : Accounts)
    if (Name != Organisation && (wants(A, Now) || Queue.size(Name) != 0))
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

std::optional<OrganisationName>
FairShares::next(const AdmissionQueue &Queue, std::uint32_t Slots,
                 const std::function<bool(const OrganisationName &)> &MayRun) {
  double Lowest = std::numeric_limits<double>::infinity();
  double Shares = 0;
  for (const auto &[Name, Line] : Queue.lines()) {
    if (!MayRun(Name))
      continue;
    const Account &A = Accounts[Name];
    Lowest = std::min(Lowest, A.Usage);
    Shares += A.Share;
  }
  if (Shares == 0)
    return std::nullopt;
  Base = std::max(Base, Lowest);

  Duration Hold = HasHold ? MeanHold : InitialHold;
  double Lead = LeadRunTimes * Hold.ms() * Slots / Shares;
  const std::pair<const OrganisationName, AdmissionQueue::Line> *Best = nullptr;
  for (const auto &Entry : Queue.lines()) {
    if (!MayRun(Entry.first) || Accounts[Entry.first].Usage > Lowest + Lead)
      continue;
    if (Best == nullptr || *Entry.second.begin() < *Best->second.begin())
      Best = &Entry;
  }
  return Best->first;
}

Duration FairShares::started(const OrganisationName &Organisation,
                             bool Direct) {
  Account &A = Accounts[Organisation];
  if (Direct)
    Base = std::max(Base, A.Usage);
  Duration Charge = HasHold ? MeanHold : InitialHold;
  A.Usage += Charge.ms() / A.Share;
  ++A.Running;
  return Charge;
}

void FairShares::finished(const OrganisationName &Organisation,
                          Duration Charged, Duration Held) {
  Account &A = Accounts[Organisation];
  A.Usage += (Held - Charged).ms() / A.Share;
  assert(A.Running != 0 && "an attempt of the organisation was started");
  --A.Running;
  MeanHold = HasHold ? MeanHold + (Held - MeanHold) * HoldSmoothing : Held;
  HasHold = true;
}

Duration FairShares::retryAfter(std::size_t Waiting,
                                std::uint32_t Slots) const {
  Duration Hold = HasHold ? MeanHold : InitialHold;
  double DrainPerMs = std::max(1U, Slots) / std::max(Hold.ms(), 1e-3);
  Duration Estimate = Duration((static_cast<double>(Waiting) + 1) / DrainPerMs);
  return std::clamp(Estimate, MinRetryAfter, MaxRetryAfter);
}

void FairShares::tick(const AdmissionQueue &Queue, Time Now) {
  for (auto It = Accounts.begin(); It != Accounts.end();) {
    const Account &A = It->second;
    bool Idle = A.Running == 0 && Queue.size(It->first) == 0;
    if (Idle && Now - A.LastArrival > IdleTime)
      It = Accounts.erase(It);
    else
      ++It;
  }
}

} // namespace teaselhitch

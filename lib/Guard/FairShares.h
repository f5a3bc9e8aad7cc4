#ifndef TEASELHITCH_LIB_GUARD_FAIRSHARES_H
#define TEASELHITCH_LIB_GUARD_FAIRSHARES_H

#include "AdmissionQueue.h"

#include <functional>
#include <map>
#include <optional>

namespace teaselhitch {

/// Whether an attempt may be queued.
enum class Admission : std::uint8_t { Admit, QueueFull, OverShare };

/// Divides the slots and the queue of one service among organisations by
/// weight.
///
/// Each organisation has a usage: its slot time divided by its share. The
/// organisation with the lowest usage goes next. Others may go first while
/// their usage is within a small lead of the lowest one, which leaves room for
/// paid work and early deadlines. An organisation that returns after a pause
/// starts at the usage of the others, so that neither earlier underuse nor
/// earlier borrowing counts.
class FairShares {
public:
  /// Records that an attempt of the organisation arrived. HasWaiting tells
  /// whether other attempts of the organisation are waiting.
  void recordArrival(const OrganisationName &Organisation, std::uint32_t Share,
                     bool HasWaiting, Time Now);

  /// Decides whether an attempt that arrived may wait in a queue with Limit
  /// places.
  Admission admit(const OrganisationName &Organisation,
                  const AdmissionQueue &Queue, std::size_t Limit,
                  Time Now) const;

  /// Returns the organisation whose first attempt goes next, among those that
  /// IsEligible accepts.
  std::optional<OrganisationName>
  next(const AdmissionQueue &Queue, std::uint32_t Slots,
       const std::function<bool(const OrganisationName &)> &IsEligible);

  /// Records that an attempt starts and returns the slot time that is charged
  /// for it. Direct means that the attempt did not wait.
  Duration recordStart(const OrganisationName &Organisation, bool Direct);
  /// Records that an attempt released its slot. Charged is the slot time that
  /// was charged at its start, Held the time that it held the slot.
  void recordFinish(const OrganisationName &Organisation, Duration Charged,
                    Duration Held);

  /// Mean time for which an attempt holds a slot.
  Duration meanSlotTime() const { return MeanSlotTime; }

  /// Estimated time until a place in the queue is free.
  Duration retryAfter(std::size_t Waiting, std::uint32_t Slots) const;

  /// Removes the accounts of organisations that have been idle for long.
  void tick(const AdmissionQueue &Queue, Time Now);

private:
  struct Account {
    std::uint32_t Share = 1;
    /// Slot time in milliseconds divided by Share.
    double Usage = 0;
    std::uint32_t Running = 0;
    Time LastArrival;
  };

  bool isActive(const Account &A, Time Now) const;

  std::map<OrganisationName, Account> Accounts;
  /// Initial usage of an organisation.
  double BaseUsage = 0;
  Duration MeanSlotTime;
  bool HasMeanSlotTime = false;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_GUARD_FAIRSHARES_H
#define TEASELHITCH_LIB_GUARD_FAIRSHARES_H

#include "AdmissionQueue.h"

#include <functional>
#include <map>
#include <optional>

namespace teaselhitch {

/// Whether an attempt may wait.
enum class Admission : std::uint8_t { Admit, QueueFull, OverShare };

/// Divides the slots and the queue of one service among organisations by
/// weight.
///
/// Each organisation has a usage: slot time divided by its share. The one with
/// the lowest usage goes next, within a small lead that leaves room for paid
/// work and early deadlines. An organisation that returns after a pause starts
/// at the usage of the others, so neither past restraint nor past borrowing
/// counts.
class FairShares {
public:
  /// An attempt of the organisation arrived; Waits tells whether the
  /// organisation has others waiting.
  void arrived(const OrganisationName &Organisation, std::uint32_t Share,
               bool Waits, Time Now);

  /// Decides whether an attempt that arrived may wait in a queue of Limit
  /// places.
  Admission admit(const OrganisationName &Organisation,
                  const AdmissionQueue &Queue, std::size_t Limit,
                  Time Now) const;

  /// The organisation whose first attempt goes next, of those that MayRun
  /// accepts.
  std::optional<OrganisationName>
  next(const AdmissionQueue &Queue, std::uint32_t Slots,
       const std::function<bool(const OrganisationName &)> &MayRun);

  /// An attempt starts; the result is the slot time charged for it. Direct
  /// means that it did not wait.
  Duration started(const OrganisationName &Organisation, bool Direct);
  /// An attempt that was charged with Charged held a slot for Held.
  void finished(const OrganisationName &Organisation, Duration Charged,
                Duration Held);

  /// Mean time that an attempt holds a slot.
  Duration meanHold() const { return MeanHold; }

  /// When a place in the queue is likely to be free again.
  Duration retryAfter(std::size_t Waiting, std::uint32_t Slots) const;

  /// Forgets organisations that have been idle for long.
  void tick(const AdmissionQueue &Queue, Time Now);

private:
  struct Account {
    std::uint32_t Share = 1;
    /// Slot time in milliseconds divided by Share.
    double Usage = 0;
    std::uint32_t Running = 0;
    Time LastArrival;
  };

  bool wants(const Account &A, Time Now) const;

  std::map<OrganisationName, Account> Accounts;
  /// Usage at which organisations start.
  double Base = 0;
  Duration MeanHold;
  bool HasHold = false;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_NODE_SLOTGRANT_H
#define TEASELHITCH_LIB_NODE_SLOTGRANT_H

/// \file
/// The permission to run one attempt in a reserved slot.

#include "teaselhitch/Support/Clock.h"

#include <algorithm>
#include <compare>

namespace teaselhitch {

/// How long a granted slot is held for its request. This covers a round trip
/// between failure domains and a node that is short of processor time.
inline constexpr Duration GrantTimeout = Duration(250);

struct SlotGrant {
  Time GrantedAt;
  /// Deadline of the request on the clock of this node, set when the offer
  /// arrived.
  Time Deadline;

  /// The request has begun to arrive. A large body takes longer than
  /// GrantTimeout on a slow link.
  bool IsArriving = false;

  bool isExpired(Time Now) const {
    return !IsArriving && Now - GrantedAt > GrantTimeout;
  }

  /// Returns the time that a request arriving now may run, or zero if it must
  /// not run. The process may have been paused since the grant: then the time
  /// that the entry states is too long, because the message waited meanwhile.
  Duration remaining(Duration Stated, Time Now) const {
    if (isExpired(Now))
      return Duration();
    return std::max(Duration(), std::min(Stated, Deadline - Now));
  }

  auto operator<=>(const SlotGrant &) const = default;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_NET_IDLELIMITS_H
#define TEASELHITCH_LIB_NET_IDLELIMITS_H

/// \file
/// Limits of the idle time after which connections to a backend server are
/// still reused. Has no clock and does no I/O.
///
/// Some backend servers, or devices on the path to them, drop idle connections
/// silently and earlier than the timeout that they announce. The next request
/// sent on such a connection is lost. One loss reduces the limit for all
/// connections to the backend server for some time.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

#include <map>

namespace teaselhitch {

/// Limit for a backend server about which nothing else is known. It is shorter
/// than the usual idle timeouts of servers.
inline constexpr Duration DefaultIdleLimit = Duration::seconds(8);

class IdleLimits {
public:
  /// Longest idle time of a connection that is still reused.
  Duration limit(const Endpoint &Server, Time Now) const;

  /// Records that a connection reused after IdleTime was lost without a
  /// response although the backend server still works.
  void recordIdleLoss(const Endpoint &Server, Duration IdleTime, Time Now);

  /// Removes reduced limits that have expired.
  void prune(Time Now);

private:
  struct ReducedLimit {
    Duration Limit;
    Time Expiry;
  };

  std::map<Endpoint, ReducedLimit> Servers;
};

} // namespace teaselhitch

#endif

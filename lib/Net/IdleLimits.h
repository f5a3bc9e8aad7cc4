#ifndef TEASELHITCH_LIB_NET_IDLELIMITS_H
#define TEASELHITCH_LIB_NET_IDLELIMITS_H

/// \file
/// How long connections to a backend server may rest before they are used
/// again. Pure.
///
/// Some backend servers, or something on the way to them, forget connections
/// that rest, without a sign and sooner than they say. What is sent next on
/// such a connection is lost. One loss is taken as a lesson for the others.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

#include <map>

namespace teaselhitch {

/// Greatest rest of a connection of whose server nothing else is known; before
/// common server timeouts.
inline constexpr Duration UsualIdleLimit = Duration::seconds(8);

class IdleLimits {
public:
  /// Greatest rest of a connection that is used again.
  Duration limit(const Endpoint &Server, Time Now) const;

  /// A connection was lost without an answer when it was used after this rest,
  /// while the backend server goes on working.
  void lostAfterRest(const Endpoint &Server, Duration Rested, Time Now);

  /// Drops what is too old to count.
  void prune(Time Now);

private:
  struct Learned {
    Duration Limit;
    Time Until;
  };

  std::map<Endpoint, Learned> Servers;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_GUARD_DEPENDENCYLIMITS_H
#define TEASELHITCH_LIB_GUARD_DEPENDENCYLIMITS_H

/// \file
/// Limits the attempts of a rule whose sub-requests find no room. Pure.
///
/// A request whose sub-request is refused fails after it has used its own slot
/// and room of the services behind it. Where that happens, it is better to
/// refuse such requests before they run. The share that is admitted falls by a
/// factor with each refused sub-request and grows slowly at first and then
/// faster, so that the guards of a service come to an even share without
/// exchanging anything, and a burst leaves no limit behind.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Clock.h"

#include <map>

namespace teaselhitch {

class DependencyLimits {
public:
  /// A sub-request of an attempt of this rule has ended. \param Congested it
  /// found no room.
  void subRequestEnded(const RuleName &Rule, bool Congested, Time Now);

  /// Decides on one more request of the rule. Admits the share in force,
  /// spread evenly over the requests.
  [[nodiscard]] bool admit(const RuleName &Rule, Time Now);

private:
  struct Limit {
    /// Share of the requests that is admitted, as of ChangedAt.
    double Share = 1;
    Time ChangedAt;
    /// Part of a request that is admitted with the next one.
    double Credit = 0;
  };

  static double shareAt(const Limit &L, Time Now);

  /// Rules without a limit are left out.
  std::map<RuleName, Limit> Limits;
};

} // namespace teaselhitch

#endif

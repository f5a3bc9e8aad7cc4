#ifndef TEASELHITCH_LIB_GUARD_DEPENDENCYLIMITS_H
#define TEASELHITCH_LIB_GUARD_DEPENDENCYLIMITS_H

/// \file
/// Limits the attempts of a rule whose sub-requests are refused for lack of
/// capacity. Does no I/O and reads no clock.
///
/// A request whose sub-request is refused fails after it has used its own slot
/// and capacity of the services that it depends on. Under such congestion it is
/// better to refuse requests before they run. Each refused sub-request
/// multiplies the admitted share by a factor below 1. The share then grows,
/// slowly at first and faster later. As a result, the guards of a service
/// converge to equal shares without communication, and no limit remains after a
/// burst.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Clock.h"

#include <map>

namespace teaselhitch {

class DependencyLimits {
public:
  /// Handles the end of a sub-request of an attempt of this rule.
  /// \param Congested no capacity was available for the sub-request.
  void subRequestEnded(const RuleName &Rule, bool Congested, Time Now);

  /// Decides whether one more request of the rule is admitted. Admits the
  /// current share of the requests, spread evenly.
  [[nodiscard]] bool admit(const RuleName &Rule, Time Now);

private:
  struct Limit {
    /// Share of the requests that is admitted, as of ChangedAt.
    double Share = 1;
    Time ChangedAt;
    /// Fraction of a request that is carried over to the next decision.
    double Credit = 0;
  };

  static double shareAt(const Limit &L, Time Now);

  /// Contains no entry for rules that are not limited.
  std::map<RuleName, Limit> Limits;
};

} // namespace teaselhitch

#endif

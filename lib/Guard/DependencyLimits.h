#ifndef TEASELHITCH_LIB_GUARD_DEPENDENCYLIMITS_H
#define TEASELHITCH_LIB_GUARD_DEPENDENCYLIMITS_H

/// \file
/// Limits the attempts of a rule whose sub-requests are refused for lack of
/// capacity. Does no I/O and reads no clock.
///
/// A request whose sub-request is refused fails after it has used its own slot
/// and capacity of the services that it depends on. Under such congestion it is
/// better to refuse requests before they run. The refused share of the requests
/// is proportional to the refused share of the recent sub-requests. Because the
/// relation is linear, many guards that each see few sub-requests refuse the
/// same share together as one guard that sees all of them.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Clock.h"

#include <deque>
#include <map>

namespace teaselhitch {

class DependencyLimits {
public:
  /// Handles the end of a sub-request of an attempt of this rule.
  /// \param Congested no capacity was available for the sub-request.
  void subRequestEnded(const RuleName &Rule, bool Congested, Time Now);

  /// Decides whether a request of the rule is admitted. Guards with the same
  /// share admit the same requests: a request is offered to several guards and
  /// is given up when one of them refuses it, so independent decisions would
  /// refuse a multiple of the intended share.
  [[nodiscard]] bool admit(const RuleName &Rule, const RequestId &Request,
                           Time Now) const;

private:
  /// Sub-requests that ended in one interval.
  struct Slice {
    Time Start;
    unsigned Ended = 0;
    unsigned Congested = 0;
  };

  /// Returns the share of the requests that is admitted.
  static double share(const std::deque<Slice> &Slices, Time Now);

  /// Recent sub-requests of each rule, oldest first.
  std::map<RuleName, std::deque<Slice>> SubRequests;
};

} // namespace teaselhitch

#endif

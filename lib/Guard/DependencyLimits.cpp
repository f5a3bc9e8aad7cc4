#include "DependencyLimits.h"

#include "teaselhitch/Support/Hash.h"

#include <algorithm>
#include <limits>

namespace teaselhitch {

namespace {

/// Age at which the end of a sub-request says nothing about the present any
/// more. The weight decreases linearly until then.
constexpr Duration EvidenceLifetime = Duration::seconds(4);
constexpr Duration SliceLength = Duration(250);
/// Weight of the assumption that no sub-request is refused, in sub-requests. It
/// keeps a guard that sees few sub-requests from reacting to a single one.
constexpr double PriorSubRequests = 6;
/// Refused share of the requests per refused share of the sub-requests. At
/// twice the rate for which there is capacity, one in five admitted requests
/// still fails.
constexpr double Gain = 3;
/// Minimum share; some requests must run to detect that capacity is available
/// again.
constexpr double MinShare = 0.1;

/// Returns a number from 0 to 1 that is the same at all guards.
double position(const RequestId &Request) {
  std::uint64_t Hash = hash64(toString(Request));
  return static_cast<double>(Hash) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

double weight(Duration Age) {
  return std::clamp(1 - Age.ms() / EvidenceLifetime.ms(), 0.0, 1.0);
}

} // namespace

double DependencyLimits::share(const std::deque<Slice> &Slices, Time Now) {
  double Ended = 0;
  double Congested = 0;
  for (const Slice &S : Slices) {
    double Weight = weight(Now - S.Start);
    Ended += Weight * S.Ended;
    Congested += Weight * S.Congested;
  }
  double RefusedShare = Congested / (Ended + PriorSubRequests);
  return std::clamp(1 - Gain * RefusedShare, MinShare, 1.0);
}

void DependencyLimits::subRequestEnded(const RuleName &Rule, bool Congested,
                                       Time Now) {
  std::deque<Slice> &Slices = SubRequests[Rule];
  while (!Slices.empty() && Now - Slices.front().Start > EvidenceLifetime)
    Slices.pop_front();
  if (Slices.empty() || Now - Slices.back().Start >= SliceLength)
    Slices.push_back({Now, 0, 0});
  ++Slices.back().Ended;
  Slices.back().Congested += Congested ? 1 : 0;
}

bool DependencyLimits::admit(const RuleName &Rule, const RequestId &Request,
                             Time Now) const {
  auto It = SubRequests.find(Rule);
  if (It == SubRequests.end())
    return true;
  double Share = share(It->second, Now);
  return Share >= 1 || position(Request) < Share;
}

} // namespace teaselhitch

#include "DomainDistance.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Upper bound on the number of domains, because peers report their own.
constexpr std::size_t MaxDomains = 256;

} // namespace

bool DomainDistance::record(const FailureDomain &Domain, Duration RoundTrip) {
  if (Limit <= Duration() ||
      (ByDomain.size() >= MaxDomains && ByDomain.count(Domain) == 0))
    return false;
  Samples &S = ByDomain[Domain];
  S.RoundTrips[S.Count++ % SampleCount] = RoundTrip;
  if (Domain != Own)
    return evaluate(Domain);
  bool Changed = false;
  for (const auto &[Other, Unused] : ByDomain)
    Changed |= evaluate(Other);
  return Changed;
}

std::optional<Duration>
DomainDistance::minimum(const FailureDomain &Domain) const {
  auto It = ByDomain.find(Domain);
  if (It == ByDomain.end())
    return std::nullopt;
  const Samples &S = It->second;
  auto End = S.RoundTrips.begin() +
             static_cast<std::ptrdiff_t>(std::min(S.Count, SampleCount));
  return *std::min_element(S.RoundTrips.begin(), End);
}

bool DomainDistance::isDecisive(const Samples &S) {
  if (S.Count >= MinSamples || S.Count < MinConsistentSamples)
    return S.Count >= MinSamples;
  std::array<Duration, SampleCount> Sorted = S.RoundTrips;
  std::sort(Sorted.begin(),
            Sorted.begin() + static_cast<std::ptrdiff_t>(S.Count));
  return Sorted[1] - Sorted[0] <= MaxSpread;
}

bool DomainDistance::evaluate(const FailureDomain &Domain) {
  std::optional<Duration> RoundTrip = minimum(Domain);
  if (Domain == Own || !RoundTrip)
    return false;
  // A process that answers late delays its neighbours' round trips as well, so
  // only what the crossing adds counts.
  Duration Added = *RoundTrip - minimum(Own).value_or(Duration());
  // One short round trip shows that the path is short.
  if (Added < Limit)
    return Remote.erase(Domain) != 0;
  return isDecisive(ByDomain.at(Domain)) && Remote.insert(Domain).second;
}

} // namespace teaselhitch

/// \file
/// The balancer `least-risk`: the candidate with the least expected cost of
/// risk, load and distance. It looks at all candidates, so it is meant for
/// services of up to about a hundred backend servers.

#include "teaselhitch/Routing/Balancer.h"

#include <algorithm>

TEASELHITCH_PLUGIN(LeastRisk)

namespace teaselhitch {

namespace {

/// All costs are in units of one request that has to wait for a run time.
/// A request that a failing backend server loses.
constexpr double LossCost = 12;
/// All slots are taken: the request waits or is refused.
constexpr double FullCost = 1;
/// Crossing to another failure domain and back, in bytes and time.
constexpr double CrossingCost = 0.25;
/// Sharing a backend server: it slows down, and fails all at once.
constexpr double SharingCost = 0.5;
/// The path to the guard fails.
constexpr double PathCost = 12;
/// Random part, so that entries do not all choose the same one.
constexpr double Jitter = 0.1;

double cost(const Candidate &C, RandomSource &Random) {
  double Slots = std::max(1U, C.Server->Slots) * C.Server->Weight / 100.0;
  double Used = C.InProgress / std::max(Slots, 0.1);
  double Cost = LossCost * C.Risk + SharingCost * std::min(Used, 1.0) +
                PathCost * C.PathFailures + Jitter * Random.uniform();
  if (C.InProgress + 1 > Slots)
    Cost += FullCost * (1 + C.Waiting / std::max(Slots, 0.1));
  if (C.Away == Distance::OtherDomain)
    Cost += CrossingCost;
  return Cost;
}

class LeastRiskBalancer final : public Balancer {
public:
  std::optional<std::size_t> choose(const std::vector<Candidate> &Candidates,
                                    RandomSource &Random) override {
    std::optional<std::size_t> Best;
    double BestCost = 0;
    for (std::size_t I = 0; I != Candidates.size(); ++I) {
      double Cost = cost(Candidates[I], Random);
      if (Best && Cost >= BestCost)
        continue;
      Best = I;
      BestCost = Cost;
    }
    return Best;
  }
};

const BalancerRegistry::Entry
    Registered("least-risk", "the least expected cost of risk, load, distance",
               [] { return std::make_unique<LeastRiskBalancer>(); });

} // namespace

} // namespace teaselhitch

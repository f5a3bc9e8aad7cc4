/// \file
/// The balancer `least-risk`: the candidate with the least expected cost of
/// risk, load and distance. It looks at all candidates, so it is meant for
/// services of up to about a hundred backend servers.

#include "teaselhitch/Routing/Balancer.h"

#include <algorithm>

TEASELHITCH_PLUGIN(LeastRisk)

namespace teaselhitch {

namespace {

// All costs are shares of the value of a request.

/// A request on a backend server that is failing for certain; about a quarter
/// of its requests succeed all the same.
constexpr double LossCost = 0.75;
/// A turn in a queue: objectives leave room for about three run times.
constexpr double TurnCost = 0.3;
/// Crossing to another failure domain and back, in bytes and time.
constexpr double CrossingCost = 0.07;
/// Sharing a backend server: it slows down, and fails all at once.
constexpr double SharingCost = 0.05;
/// The path to the guard fails.
constexpr double PathCost = 0.6;
/// Random part, so that entries do not all choose the same one.
constexpr double Jitter = 0.01;

double cost(const Candidate &C, RandomSource &Random) {
  double Slots = std::max(1U, C.Server->Slots) * C.Server->Weight / 100.0;
  double Used = C.InProgress / std::max(Slots, 0.1);
  double Cost = LossCost * C.Risk + SharingCost * std::min(Used, 1.0) +
                PathCost * C.PathFailures + Jitter * Random.uniform();
  if (C.InProgress + 1 > Slots)
    Cost += TurnCost * (1 + C.Waiting / std::max(Slots, 0.1));
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

/// \file
/// The balancer `least-risk`: chooses the candidate with the lowest expected
/// cost of risk, load and distance. It evaluates all candidates, so it is
/// intended for services with up to about a hundred backend servers.

#include "teaselhitch/Routing/Balancer.h"

#include <algorithm>

TEASELHITCH_PLUGIN(LeastRisk)

namespace teaselhitch {

namespace {

// All costs are fractions of the value of a request.

/// Cost of a request on a backend server that is certainly failing; about a
/// quarter of its requests still succeed.
constexpr double FailureCost = 0.75;
/// Cost of waiting one run time in a queue; objectives leave room for about
/// three run times.
constexpr double QueueingCost = 0.3;
/// Cost of a round trip to another failure domain, in bytes and time.
constexpr double CrossDomainCost = 0.1;
/// Cost of sharing a backend server with other requests: they slow each other
/// down, and a fault of the server affects all of them.
constexpr double LoadCost = 0.05;
/// Cost of a failure of the path to the guard.
constexpr double PathFailureCost = 0.6;
/// Random part of the cost, so that entries do not all choose the same backend
/// server.
constexpr double Jitter = 0.01;

double cost(const Candidate &C, RandomSource &Random) {
  double Slots = std::max(1U, C.Server->Slots) * C.Server->Weight / 100.0;
  double Utilization = C.InProgress / std::max(Slots, 0.1);
  double Cost = FailureCost * C.Risk + LoadCost * std::min(Utilization, 1.0) +
                PathFailureCost * C.PathFailures + Jitter * Random.uniform();
  if (C.InProgress + 1 > Slots)
    Cost += QueueingCost * (1 + C.Waiting / std::max(Slots, 0.1));
  if (C.ServerDistance == Distance::OtherDomain)
    Cost += CrossDomainCost;
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

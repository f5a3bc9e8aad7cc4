/// \file
/// The balancer `least-risk`: chooses the candidate with the lowest expected
/// cost of risk, load and distance. It evaluates all candidates, so it is
/// intended for services with up to about a hundred backend servers.

#include "teaselhitch/Routing/Balancer.h"

#include <algorithm>
#include <utility>

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
/// The same for a remote failure domain: less than waiting one run time in the
/// own domain, more than any load of a backend server with a free slot.
constexpr double RemoteDomainCost = 0.25;
/// Cost of a remote backend server all of whose slots are in use. When the load
/// of a domain rises, all its entries look elsewhere at the same time; a remote
/// domain takes fewer of them the fuller it is.
constexpr double RemoteLoadCost = 0.1;
/// Cost of sharing a backend server with other requests: they slow each other
/// down, and a fault of the server affects all of them.
constexpr double LoadCost = 0.05;
/// Cost of a failure of the path to the guard.
constexpr double PathFailureCost = 0.6;
/// Random part of the cost, so that entries do not all choose the same backend
/// server.
constexpr double Jitter = 0.01;

double usableSlots(const Candidate &C) {
  return std::max(1U, C.Server->Slots) * C.Server->Weight / 100.0;
}

double cost(const Candidate &C, RandomSource &Random) {
  double Slots = usableSlots(C);
  double Utilization = C.InProgress / std::max(Slots, 0.1);
  double Cost = FailureCost * C.Risk + LoadCost * std::min(Utilization, 1.0) +
                PathFailureCost * C.PathFailures + Jitter * Random.uniform();
  if (C.InProgress + 1 > Slots)
    Cost += QueueingCost * (1 + C.Waiting / std::max(Slots, 0.1));
  if (C.ServerDistance == Distance::OtherDomain)
    Cost += CrossDomainCost;
  if (C.ServerDistance == Distance::RemoteDomain)
    Cost += RemoteDomainCost + RemoteLoadCost * std::min(Utilization, 1.0);
  return Cost;
}

class LeastRiskBalancer final : public Balancer {
public:
  std::optional<std::size_t> choose(const std::vector<Candidate> &Candidates,
                                    RandomSource &Random) override {
    std::optional<std::size_t> Best;
    double BestCost = 0;
    auto Consider = [&](std::size_t I) {
      double Cost = cost(Candidates[I], Random);
      if (Best && Cost >= BestCost)
        return;
      Best = I;
      BestCost = Cost;
    };
    Remote.clear();
    for (std::size_t I = 0; I != Candidates.size(); ++I)
      if (Candidates[I].ServerDistance == Distance::RemoteDomain)
        Remote.push_back(I);
      else
        Consider(I);
    considerTwoRemote(Candidates, Random, Consider);
    return Best;
  }

private:
  /// Considers two random remote candidates, with a free slot if possible. The
  /// load of remote backend servers is known late, so the entries of a domain
  /// would all choose the one that was reported as the least loaded.
  template <typename FunctionT>
  void considerTwoRemote(const std::vector<Candidate> &Candidates,
                         RandomSource &Random, FunctionT &&Consider) {
    auto HasRoom = [&](std::size_t I) {
      return Candidates[I].InProgress + 1 <= usableSlots(Candidates[I]);
    };
    if (std::any_of(Remote.begin(), Remote.end(), HasRoom))
      std::erase_if(Remote, [&](std::size_t I) { return !HasRoom(I); });
    for (unsigned Draws = 0; Draws != 2 && !Remote.empty(); ++Draws) {
      std::swap(Remote[Random.uniformInt(Remote.size())], Remote.back());
      Consider(Remote.back());
      Remote.pop_back();
    }
  }

  std::vector<std::size_t> Remote;
};

const BalancerRegistry::Entry
    Registered("least-risk", "the least expected cost of risk, load, distance",
               [] { return std::make_unique<LeastRiskBalancer>(); });

} // namespace

} // namespace teaselhitch

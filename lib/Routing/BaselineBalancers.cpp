/// \file
/// The balancers `round-robin` and `random`, which serve as baselines in
/// measurements.

#include "teaselhitch/Routing/Balancer.h"

TEASELHITCH_PLUGIN(BaselineBalancers)

namespace teaselhitch {

namespace {

class RoundRobinBalancer final : public Balancer {
public:
  std::optional<std::size_t> choose(const std::vector<Candidate> &Candidates,
                                    RandomSource &) override {
    if (Candidates.empty())
      return std::nullopt;
    return Next++ % Candidates.size();
  }

private:
  std::size_t Next = 0;
};

class RandomBalancer final : public Balancer {
public:
  std::optional<std::size_t> choose(const std::vector<Candidate> &Candidates,
                                    RandomSource &Random) override {
    if (Candidates.empty())
      return std::nullopt;
    return Random.uniformInt(Candidates.size());
  }
};

const BalancerRegistry::Entry
    RegisteredRoundRobin("round-robin", "each candidate in turn",
                         [] { return std::make_unique<RoundRobinBalancer>(); });
const BalancerRegistry::Entry
    RegisteredRandom("random", "any candidate with equal probability",
                     [] { return std::make_unique<RandomBalancer>(); });

} // namespace

} // namespace teaselhitch

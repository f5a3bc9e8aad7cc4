/// \file
/// The balancer `two-choices`: the better of two random candidates nearby, of
/// one further away, and of the own instance.

#include "teaselhitch/Routing/Balancer.h"

#include <algorithm>

TEASELHITCH_PLUGIN(TwoChoices)

namespace teaselhitch {

namespace {

/// Extra time of a crossing in both directions in milliseconds: the larger of
/// the two deployments has 1.5 ms one way.
constexpr double CrossingMs = 3.0;
/// Hop to another instance of the same failure domain in milliseconds.
constexpr double NeighbourMs = 0.3;
/// Assumed run time of a backend server that was not used yet.
constexpr double DefaultRunTimeMs = 5.0;
/// A path on which each attempt fails counts as this much slower.
constexpr double PathFailurePenaltyMs = 1000.0;

double distanceMs(Distance Away) {
  switch (Away) {
  case Distance::OwnInstance:
    return 0;
  case Distance::OwnDomain:
    return NeighbourMs;
  case Distance::OtherDomain:
    return CrossingMs;
  }
  return CrossingMs;
}

/// Expected time until the answer. Below one request for each usable slot no
/// request waits; above, waiting grows with the excess.
double expectedMs(const Candidate &C) {
  double RunTime = C.RunTimeMs > 0 ? C.RunTimeMs : DefaultRunTimeMs;
  double Slots = std::max(1U, C.Server->Slots) * C.Server->Weight / 100.0;
  double Rounds = (C.InProgress + 1) / std::max(Slots, 0.1);
  return RunTime * std::max(1.0, Rounds) + RunTime * 0.1 * Rounds +
         distanceMs(C.Away) + C.PathFailures * PathFailurePenaltyMs;
}

class TwoChoicesBalancer final : public Balancer {
public:
  std::optional<std::size_t> choose(const std::vector<Candidate> &Candidates,
                                    RandomSource &Random) override {
    if (Candidates.empty())
      return std::nullopt;
    Near.clear();
    Far.clear();
    for (std::size_t I = 0; I != Candidates.size(); ++I)
      (Candidates[I].Away == Distance::OtherDomain ? Far : Near).push_back(I);

    std::optional<std::size_t> Best;
    auto Consider = [&](std::size_t I) {
      if (!Best || expectedMs(Candidates[I]) < expectedMs(Candidates[*Best]))
        Best = I;
    };
    drawTwo(Near, Random, Consider);
    for (std::size_t I : Near)
      if (Candidates[I].Away == Distance::OwnInstance)
        Consider(I);
    if (Near.empty())
      drawTwo(Far, Random, Consider);
    else if (!Far.empty())
      Consider(Far[Random.below(Far.size())]);
    return Best;
  }

private:
  template <typename FunctionT>
  static void drawTwo(const std::vector<std::size_t> &From,
                      RandomSource &Random, FunctionT Consider) {
    if (From.empty())
      return;
    std::size_t First = Random.below(From.size());
    Consider(From[First]);
    if (From.size() == 1)
      return;
    std::size_t Second = Random.below(From.size() - 1);
    Consider(From[Second >= First ? Second + 1 : Second]);
  }

  std::vector<std::size_t> Near;
  std::vector<std::size_t> Far;
};

const BalancerRegistry::Entry
    Registered("two-choices",
               "the better of random candidates by load, run time and distance",
               [] { return std::make_unique<TwoChoicesBalancer>(); });

} // namespace

} // namespace teaselhitch

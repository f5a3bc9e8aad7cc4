/// \file
/// The balancer `two-choices`: chooses the best of two random nearby
/// candidates, one random candidate in another failure domain, and the
/// candidates on its own instance.

#include "teaselhitch/Routing/Balancer.h"

#include <algorithm>

TEASELHITCH_PLUGIN(TwoChoices)

namespace teaselhitch {

namespace {

/// Round-trip time to another failure domain in milliseconds: the larger of the
/// two deployments has 1.5 ms one way.
constexpr double CrossDomainMs = 3.0;
/// Round-trip time to a remote failure domain in milliseconds; the deployment
/// with remote domains has 5.4 ms one way.
constexpr double RemoteDomainMs = 10.8;
/// Time to reach another instance of the same failure domain, in milliseconds.
constexpr double SameDomainMs = 0.3;
/// Assumed run time of a backend server that has not answered yet.
constexpr double DefaultRunTimeMs = 5.0;
/// Extra time that is assumed for a path on which every attempt fails.
constexpr double PathFailurePenaltyMs = 1000.0;

double distanceMs(Distance ServerDistance) {
  switch (ServerDistance) {
  case Distance::OwnInstance:
    return 0;
  case Distance::OwnDomain:
    return SameDomainMs;
  case Distance::OtherDomain:
    return CrossDomainMs;
  case Distance::RemoteDomain:
    return RemoteDomainMs;
  }
  return CrossDomainMs;
}

/// Returns the expected time until the answer. Up to one request per usable
/// slot, no request waits; beyond that, the waiting time grows with the excess.
double expectedMs(const Candidate &C) {
  double RunTime = C.RunTimeMs > 0 ? C.RunTimeMs : DefaultRunTimeMs;
  double Slots = std::max(1U, C.Server->Slots) * C.Server->Weight / 100.0;
  double RequestsPerSlot = (C.InProgress + 1) / std::max(Slots, 0.1);
  return RunTime * std::max(1.0, RequestsPerSlot) +
         RunTime * 0.1 * RequestsPerSlot + distanceMs(C.ServerDistance) +
         C.PathFailures * PathFailurePenaltyMs;
}

class TwoChoicesBalancer final : public Balancer {
public:
  std::optional<std::size_t> choose(const std::vector<Candidate> &Candidates,
                                    RandomSource &Random) override {
    if (Candidates.empty())
      return std::nullopt;
    NearIndices.clear();
    FarIndices.clear();
    for (std::size_t I = 0; I != Candidates.size(); ++I)
      (Candidates[I].ServerDistance >= Distance::OtherDomain ? FarIndices
                                                             : NearIndices)
          .push_back(I);

    std::optional<std::size_t> Best;
    auto Consider = [&](std::size_t I) {
      if (!Best || expectedMs(Candidates[I]) < expectedMs(Candidates[*Best]))
        Best = I;
    };
    drawTwo(NearIndices, Random, Consider);
    for (std::size_t I : NearIndices)
      if (Candidates[I].ServerDistance == Distance::OwnInstance)
        Consider(I);
    if (NearIndices.empty())
      drawTwo(FarIndices, Random, Consider);
    else if (!FarIndices.empty())
      Consider(FarIndices[Random.uniformInt(FarIndices.size())]);
    return Best;
  }

private:
  template <typename FunctionT>
  static void drawTwo(const std::vector<std::size_t> &From,
                      RandomSource &Random, FunctionT Consider) {
    if (From.empty())
      return;
    std::size_t First = Random.uniformInt(From.size());
    Consider(From[First]);
    if (From.size() == 1)
      return;
    std::size_t Second = Random.uniformInt(From.size() - 1);
    Consider(From[Second >= First ? Second + 1 : Second]);
  }

  std::vector<std::size_t> NearIndices;
  std::vector<std::size_t> FarIndices;
};

const BalancerRegistry::Entry
    Registered("two-choices",
               "the better of random candidates by load, run time and distance",
               [] { return std::make_unique<TwoChoicesBalancer>(); });

} // namespace

} // namespace teaselhitch

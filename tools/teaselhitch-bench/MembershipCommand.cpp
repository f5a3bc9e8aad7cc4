/// \file
/// The command `membership`: costs and delays of Membership by number of nodes.

#include "Command.h"
#include "MembershipBench.h"

#include <iostream>

namespace teaselhitch::bench {

namespace {

/// Bounds from the users' target for one node.
constexpr double MaxBytesPerSecond = 4096;
constexpr double MaxCpuPercent = 2.5;
constexpr double MaxDetectionMs = 5000;
constexpr double MaxDisseminationMs = 3000;

class MembershipCommand final : public Command {
public:
  int run(const CommandOptions &Options) override {
    MembershipBenchOptions Bench;
    if (Options.Quick)
      Bench.Sizes = {25, 50, 100};
    MembershipBenchResult Results = runMembershipBench(Bench);
    std::cout << (Options.Json ? membershipBenchJson(Results)
                               : membershipBenchText(Results))
              << '\n';
    bool WithinBounds = Results.Projection.SentBytes <= MaxBytesPerSecond &&
                        Results.Projection.CpuPercent <= MaxCpuPercent;
    for (const MembershipDelayRow &Row : Results.Delays)
      WithinBounds = WithinBounds && Row.DetectionMaxMs <= MaxDetectionMs &&
                     Row.DisseminationMaxMs <= MaxDisseminationMs;
    if (!WithinBounds)
      std::cerr
          << "network traffic, processor time or a delay exceeds its bound\n";
    return WithinBounds ? 0 : 1;
  }
};

const CommandRegistry::Entry
    Registered("membership",
               "network traffic, processor time and delays by fleet size",
               [] { return std::make_unique<MembershipCommand>(); });

} // namespace

} // namespace teaselhitch::bench

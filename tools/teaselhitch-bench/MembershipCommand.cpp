/// \file
/// The command `membership`: cost of membership by number of nodes.

#include "Command.h"
#include "MembershipBench.h"

#include <iostream>

namespace teaselhitch::bench {

namespace {

/// Bounds of the users' target for one node.
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
    MembershipBenchResult Measured = runMembershipBench(Bench);
    std::cout << (Options.Json ? membershipBenchJson(Measured)
                               : membershipBenchText(Measured))
              << '\n';
    bool Ok = Measured.Projection.SentBytes <= MaxBytesPerSecond &&
              Measured.Projection.CpuPercent <= MaxCpuPercent;
    for (const MembershipDelayRow &Row : Measured.Delays)
      Ok = Ok && Row.DetectionMaxMs <= MaxDetectionMs &&
           Row.DisseminationMaxMs <= MaxDisseminationMs;
    if (!Ok)
      std::cerr << "a bound of the target size is missed\n";
    return Ok ? 0 : 1;
  }
};

const CommandRegistry::Entry
    Registered("membership", "network, processor and delays by fleet size",
               [] { return std::make_unique<MembershipCommand>(); });

} // namespace

} // namespace teaselhitch::bench

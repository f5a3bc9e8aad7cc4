/// \file
/// Embeds two components of the library in a standalone program: a balancer
/// plug-in distributes requests over three servers, and a failure detector per
/// server evaluates the results of its requests. One of the servers fails four
/// of five requests. All times are simulated.

#include "teaselhitch/Detection/Detector.h"
#include "teaselhitch/Routing/Balancer.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace teaselhitch;

namespace {

constexpr std::size_t ServerCount = 3;
constexpr std::size_t GrayServer = 1;
constexpr double GrayFailureRate = 0.8;
constexpr int RequestCount = 600;
constexpr Duration RequestInterval(10);
constexpr Duration RunTime(20);

struct Server {
  BackendServerRecord Record;
  std::unique_ptr<Detector> FailureDetector;
};

Result<std::vector<Server>> createServers() {
  std::vector<Server> Servers(ServerCount);
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    Servers[I].Record.Id.Name =
        BackendServerName("server-" + std::to_string(I));
    BOOST_LEAF_ASSIGN(
        Servers[I].FailureDetector,
        createDetector("sequential", DetectionPreset::FastDetection));
  }
  return {std::move(Servers)};
}

/// Simulates all requests. Returns true if the detectors report the gray
/// server, and no other server, as failing.
Result<bool> run() {
  BOOST_LEAF_AUTO(Servers, createServers());
  BOOST_LEAF_AUTO(Policy, BalancerRegistry::create("round-robin"));
  std::vector<Candidate> Candidates(Servers.size());
  for (std::size_t I = 0; I < Servers.size(); ++I)
    Candidates[I].Server = &Servers[I].Record;

  SeededRandom Random(1);
  // The baseline of the healthy peers of a server: no failures and the usual
  // run time.
  const ServiceBaseline Peers{0, RunTime.ms(), RequestCount};
  Time Now;
  for (int I = 0; I < RequestCount; ++I) {
    Now = Now + RequestInterval;
    auto Chosen = Policy->choose(Candidates, Random);
    if (!Chosen)
      return makeError(ErrorCode::NotFound, "balancer chose no server");
    bool Fails = *Chosen == GrayServer && Random.uniform() < GrayFailureRate;
    Servers[*Chosen].FailureDetector->observe({!Fails, RunTime, 1}, Peers, Now);
  }

  bool Passed = true;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    Verdict ServerVerdict = Servers[I].FailureDetector->verdict(Now);
    std::cout << Servers[I].Record.Id.Name.str() << ": "
              << verdictName(ServerVerdict) << ", "
              << Servers[I].FailureDetector->evidence(Now).Text << '\n';
    Passed &= (ServerVerdict == Verdict::Failing) == (I == GrayServer);
  }
  return bool(Passed);
}

} // namespace

int main() {
  bool Passed = handleError(run, [](const Error &E) {
    std::cerr << "embedding: " << E.Message << '\n';
    return false;
  });
  return Passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

/// \file
/// Embeds two components of the library in a program of its own: a balancer
/// plug-in distributes requests over three servers, and a detector for each
/// server judges it by the results. One of the servers fails four of five
/// requests. All times are virtual.

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
  std::unique_ptr<Detector> Judge;
};

Result<std::vector<Server>> createServers() {
  std::vector<Server> Servers(ServerCount);
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    Servers[I].Record.Id.Name =
        BackendServerName("server-" + std::to_string(I));
    BOOST_LEAF_ASSIGN(
        Servers[I].Judge,
        createDetector("sequential", DetectionPreset::FastDetection));
  }
  return {std::move(Servers)};
}

/// Sends all requests; true if exactly the gray server is found failing.
Result<bool> run() {
  BOOST_LEAF_AUTO(Servers, createServers());
  BOOST_LEAF_AUTO(Chooser, BalancerRegistry::create("round-robin"));
  std::vector<Candidate> Candidates(Servers.size());
  for (std::size_t I = 0; I < Servers.size(); ++I)
    Candidates[I].Server = &Servers[I].Record;

  SeededRandom Random(1);
  // The healthy peers of each server: no failures, the usual run time.
  const ServiceBaseline Peers{0, RunTime.ms(), RequestCount};
  Time Now;
  for (int I = 0; I < RequestCount; ++I) {
    Now = Now + RequestInterval;
    auto Chosen = Chooser->choose(Candidates, Random);
    if (!Chosen)
      return makeError(ErrorCode::NotFound, "no server to choose");
    bool Fails = *Chosen == GrayServer && Random.uniform() < GrayFailureRate;
    Servers[*Chosen].Judge->observe({!Fails, RunTime, 1}, Peers, Now);
  }

  bool AsExpected = true;
  for (std::size_t I = 0; I < Servers.size(); ++I) {
    Verdict Found = Servers[I].Judge->verdict(Now);
    std::cout << Servers[I].Record.Id.Name.str() << ": " << verdictName(Found)
              << ", " << Servers[I].Judge->evidence(Now).Text << '\n';
    AsExpected &= (Found == Verdict::Failing) == (I == GrayServer);
  }
  return bool(AsExpected);
}

} // namespace

int main() {
  bool AsExpected = handleError(run, [](const Error &E) {
    std::cerr << "embedding: " << E.Message << '\n';
    return false;
  });
  return AsExpected ? EXIT_SUCCESS : EXIT_FAILURE;
}

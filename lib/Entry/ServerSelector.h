#ifndef TEASELHITCH_LIB_ENTRY_SERVERSELECTOR_H
#define TEASELHITCH_LIB_ENTRY_SERVERSELECTOR_H

/// \file
/// Chooses the backend server for the next attempt of a request.

#include "RequestTable.h"
#include "teaselhitch/Routing/Balancer.h"
#include "teaselhitch/Routing/LoadTracker.h"

#include <memory>
#include <vector>

namespace teaselhitch {

/// A chosen backend server.
struct Selection {
  const BackendServerRecord *Server = nullptr;
  bool IsTrial = false;
};

/// Holds the data that an entry has about backend servers and chooses among
/// them.
class ServerSelector {
public:
  ServerSelector(NodeName Node, FailureDomain Domain,
                 std::unique_ptr<Balancer> Policy, RandomSource &Random)
      : Node(std::move(Node)), Domain(std::move(Domain)),
        Policy(std::move(Policy)), Random(Random) {}

  void updateView(std::shared_ptr<const FleetView> NewView) {
    View = std::move(NewView);
    Load.useSharedRisk(View->sharesRisk());
  }
  const FleetView &view() const { return *View; }
  LoadTracker &load() { return Load; }

  /// Chooses a backend server of the target of \p P that is neither in P.Tried
  /// nor in P.Declined. The server is null if there is none.
  Selection choose(const PendingRequest &P, Time Now);

  /// Returns true if most backend servers that may be chosen look unhealthy.
  /// The cause is then unlikely to be the backend servers, and some of them
  /// must still take the work.
  bool isMostlyRisky(const PendingRequest &P, Time Now) const;

  /// Returns any backend server of the service that accepts requests, or null.
  const BackendServerRecord *chooseAny(const ServiceName &Service, Time Now);

private:
  Candidate makeCandidate(const BackendServerRecord &Server, Time Now) const;
  void limitRemoteTrials(const std::vector<Candidate> &Healthy,
                         std::vector<Candidate> &Suspected,
                         std::vector<Candidate> &Ejected);
  const BackendServerRecord *pick(const std::vector<Candidate> &From);

  NodeName Node;
  FailureDomain Domain;
  std::unique_ptr<Balancer> Policy;
  RandomSource &Random;
  std::shared_ptr<const FleetView> View = std::make_shared<FleetView>();
  LoadTracker Load;
};

} // namespace teaselhitch

#endif

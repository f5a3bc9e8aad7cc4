#ifndef TEASELHITCH_LIB_ENTRY_SERVERSELECTION_H
#define TEASELHITCH_LIB_ENTRY_SERVERSELECTION_H

/// \file
/// Chooses the backend server for the next attempt of a request.

#include "RequestTable.h"
#include "teaselhitch/Routing/Balancer.h"
#include "teaselhitch/Routing/LoadTracker.h"

#include <memory>

namespace teaselhitch {

/// A chosen backend server.
struct Selection {
  const BackendServerRecord *Server = nullptr;
  bool IsTrial = false;
};

/// What an entry knows of the backend servers, and the choice among them.
class ServerSelection {
public:
  ServerSelection(NodeName Node, FailureDomain Domain,
                  std::unique_ptr<Balancer> Choice, RandomSource &Random)
      : Node(std::move(Node)), Domain(std::move(Domain)),
        Choice(std::move(Choice)), Random(Random) {}

  void updateView(std::shared_ptr<const FleetView> NewView) {
    View = std::move(NewView);
  }
  const FleetView &view() const { return *View; }
  LoadTracker &load() { return Load; }

  /// A backend server of the target of \p P that it has neither tried nor been
  /// declined by; a null server if there is none.
  Selection choose(const PendingRequest &P, Time Now);

  /// True if most backend servers that may be chosen look bad. Then the cause
  /// is hardly the backend servers, and somebody has to take the work.
  bool isMostlyRisky(const PendingRequest &P, Time Now) const;

  /// Any backend server of the service that takes work; null if there is none.
  const BackendServerRecord *chooseAny(const ServiceName &Service, Time Now);

private:
  Candidate makeCandidate(const BackendServerRecord &Server, Time Now) const;
  const BackendServerRecord *best(const std::vector<Candidate> &From);

  NodeName Node;
  FailureDomain Domain;
  std::unique_ptr<Balancer> Choice;
  RandomSource &Random;
  std::shared_ptr<const FleetView> View = std::make_shared<FleetView>();
  LoadTracker Load;
};

} // namespace teaselhitch

#endif

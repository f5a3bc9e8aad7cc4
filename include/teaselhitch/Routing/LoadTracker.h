#ifndef TEASELHITCH_ROUTING_LOADTRACKER_H
#define TEASELHITCH_ROUTING_LOADTRACKER_H

/// \file
/// Tracks the state of backend servers that one entry observes through its own
/// attempts.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Routing/Balancer.h"

#include <cstdint>
#include <unordered_map>

namespace teaselhitch {

/// Load, run time and path failures of each backend server.
class LoadTracker {
public:
  void recordAttemptStart(const BackendServerId &Server);
  /// Must be called once for each started attempt, whatever its result.
  void recordAttemptEnd(const BackendServerId &Server);

  /// Records an answer. \p Success is false for server errors (status 500 and
  /// above); their run time is ignored because it does not predict the run time
  /// of successful requests.
  void recordAnswer(const BackendServerId &Server, bool Success,
                    Duration RunTime, const ServerLoad &Reported, Time Now);

  /// Records the load that a guard reported for a backend server. A report
  /// without data (zero slots) is ignored.
  void recordLoad(const BackendServerId &Server, const ServerLoad &Reported,
                  Time Now);

  /// Records a failure of the link to the guard of the backend server.
  void recordPathFailure(const BackendServerId &Server);

  /// Sets the load, run time, path failures and risk of a candidate.
  void fillCandidate(Candidate &C, Time Now) const;

  /// Sets whether the health that guards publish includes the risk of their
  /// backend servers. The default is true.
  void useSharedRisk(bool IsShared) { IsRiskShared = IsShared; }

  /// Removes the data of backend servers that are not in the view and have no
  /// attempt in progress.
  void prune(const FleetView &View);

private:
  struct ServerStats {
    /// Attempts of this entry in progress.
    std::uint32_t OwnAttempts = 0;
    ServerLoad Reported;
    Time ReportedAt;
    double RunTimeMs = 0;
    double PathFailures = 0;
  };

  std::unordered_map<BackendServerId, ServerStats> Servers;
  bool IsRiskShared = true;
};

} // namespace teaselhitch

#endif

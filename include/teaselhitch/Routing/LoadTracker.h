#ifndef TEASELHITCH_ROUTING_LOADTRACKER_H
#define TEASELHITCH_ROUTING_LOADTRACKER_H

/// \file
/// What one entry learns about backend servers from its own attempts.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Routing/Balancer.h"

#include <cstdint>
#include <unordered_map>

namespace teaselhitch {

/// Load, run time and path failures by backend server.
class LoadTracker {
public:
  void attemptStarted(const BackendServerId &Server);
  /// Each started attempt ends once, whatever its result.
  void attemptEnded(const BackendServerId &Server);

  /// An answer arrived. Success is false for server errors (status 500 and
  /// above), whose run time says nothing.
  void recordAnswer(const BackendServerId &Server, bool Success,
                    Duration RunTime, const ServerLoad &Reported, Time Now);

  /// A guard reported the load of a backend server. Does nothing if the report
  /// says nothing.
  void recordLoad(const BackendServerId &Server, const ServerLoad &Reported,
                  Time Now);

  /// The link to the guard of the backend server failed.
  void recordPathFailure(const BackendServerId &Server);

  /// Fills in the load figures of a candidate.
  void describe(Candidate &C, Time Now) const;

  /// Drops what is known of backend servers that are not in the view and have
  /// no attempt in progress.
  void prune(const FleetView &View);

private:
  struct Known {
    /// Attempts of this entry in progress.
    std::uint32_t Own = 0;
    ServerLoad Reported;
    Time ReportedAt;
    double RunTimeMs = 0;
    double PathFailures = 0;
  };

  std::unordered_map<BackendServerId, Known> Servers;
};

} // namespace teaselhitch

#endif

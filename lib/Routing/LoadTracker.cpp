#include "teaselhitch/Routing/LoadTracker.h"

#include <algorithm>
#include <set>

namespace teaselhitch {

namespace {

/// Weight of the newest sample in moving averages.
constexpr double Smoothing = 0.2;
/// Load reports older than this many milliseconds are ignored, because load
/// changes within a few run times.
constexpr double ReportLifetimeMs = 1000;
constexpr double MinRunTimeMs = 0.01;

} // namespace

void LoadTracker::attemptStarted(const BackendServerId &Server) {
  ++Servers[Server].Own;
}

void LoadTracker::attemptEnded(const BackendServerId &Server) {
  ServerLoad &Load = Servers[Server];
  Load.Own -= Load.Own > 0 ? 1 : 0;
}

void LoadTracker::recordAnswer(const BackendServerId &Server, bool Success,
                               Duration RunTime,
                               std::uint32_t ReportedInProgress, Time Now) {
  ServerLoad &Load = Servers[Server];
  Load.Reported = ReportedInProgress;
  Load.ReportedAt = Now;
  Load.PathFailures *= 1 - Smoothing;
  if (!Success)
    return;
  double Ms = std::max(RunTime.ms(), MinRunTimeMs);
  Load.RunTimeMs = Load.RunTimeMs == 0
                       ? Ms
                       : Load.RunTimeMs + Smoothing * (Ms - Load.RunTimeMs);
}

void LoadTracker::recordPathFailure(const BackendServerId &Server) {
  ServerLoad &Load = Servers[Server];
  Load.PathFailures += Smoothing * (1 - Load.PathFailures);
}

void LoadTracker::describe(Candidate &C, Time Now) const {
  auto It = Servers.find(C.Server->Id);
  if (It == Servers.end())
    return;
  const ServerLoad &Load = It->second;
  bool Fresh = (Now - Load.ReportedAt).ms() < ReportLifetimeMs;
  C.InProgress = std::max(Load.Own, Fresh ? Load.Reported : 0);
  C.RunTimeMs = Load.RunTimeMs;
  C.PathFailures = Load.PathFailures;
}

void LoadTracker::prune(const FleetView &View) {
  std::set<BackendServerId> Known;
  for (const auto &[Name, Service] : View.Services)
    for (const BackendServerRecord &Server : *Service)
      Known.insert(Server.Id);
  std::erase_if(Servers, [&](const auto &Item) {
    return Item.second.Own == 0 && Known.count(Item.first) == 0;
  });
}

} // namespace teaselhitch

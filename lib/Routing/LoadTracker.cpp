#include "teaselhitch/Routing/LoadTracker.h"

#include "teaselhitch/Model/Risk.h"

#include <algorithm>
#include <set>

namespace teaselhitch {

namespace {

/// Weight of the newest sample in moving averages.
constexpr double Smoothing = 0.2;
/// Load reports older than this many milliseconds are ignored, because load
/// changes within a few run times.
constexpr double ReportLifetimeMs = 1000;
/// Time in which a change of health reaches all nodes.
constexpr double GossipMs = 700;
/// Least risk of a backend server that is published as suspected, greatest of
/// one that is not.
constexpr double SuspectedRisk = 0.7;
constexpr double HealthyRisk = 0.4;
constexpr double MinRunTimeMs = 0.01;
constexpr double Percent = 100;

/// Bounds the risk by the published health.
void applyHealth(Candidate &C) {
  if (C.Server->Health == BackendServerHealth::Suspected)
    C.Risk = std::max(C.Risk, SuspectedRisk);
  else
    C.Risk = std::min(C.Risk, HealthyRisk);
}

} // namespace

void LoadTracker::attemptStarted(const BackendServerId &Server) {
  ++Servers[Server].Own;
}

void LoadTracker::attemptEnded(const BackendServerId &Server) {
  Known &K = Servers[Server];
  K.Own -= K.Own > 0 ? 1 : 0;
}

void LoadTracker::recordLoad(const BackendServerId &Server,
                             const ServerLoad &Reported, Time Now) {
  if (Reported.Slots == 0)
    return;
  Known &K = Servers[Server];
  K.Reported = Reported;
  K.ReportedAt = Now;
}

void LoadTracker::recordAnswer(const BackendServerId &Server, bool Success,
                               Duration RunTime, const ServerLoad &Reported,
                               Time Now) {
  recordLoad(Server, Reported, Now);
  Known &K = Servers[Server];
  K.PathFailures *= 1 - Smoothing;
  if (!Success)
    return;
  double Ms = std::max(RunTime.ms(), MinRunTimeMs);
  K.RunTimeMs =
      K.RunTimeMs == 0 ? Ms : K.RunTimeMs + Smoothing * (Ms - K.RunTimeMs);
}

void LoadTracker::recordPathFailure(const BackendServerId &Server) {
  Known &K = Servers[Server];
  K.PathFailures += Smoothing * (1 - K.PathFailures);
}

void LoadTracker::describe(Candidate &C, Time Now) const {
  C.Risk = UsualRisk;
  applyHealth(C);
  auto It = Servers.find(C.Server->Id);
  if (It == Servers.end())
    return;
  const Known &K = It->second;
  double AgeMs = (Now - K.ReportedAt).ms();
  bool Fresh = AgeMs < ReportLifetimeMs;
  C.InProgress = std::max(K.Own, Fresh ? K.Reported.InProgress : 0);
  C.Waiting = Fresh ? K.Reported.Waiting : 0;
  C.RunTimeMs = K.RunTimeMs;
  C.PathFailures = K.PathFailures;
  C.Risk = UsualRisk;
  if (K.Reported.Slots != 0)
    C.Risk = agedRisk(K.Reported.RiskPercent / Percent, Now - K.ReportedAt);
  // What the guard tells the fleet is newer than what it replied a while ago.
  if (AgeMs > GossipMs)
    applyHealth(C);
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

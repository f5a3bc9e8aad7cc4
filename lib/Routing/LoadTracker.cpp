#include "teaselhitch/Routing/LoadTracker.h"

#include "teaselhitch/Model/Risk.h"

#include <algorithm>
#include <set>

namespace teaselhitch {

namespace {

/// Weight of the newest sample in exponential moving averages.
constexpr double Smoothing = 0.2;
/// Load reports older than this many milliseconds are ignored, because load
/// changes within a few run times.
constexpr double ReportLifetimeMs = 1000;
/// Time within which a change of health reaches all nodes.
constexpr double GossipDelayMs = 700;
/// Minimum risk of a backend server that is published as suspected, and maximum
/// risk of one that is not.
constexpr double MinSuspectedRisk = 0.7;
constexpr double MaxHealthyRisk = 0.4;
constexpr double MinRunTimeMs = 0.01;
constexpr double Percent = 100;

/// Bounds the risk according to the published health.
void boundRiskByHealth(Candidate &C, bool IsRiskShared) {
  if (C.Server->Health == BackendServerHealth::Suspected)
    C.Risk = std::max(C.Risk, MinSuspectedRisk);
  else if (IsRiskShared)
    C.Risk = std::min(C.Risk, MaxHealthyRisk);
}

} // namespace

void LoadTracker::recordAttemptStart(const BackendServerId &Server) {
  ++Servers[Server].OwnAttempts;
}

void LoadTracker::recordAttemptEnd(const BackendServerId &Server) {
  ServerStats &Stats = Servers[Server];
  Stats.OwnAttempts -= Stats.OwnAttempts > 0 ? 1 : 0;
}

void LoadTracker::recordLoad(const BackendServerId &Server,
                             const ServerLoad &Reported, Time Now) {
  if (Reported.Slots == 0)
    return;
  ServerStats &Stats = Servers[Server];
  Stats.Reported = Reported;
  Stats.ReportedAt = Now;
}

void LoadTracker::recordAnswer(const BackendServerId &Server, bool Success,
                               Duration RunTime, const ServerLoad &Reported,
                               Time Now) {
  recordLoad(Server, Reported, Now);
  ServerStats &Stats = Servers[Server];
  Stats.PathFailures *= 1 - Smoothing;
  if (!Success)
    return;
  double Ms = std::max(RunTime.ms(), MinRunTimeMs);
  Stats.RunTimeMs = Stats.RunTimeMs == 0
                        ? Ms
                        : Stats.RunTimeMs + Smoothing * (Ms - Stats.RunTimeMs);
}

void LoadTracker::recordPathFailure(const BackendServerId &Server) {
  ServerStats &Stats = Servers[Server];
  Stats.PathFailures += Smoothing * (1 - Stats.PathFailures);
}

void LoadTracker::fillCandidate(Candidate &C, Time Now) const {
  C.Risk = PriorRisk;
  boundRiskByHealth(C, IsRiskShared);
  auto It = Servers.find(C.Server->Id);
  if (It == Servers.end())
    return;
  const ServerStats &Stats = It->second;
  double AgeMs = (Now - Stats.ReportedAt).ms();
  bool IsFresh = AgeMs < ReportLifetimeMs;
  C.InProgress =
      std::max(Stats.OwnAttempts, IsFresh ? Stats.Reported.InProgress : 0);
  C.Waiting = IsFresh ? Stats.Reported.Waiting : 0;
  C.RunTimeMs = Stats.RunTimeMs;
  C.PathFailures = Stats.PathFailures;
  C.Risk = PriorRisk;
  if (Stats.Reported.Slots != 0)
    C.Risk = decayedRisk(Stats.Reported.RiskPercent / Percent,
                         Now - Stats.ReportedAt);
  // The health that the guard has published is newer than its last reply.
  if (AgeMs > GossipDelayMs)
    boundRiskByHealth(C, IsRiskShared);
}

void LoadTracker::prune(const FleetView &View) {
  std::set<BackendServerId> ViewServers;
  for (const auto &[Name, Service] : View.Services)
    for (const BackendServerRecord &Server : *Service)
      ViewServers.insert(Server.Id);
  std::erase_if(Servers, [&](const auto &Item) {
    return Item.second.OwnAttempts == 0 && ViewServers.count(Item.first) == 0;
  });
}

} // namespace teaselhitch

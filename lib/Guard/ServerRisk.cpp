#include "ServerRisk.h"

#include "teaselhitch/Model/Risk.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Objectives are about three times the usual run time.
constexpr double RunTimesPerObjective = 3;
/// Maximum risk for idempotent requests, and for requests that must not run
/// twice.
constexpr double MaxIdempotentRisk = 0.7;
constexpr double MaxNonIdempotentRisk = 0.3;
/// Maximum risk for requests that must not run twice if the alternative is to
/// refuse them.
constexpr double MaxQueuedNonIdempotentRisk = 0.6;
/// Maximum risk for any request when most backend servers look faulty.
constexpr double MaxPanicRisk = 0.9;
/// Above this risk a backend server has to prove that it is healthy again;
/// below it, successful requests have proved this.
constexpr double UnprovenRisk = 0.5;
/// Time between two trials of a backend server that looks faulty. Each trial
/// that hangs costs a retry elsewhere. With this interval, two successful
/// trials detect the end of a gray failure within two seconds.
constexpr Duration TrialInterval = Duration(700);
/// A hung trial delays the next one by this time.
constexpr Duration HungTrialDelay = Duration::seconds(2);
/// Without trials, a backend server counts as unproven for this time. After it
/// the backend server is used again, so that a service without idempotent
/// requests does not lose it permanently.
constexpr Duration ProofTimeout = Duration::seconds(15);
/// An attempt is overdue if less than this share of requests runs longer. The
/// limit is higher if the backend server looks faulty anyway.
constexpr double OverdueShare = 0.03;
constexpr double SuspectOverdueShare = 0.25;
constexpr unsigned FirstServerError = 500;
/// A 504 means that the deadline passed; the cause may be a call that the
/// request was waiting for.
constexpr unsigned GatewayTimeout = 504;

Duration expectedRunTime(const DispatchInfo &Info) {
  Duration TimeLimit =
      Info.Objective.ms() > 0 ? Info.Objective : Info.Remaining;
  return TimeLimit * (1 / RunTimesPerObjective);
}

} // namespace

const RunTimeModel &ServerRisk::model(const DispatchInfo &Info) {
  std::unique_ptr<RunTimeModel> &Found = Models[Info.Rule];
  if (!Found)
    Found = std::make_unique<RunTimeModel>(expectedRunTime(Info));
  return *Found;
}

void ServerRisk::recordStart(const BackendServerName &Server,
                             const DispatchInfo &Info, Time Now) {
  Record &R = Servers[Server];
  R.Odds.started(Info.Attempt, model(Info), Now);
  if (!Info.Idempotent)
    return;
  ++R.Trials;
  R.LastTrialAt = Now;
}

void ServerRisk::recordFinish(const BackendServerName &Server,
                              const DispatchInfo &Info, const RunResult &Result,
                              Time Now) {
  Record &R = Servers[Server];
  if (Info.Idempotent && R.Trials > 0)
    --R.Trials;
  recordResult(R, Info, Result, Now);
}

void ServerRisk::recordResult(Record &R, const DispatchInfo &Info,
                              const RunResult &Result, Time Now) {
  switch (Result.End) {
  case RunEnd::Answered:
    if (Result.Status == GatewayTimeout)
      return R.Odds.abandoned(Info.Attempt, Now);
    if (Result.Status >= FirstServerError)
      return R.Odds.failed(Info.Attempt, Info.Baseline, Now);
    R.Odds.succeeded(Info.Attempt, Info.Baseline, Now);
    clearIfProven(R, Now);
    model(Info);
    Models[Info.Rule]->record(Result.RunTime);
    return;
  case RunEnd::ConnectFailed:
  case RunEnd::ConnectionLost:
    return R.Odds.failed(Info.Attempt, Info.Baseline, Now);
  case RunEnd::Aborted:
    return R.Odds.abandoned(Info.Attempt, Now);
  case RunEnd::Shed:
  case RunEnd::OtherServer:
  case RunEnd::Crashed:
  case RunEnd::TooLarge:
  case RunEnd::Withdrawn:
    return R.Odds.ended(Info.Attempt, Now);
  }
}

void ServerRisk::recordProgress(const BackendServerName &Server,
                                const DispatchInfo &Info, Time Now) {
  Record &R = Servers[Server];
  R.Odds.progressed(Info.Attempt, Info.Baseline, Now);
  clearIfProven(R, Now);
}

void ServerRisk::clearIfProven(Record &R, Time Now) {
  if (R.Odds.probability(Now) < UnprovenRisk)
    R.LastBadAt.reset();
}

void ServerRisk::recordRestart(const BackendServerName &Server, Time Now) {
  auto It = Servers.find(Server);
  if (It == Servers.end())
    return;
  It->second.Odds.reset(Now);
  It->second.LastBadAt.reset();
}

double ServerRisk::probability(const BackendServerName &Server,
                               Time Now) const {
  auto It = Servers.find(Server);
  return It == Servers.end() ? PriorRisk : It->second.Odds.probability(Now);
}

bool ServerRisk::isTooRisky(const BackendServerName &Server,
                            const DispatchInfo &Info, Time Now) const {
  double Probability = probability(Server, Now);
  if (!Info.Strict && !Info.AvoidsRisk)
    return Probability > MaxPanicRisk;
  constexpr double Percent = 100;
  double Limit = Info.Idempotent ? MaxIdempotentRisk
                 : Info.Strict   ? MaxNonIdempotentRisk
                                 : MaxQueuedNonIdempotentRisk;
  return Probability > std::min(Limit, Info.MaxRiskPercent / Percent) ||
         (Info.Strict && !Info.Idempotent && isUnproven(Server, Now));
}

bool ServerRisk::allowsTrial(const BackendServerName &Server,
                             const DispatchInfo &Info, Time Now) const {
  if (!Info.Idempotent || Info.MaxRiskPercent < AnyRiskPercent)
    return false;
  auto It = Servers.find(Server);
  if (It == Servers.end())
    return true;
  const Record &R = It->second;
  return Now - R.LastTrialAt >=
         (R.Trials == 0 ? TrialInterval : HungTrialDelay);
}

bool ServerRisk::isUnproven(const BackendServerName &Server, Time Now) const {
  auto It = Servers.find(Server);
  return It != Servers.end() && It->second.LastBadAt &&
         Now - *It->second.LastBadAt < ProofTimeout;
}

void ServerRisk::tick(Time Now) {
  for (auto &[Name, R] : Servers)
    if (R.Odds.probability(Now) > UnprovenRisk)
      R.LastBadAt = Now;
}

bool ServerRisk::isOverdue(const BackendServerName &Server,
                           const DispatchInfo &Info, Duration Elapsed,
                           Time Now) const {
  auto It = Models.find(Info.Rule);
  auto Known = Servers.find(Server);
  if (It == Models.end() || Known == Servers.end() ||
      Known->second.Odds.hasProgressed(Info.Attempt))
    return false;
  double Share = probability(Server, Now) > MaxIdempotentRisk
                     ? SuspectOverdueShare
                     : OverdueShare;
  return It->second->survival(Elapsed) < Share;
}

Duration ServerRisk::meanRunTime(const DispatchInfo &Info) const {
  auto It = Models.find(Info.Rule);
  bool IsKnown = It != Models.end() && It->second->isLearned();
  return IsKnown ? It->second->mean() : Duration();
}

} // namespace teaselhitch

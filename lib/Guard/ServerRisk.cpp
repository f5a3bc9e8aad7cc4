#include "ServerRisk.h"

#include "teaselhitch/Model/Risk.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Objectives leave room for about three times the usual run time.
constexpr double RunTimesPerObjective = 3;
/// Greatest risk for requests that may run again, and for those that must not.
constexpr double IdempotentRisk = 0.7;
constexpr double OnceRisk = 0.3;
/// The latter when the alternative is to refuse the request.
constexpr double WaitingOnceRisk = 0.6;
/// Greatest risk for any request when most backend servers look bad.
constexpr double PanicRisk = 0.9;
/// Risk from which a backend server has to show that it is sound again, and
/// below which successes have shown it.
constexpr double UnprovenRisk = 0.5;
/// Time between two trials of a backend server that looks bad. Each one that
/// hangs costs a repeat elsewhere; at this pace, two successes show the end of
/// a gray phase within two seconds.
constexpr Duration TrialInterval = Duration(700);
/// A trial that hangs holds the next one up for this long.
constexpr Duration StuckTrial = Duration::seconds(2);
/// Without any trial a backend server counts as unproven for this long, so
/// that a service without idempotent requests does not lose it for good.
constexpr Duration ProofTimeout = Duration::seconds(15);
/// Share of requests that may run longer before one counts as overdue; more if
/// the backend server looks bad anyway.
constexpr double OverdueShare = 0.03;
constexpr double SuspectOverdueShare = 0.25;
constexpr unsigned FirstServerError = 500;
/// The deadline passed; the call that it waited for may be the cause.
constexpr unsigned GatewayTimeout = 504;

Duration expectedRunTime(const DispatchInfo &Info) {
  Duration Whole = Info.Objective.ms() > 0 ? Info.Objective : Info.Remaining;
  return Whole * (1 / RunTimesPerObjective);
}

} // namespace

const RunTimeModel &ServerRisk::model(const DispatchInfo &Info) {
  std::unique_ptr<RunTimeModel> &Found = Models[Info.Rule];
  if (!Found)
    Found = std::make_unique<RunTimeModel>(expectedRunTime(Info));
  return *Found;
}

void ServerRisk::started(const BackendServerName &Server,
                         const DispatchInfo &Info, Time Now) {
  Record &R = Servers[Server];
  R.Odds.started(Info.Attempt, model(Info), Now);
  if (!Info.Idempotent)
    return;
  ++R.Trials;
  R.LastTrialAt = Now;
}

void ServerRisk::finished(const BackendServerName &Server,
                          const DispatchInfo &Info, const RunResult &Result,
                          Time Now) {
  Record &R = Servers[Server];
  if (Info.Idempotent && R.Trials > 0)
    --R.Trials;
  noteResult(R, Info, Result, Now);
}

void ServerRisk::noteResult(Record &R, const DispatchInfo &Info,
                            const RunResult &Result, Time Now) {
  switch (Result.End) {
  case RunEnd::Answered:
    if (Result.Status == GatewayTimeout)
      return R.Odds.abandoned(Info.Attempt, Now);
    if (Result.Status >= FirstServerError)
      return R.Odds.failed(Info.Attempt, Info.Baseline, Now);
    R.Odds.succeeded(Info.Attempt, Info.Baseline, Now);
    noteProof(R, Now);
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

void ServerRisk::progressed(const BackendServerName &Server,
                            const DispatchInfo &Info, Time Now) {
  Record &R = Servers[Server];
  R.Odds.progressed(Info.Attempt, Info.Baseline, Now);
  noteProof(R, Now);
}

void ServerRisk::noteProof(Record &R, Time Now) {
  if (R.Odds.probability(Now) < UnprovenRisk)
    R.BadAt.reset();
}

void ServerRisk::restarted(const BackendServerName &Server, Time Now) {
  auto It = Servers.find(Server);
  if (It == Servers.end())
    return;
  It->second.Odds.reset(Now);
  It->second.BadAt.reset();
}

double ServerRisk::probability(const BackendServerName &Server,
                               Time Now) const {
  auto It = Servers.find(Server);
  return It == Servers.end() ? UsualRisk : It->second.Odds.probability(Now);
}

bool ServerRisk::isTooRisky(const BackendServerName &Server,
                            const DispatchInfo &Info, Time Now) const {
  double Probability = probability(Server, Now);
  if (!Info.Strict && !Info.AvoidsRisk)
    return Probability > PanicRisk;
  constexpr double Percent = 100;
  double Limit = Info.Idempotent ? IdempotentRisk
                 : Info.Strict   ? OnceRisk
                                 : WaitingOnceRisk;
  return Probability > std::min(Limit, Info.MaxRiskPercent / Percent) ||
         (Info.Strict && !Info.Idempotent && isUnproven(Server, Now));
}

bool ServerRisk::mayTry(const BackendServerName &Server,
                        const DispatchInfo &Info, Time Now) const {
  if (!Info.Idempotent || Info.MaxRiskPercent < AnyRiskPercent)
    return false;
  auto It = Servers.find(Server);
  if (It == Servers.end())
    return true;
  const Record &R = It->second;
  return Now - R.LastTrialAt >= (R.Trials == 0 ? TrialInterval : StuckTrial);
}

bool ServerRisk::isUnproven(const BackendServerName &Server, Time Now) const {
  auto It = Servers.find(Server);
  return It != Servers.end() && It->second.BadAt &&
         Now - *It->second.BadAt < ProofTimeout;
}

void ServerRisk::tick(Time Now) {
  for (auto &[Name, R] : Servers)
    if (R.Odds.probability(Now) > UnprovenRisk)
      R.BadAt = Now;
}

bool ServerRisk::isOverdue(const BackendServerName &Server,
                           const DispatchInfo &Info, Duration Elapsed,
                           Time Now) const {
  auto It = Models.find(Info.Rule);
  auto Known = Servers.find(Server);
  if (It == Models.end() || Known == Servers.end() ||
      Known->second.Odds.hasProgressed(Info.Attempt))
    return false;
  double Share = probability(Server, Now) > IdempotentRisk ? SuspectOverdueShare
                                                           : OverdueShare;
  return It->second->survival(Elapsed) < Share;
}

Duration ServerRisk::meanRunTime(const DispatchInfo &Info) const {
  auto It = Models.find(Info.Rule);
  bool IsKnown = It != Models.end() && It->second->isLearned();
  return IsKnown ? It->second->mean() : Duration();
}

} // namespace teaselhitch

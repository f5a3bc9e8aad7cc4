#include "ServerRisk.h"

namespace teaselhitch {

namespace {

/// Objectives leave room for about three times the usual run time.
constexpr double RunTimesPerObjective = 3;
/// Greatest risk for requests that may run again, and for those that must not.
constexpr double IdempotentRisk = 0.7;
constexpr double OnceRisk = 0.35;
/// The latter when the alternative is to refuse the request.
constexpr double WaitingOnceRisk = 0.8;
/// Greatest risk for any request when most backend servers look bad.
constexpr double PanicRisk = 0.95;
/// A backend server that looks bad and is idle gets an idempotent request now
/// and then, with which it can show that it is sound again.
constexpr double TrialRisk = 0.9;
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
  Odds[Server].started(Info.Attempt, model(Info), Now);
}

void ServerRisk::finished(const BackendServerName &Server,
                          const DispatchInfo &Info, const RunResult &Result,
                          Time Now) {
  FailureOdds &O = Odds[Server];
  switch (Result.End) {
  case RunEnd::Answered:
    if (Result.Status == GatewayTimeout)
      return O.abandoned(Info.Attempt, Now);
    if (Result.Status >= FirstServerError)
      return O.failed(Info.Attempt, Info.Baseline, Now);
    O.succeeded(Info.Attempt, Info.Baseline, Now);
    model(Info);
    Models[Info.Rule]->record(Result.RunTime);
    return;
  case RunEnd::ConnectFailed:
  case RunEnd::ConnectionLost:
    return O.failed(Info.Attempt, Info.Baseline, Now);
  case RunEnd::Aborted:
    return O.abandoned(Info.Attempt, Now);
  case RunEnd::Shed:
  case RunEnd::OtherServer:
  case RunEnd::Crashed:
  case RunEnd::TooLarge:
  case RunEnd::Withdrawn:
    return O.ended(Info.Attempt, Now);
  }
}

void ServerRisk::restarted(const BackendServerName &Server, Time Now) {
  auto It = Odds.find(Server);
  if (It != Odds.end())
    It->second.reset(Now);
}

double ServerRisk::probability(const BackendServerName &Server,
                               Time Now) const {
  auto It = Odds.find(Server);
  return It == Odds.end() ? FailureOdds().probability(Now)
                          : It->second.probability(Now);
}

bool ServerRisk::isTooRisky(const BackendServerName &Server,
                            const DispatchInfo &Info, Time Now) const {
  double Limit = Info.Idempotent ? IdempotentRisk
                 : Info.Strict   ? OnceRisk
                                 : WaitingOnceRisk;
  if (!Info.Strict && !Info.AvoidsRisk)
    Limit = PanicRisk;
  return probability(Server, Now) > Limit;
}

bool ServerRisk::mayTry(const BackendServerName &Server,
                        const DispatchInfo &Info, Time Now) const {
  return Info.Idempotent && probability(Server, Now) <= TrialRisk;
}

bool ServerRisk::isOverdue(const BackendServerName &Server,
                           const DispatchInfo &Info, Duration Elapsed,
                           Time Now) const {
  auto It = Models.find(Info.Rule);
  if (It == Models.end())
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

#include "teaselhitch/Detection/FailureOdds.h"

#include "teaselhitch/Model/Risk.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Share of failed requests at a healthy and at a failing backend server.
constexpr double HealthyFailureRate = 0.02;
constexpr double FailingFailureRate = 0.7;
/// Bounds of the log odds, so that the estimate follows a change after few
/// requests.
constexpr double MinLogOdds = -5;
constexpr double MaxLogOdds = 5.5;
/// Maximum evidence, in log odds, from one running attempt: about one in fifty
/// requests to a healthy backend server takes several times as long as the
/// others.
constexpr double MaxOverdueEvidence = 3.8;

double logOdds(double Probability) {
  return std::log(Probability / (1 - Probability));
}

double logistic(double LogOdds) { return 1 / (1 + std::exp(-LogOdds)); }

/// Estimates the share of failed requests at a healthy backend server from the
/// peers.
double expectedFailureRate(const ServiceBaseline &Peers) {
  constexpr double PriorRequests = 5;
  constexpr double MaxRate = 0.6;
  double Rate =
      (Peers.ErrorRate * Peers.Weight + HealthyFailureRate * PriorRequests) /
      (Peers.Weight + PriorRequests);
  return std::min(Rate, MaxRate);
}

double successEvidence(const ServiceBaseline &Peers) {
  return std::log((1 - FailingFailureRate) / (1 - expectedFailureRate(Peers)));
}

} // namespace

FailureOdds::FailureOdds() : Estimate(PriorRisk) {}

void FailureOdds::started(const AttemptId &Attempt, const RunTimeModel &Model,
                          Time Now) {
  Attempts.insert_or_assign(Attempt, RunningAttempt{Now, &Model});
}

void FailureOdds::progressed(const AttemptId &Attempt,
                             const ServiceBaseline &Peers, Time Now) {
  auto It = Attempts.find(Attempt);
  if (It == Attempts.end() || It->second.HasProgressed)
    return;
  addEvidence(It->second, successEvidence(Peers), Now);
  It->second.HasProgressed = true;
}

bool FailureOdds::hasProgressed(const AttemptId &Attempt) const {
  auto It = Attempts.find(Attempt);
  return It != Attempts.end() && It->second.HasProgressed;
}

void FailureOdds::succeeded(const AttemptId &Attempt,
                            const ServiceBaseline &Peers, Time Now) {
  endAttempt(Attempt, successEvidence(Peers), Now);
}

void FailureOdds::failed(const AttemptId &Attempt, const ServiceBaseline &Peers,
                         Time Now) {
  endAttempt(Attempt, std::log(FailingFailureRate / expectedFailureRate(Peers)),
             Now);
}

void FailureOdds::ended(const AttemptId &Attempt, Time) {
  Attempts.erase(Attempt);
}

void FailureOdds::abandoned(const AttemptId &Attempt, Time Now) {
  auto It = Attempts.find(Attempt);
  if (It != Attempts.end())
    endAttempt(Attempt, overdueEvidence(It->second, Now), Now);
}

double FailureOdds::probability(Time Now) const {
  double LogOdds = logOdds(decayedEstimate(Now));
  for (const auto &[Attempt, R] : Attempts)
    LogOdds += overdueEvidence(R, Now) * evidenceWeight(Now - R.Since);
  return logistic(std::clamp(LogOdds, MinLogOdds, MaxLogOdds));
}

void FailureOdds::reset(Time Now) {
  Estimate = PriorRisk;
  UpdatedAt = Now;
}

double FailureOdds::decayedEstimate(Time Now) const {
  return decayedRisk(Estimate, Now - UpdatedAt);
}

/// A failing backend server leaves most requests unanswered. An attempt that
/// runs longer than most others is therefore evidence of a failure.
double FailureOdds::overdueEvidence(const RunningAttempt &R, Time Now) {
  if (R.HasProgressed)
    return 0;
  double HealthySurvival = R.Model->survival(Now - R.Since);
  double FailingSurvival =
      FailingFailureRate + (1 - FailingFailureRate) * HealthySurvival;
  if (HealthySurvival <= 0)
    return MaxOverdueEvidence;
  return std::min(MaxOverdueEvidence,
                  std::log(FailingSurvival / HealthySurvival));
}

/// The result of an attempt is evidence for the time at which the attempt
/// started: a request that hung until its deadline may have started in a
/// failure that ended long ago.
void FailureOdds::endAttempt(const AttemptId &Attempt, double Evidence,
                             Time Now) {
  auto It = Attempts.find(Attempt);
  if (It == Attempts.end())
    return;
  // An error after progress is most likely caused by a request that the backend
  // server sent on behalf of the attempt.
  if (!It->second.HasProgressed)
    addEvidence(It->second, Evidence, Now);
  Attempts.erase(It);
}

void FailureOdds::addEvidence(const RunningAttempt &R, double Evidence,
                              Time Now) {
  double LogOdds =
      logOdds(decayedEstimate(Now)) + Evidence * evidenceWeight(Now - R.Since);
  Estimate = logistic(std::clamp(LogOdds, MinLogOdds, MaxLogOdds));
  UpdatedAt = Now;
}

} // namespace teaselhitch

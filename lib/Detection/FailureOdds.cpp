#include "teaselhitch/Detection/FailureOdds.h"

#include "teaselhitch/Model/Risk.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Share of requests that a sound and a failing backend server fail.
constexpr double SoundFailures = 0.02;
constexpr double FailingFailures = 0.7;
/// Bounds of the logarithm of the odds, so that a change shows after few
/// requests.
constexpr double LeastLog = -5;
constexpr double GreatestLog = 5.5;
/// Most that one running attempt proves: about one in fifty requests of a
/// sound backend server runs several times as long as the others.
constexpr double MaxOverdueEvidence = 3.8;

double logOdds(double Probability) {
  return std::log(Probability / (1 - Probability));
}

double probabilityOf(double Log) { return 1 / (1 + std::exp(-Log)); }

/// Share of requests that a sound backend server fails, as far as the peers
/// tell.
double usualFailures(const ServiceBaseline &Peers) {
  constexpr double PriorRequests = 5;
  constexpr double Greatest = 0.6;
  double Share =
      (Peers.ErrorRate * Peers.Weight + SoundFailures * PriorRequests) /
      (Peers.Weight + PriorRequests);
  return std::min(Share, Greatest);
}

double successEvidence(const ServiceBaseline &Peers) {
  return std::log((1 - FailingFailures) / (1 - usualFailures(Peers)));
}

} // namespace

FailureOdds::FailureOdds() : Estimate(UsualRisk) {}

void FailureOdds::started(const AttemptId &Attempt, const RunTimeModel &Model,
                          Time Now) {
  Attempts.insert_or_assign(Attempt, Running{Now, &Model});
}

void FailureOdds::progressed(const AttemptId &Attempt,
                             const ServiceBaseline &Peers, Time Now) {
  auto It = Attempts.find(Attempt);
  if (It == Attempts.end() || It->second.HasProgressed)
    return;
  add(It->second, successEvidence(Peers), Now);
  It->second.HasProgressed = true;
}

bool FailureOdds::hasProgressed(const AttemptId &Attempt) const {
  auto It = Attempts.find(Attempt);
  return It != Attempts.end() && It->second.HasProgressed;
}

void FailureOdds::succeeded(const AttemptId &Attempt,
                            const ServiceBaseline &Peers, Time Now) {
  end(Attempt, successEvidence(Peers), Now);
}

void FailureOdds::failed(const AttemptId &Attempt, const ServiceBaseline &Peers,
                         Time Now) {
  end(Attempt, std::log(FailingFailures / usualFailures(Peers)), Now);
}

void FailureOdds::ended(const AttemptId &Attempt, Time) {
  Attempts.erase(Attempt);
}

void FailureOdds::abandoned(const AttemptId &Attempt, Time Now) {
  auto It = Attempts.find(Attempt);
  if (It != Attempts.end())
    end(Attempt, overdueEvidence(It->second, Now), Now);
}

double FailureOdds::probability(Time Now) const {
  double Log = logOdds(history(Now));
  for (const auto &[Attempt, R] : Attempts)
    Log += overdueEvidence(R, Now) * evidenceWeight(Now - R.Since);
  return probabilityOf(std::clamp(Log, LeastLog, GreatestLog));
}

void FailureOdds::reset(Time Now) {
  Estimate = UsualRisk;
  UpdatedAt = Now;
}

double FailureOdds::history(Time Now) const {
  return agedRisk(Estimate, Now - UpdatedAt);
}

/// A failing backend server leaves most requests without an answer, so an
/// attempt that outlasts most others makes that hypothesis more probable.
double FailureOdds::overdueEvidence(const Running &R, Time Now) {
  if (R.HasProgressed)
    return 0;
  double Sound = R.Model->survival(Now - R.Since);
  double Failing = FailingFailures + (1 - FailingFailures) * Sound;
  if (Sound <= 0)
    return MaxOverdueEvidence;
  return std::min(MaxOverdueEvidence, std::log(Failing / Sound));
}

/// What became of an attempt tells of the moment at which it started: a request
/// that hung until its deadline may have met a phase that is long over.
void FailureOdds::end(const AttemptId &Attempt, double Evidence, Time Now) {
  auto It = Attempts.find(Attempt);
  if (It == Attempts.end())
    return;
  // An error after progress is most likely that of a request that it made.
  if (!It->second.HasProgressed)
    add(It->second, Evidence, Now);
  Attempts.erase(It);
}

void FailureOdds::add(const Running &R, double Evidence, Time Now) {
  double Log = logOdds(history(Now)) + Evidence * evidenceWeight(Now - R.Since);
  Estimate = probabilityOf(std::clamp(Log, LeastLog, GreatestLog));
  UpdatedAt = Now;
}

} // namespace teaselhitch

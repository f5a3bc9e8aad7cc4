#include "teaselhitch/Detection/FailureOdds.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Share of requests that a sound and a failing backend server fail.
constexpr double SoundFailures = 0.02;
constexpr double FailingFailures = 0.7;
/// Bounds of the logarithm, so that a change shows after few requests.
constexpr double LeastLog = -5;
constexpr double GreatestLog = 4;
/// Most that one running attempt proves: a single request may be special.
constexpr double MaxOverdueEvidence = 3.5;
/// Evidence fades to about a third in this time; gray phases last seconds.
constexpr Duration FadeTime = Duration::seconds(4);

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

} // namespace

void FailureOdds::started(const AttemptId &Attempt, const RunTimeModel &Model,
                          Time Now) {
  Attempts.insert_or_assign(Attempt, Running{Now, &Model});
}

void FailureOdds::succeeded(const AttemptId &Attempt,
                            const ServiceBaseline &Peers, Time Now) {
  if (Attempts.erase(Attempt) != 0)
    add(std::log((1 - FailingFailures) / (1 - usualFailures(Peers))), Now);
}

void FailureOdds::failed(const AttemptId &Attempt, const ServiceBaseline &Peers,
                         Time Now) {
  if (Attempts.erase(Attempt) != 0)
    add(std::log(FailingFailures / usualFailures(Peers)), Now);
}

void FailureOdds::ended(const AttemptId &Attempt, Time) {
  Attempts.erase(Attempt);
}

void FailureOdds::abandoned(const AttemptId &Attempt, Time Now) {
  auto It = Attempts.find(Attempt);
  if (It == Attempts.end())
    return;
  double Evidence = overdueEvidence(It->second, Now);
  Attempts.erase(It);
  add(Evidence, Now);
}

double FailureOdds::probability(Time Now) const {
  double Sum = history(Now);
  for (const auto &[Attempt, R] : Attempts)
    Sum += overdueEvidence(R, Now);
  return 1 / (1 + std::exp(-Sum));
}

void FailureOdds::reset(Time Now) {
  Log = PriorLog;
  UpdatedAt = Now;
}

double FailureOdds::history(Time Now) const {
  double Left =
      std::exp(-std::max(0.0, (Now - UpdatedAt).ms()) / FadeTime.ms());
  return PriorLog + (Log - PriorLog) * Left;
}

/// A failing backend server leaves most requests without an answer, so an
/// attempt that outlasts most others makes that hypothesis more probable.
double FailureOdds::overdueEvidence(const Running &R, Time Now) {
  double Sound = R.Model->survival(Now - R.Since);
  double Failing = FailingFailures + (1 - FailingFailures) * Sound;
  if (Sound <= 0)
    return MaxOverdueEvidence;
  return std::min(MaxOverdueEvidence, std::log(Failing / Sound));
}

void FailureOdds::add(double Evidence, Time Now) {
  Log = std::clamp(history(Now) + Evidence, LeastLog, GreatestLog);
  UpdatedAt = Now;
}

} // namespace teaselhitch

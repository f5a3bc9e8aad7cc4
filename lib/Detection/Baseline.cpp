#include "teaselhitch/Detection/Baseline.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Figures of an entry that sent none for longer are dropped.
constexpr Duration EntryTimeout = Duration::seconds(10);
/// The figures of all entries are summed at most this often, because a large
/// service has 1,400 entries.
constexpr Duration MergeInterval = Duration(50);
/// Time after which the figures count half in the long-term mean.
constexpr Duration SlowHalfLife = Duration::seconds(60);
/// Requests that the long-term error rate weighs against the last seconds.
constexpr double SlowPrior = 20;

} // namespace

double BaselineTracker::decay(Duration Age) {
  return Age.ms() <= 0 ? 1 : std::exp2(-Age.ms() / HalfLife.ms());
}

void BaselineTracker::age(Time Now) {
  const double Factor = decay(Now - At);
  Requests *= Factor;
  Failures *= Factor;
  Successes *= Factor;
  LogRunTimes *= Factor;
  At = std::max(At, Now);
}

void BaselineTracker::record(bool Success, Duration RunTime, Time Now) {
  age(Now);
  Requests += 1;
  if (!Success) {
    Failures += 1;
    return;
  }
  Successes += 1;
  LogRunTimes += std::log(std::max(RunTime.ms(), 0.01));
}

void BaselineTracker::add(const BaselineTracker &Other, double Factor,
                          Time Now) {
  age(Now);
  const double Part = Factor * decay(Now - Other.At);
  Requests = std::max(0.0, Requests + Part * Other.Requests);
  Failures = std::max(0.0, Failures + Part * Other.Failures);
  Successes = std::max(0.0, Successes + Part * Other.Successes);
  LogRunTimes += Part * Other.LogRunTimes;
}

void BaselineTracker::add(const ServiceBaseline &Other, Time Now) {
  age(Now);
  const double Good = Other.Weight * (1 - Other.ErrorRate);
  Requests += Other.Weight;
  Failures += Other.Weight * Other.ErrorRate;
  if (Other.RunTimeMs <= 0)
    return;
  Successes += Good;
  LogRunTimes += Good * std::log(Other.RunTimeMs);
}

ServiceBaseline BaselineTracker::baseline(Time Now) const {
  // Below this, sums are rounding errors of a subtraction.
  constexpr double MinWeight = 0.01;
  ServiceBaseline Result;
  if (Requests < MinWeight)
    return Result;
  Result.Weight = Requests * decay(Now - At);
  Result.ErrorRate = std::clamp(Failures / Requests, 0.0, 1.0);
  if (Successes >= MinWeight)
    Result.RunTimeMs = std::exp(LogRunTimes / Successes);
  return Result;
}

void PeerFigures::receive(const NodeName &Entry, const ServiceBaseline &Figures,
                          Time Now) {
  if (Figures.Weight > 0)
    Entries.insert_or_assign(Entry, FromEntry{Figures, Now});
}

void PeerFigures::record(const BackendServerName &Server, bool Success,
                         Duration RunTime, Time Now) {
  Own[Server].Requests.record(Success, RunTime, Now);
}

void PeerFigures::merge(Time Now) {
  if (HasMerged && Now - MergedAt < MergeInterval)
    return;
  Merged = {};
  for (auto It = Entries.begin(); It != Entries.end();) {
    if (Now - It->second.At > EntryTimeout) {
      It = Entries.erase(It);
      continue;
    }
    ServiceBaseline Aged = It->second.Figures;
    Aged.Weight *=
        std::exp2(-(Now - It->second.At).ms() / BaselineTracker::HalfLife.ms());
    Merged.add(Aged, Now);
    ++It;
  }
  MergedAt = Now;
  HasMerged = true;
}

ServiceBaseline PeerFigures::peersOf(const BackendServerName &Server,
                                     Time Now) const {
  BaselineTracker Others = Merged;
  auto It = Own.find(Server);
  if (It != Own.end())
    Others.add(It->second.Requests, -1, Now);
  const ServiceBaseline FromEntries = Others.baseline(Now);
  // The entries' figures contain the other own backend servers. Those are
  // counted apart only when the entries know less.
  BaselineTracker Local;
  for (const auto &[Name, State] : Own)
    if (Name != Server)
      Local.add(State.Requests, 1, Now);
  const ServiceBaseline FromOwn = Local.baseline(Now);
  return FromOwn.Weight > FromEntries.Weight ? FromOwn : FromEntries;
}

ServiceBaseline PeerFigures::without(const BackendServerName &Server,
                                     Time Now) {
  OwnServer &State = Own[Server];
  if (State.Computed && Now - State.ComputedAt < MergeInterval)
    return State.Result;
  merge(Now);
  ServiceBaseline Short = peersOf(Server, Now);
  const Duration Step = State.Computed ? Now - State.ComputedAt : MergeInterval;
  State.ComputedAt = Now;
  State.Computed = true;
  const double Keep = std::exp2(-Step.ms() / SlowHalfLife.ms());
  State.SlowErrorRate =
      State.SlowErrorRate * Keep + Short.ErrorRate * Short.Weight * (1 - Keep);
  State.SlowWeight = State.SlowWeight * Keep + Short.Weight * (1 - Keep);
  if (State.SlowWeight <= 0)
    return State.Result = Short;
  const double Slow = State.SlowErrorRate / State.SlowWeight;
  const double Recent = (Short.ErrorRate * Short.Weight + Slow * SlowPrior) /
                        (Short.Weight + SlowPrior);
  Short.ErrorRate = std::max(Slow, Recent);
  Short.Weight = std::max(
      Short.Weight,
      State.SlowWeight * (SlowHalfLife.ms() / BaselineTracker::HalfLife.ms()));
  return State.Result = Short;
}

} // namespace teaselhitch

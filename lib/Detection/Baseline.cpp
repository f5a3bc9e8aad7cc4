#include "teaselhitch/Detection/Baseline.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Figures of an entry that sent none for longer are dropped.
constexpr Duration EntryTimeout = Duration::seconds(30);
/// The figures of all entries are summed at most this often: 50 ms, and 0.2 ms
/// for each entry, of which a large service has 1,400.
constexpr double MergeIntervalMs = 50;
constexpr double MergeIntervalPerEntryMs = 0.2;
/// Time after which the figures count half in the means.
constexpr Duration MediumHalfLife = Duration::seconds(5);
constexpr Duration SlowHalfLife = Duration::seconds(60);
/// Requests that the medium-term figures weigh against the newest ones. Few for
/// run times, whose mean is stable after a few requests.
constexpr double ErrorPrior = 10;
constexpr double RunTimePrior = 3;
/// When the newest run times are above the long-term ones by this factor, the
/// service is getting slower and the figures, which lag, show about half of it
/// on a logarithmic scale. The factor is two deviations of a mean of 15
/// requests.
constexpr double GrowingRunTime = 1.3;

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

void BaselineTracker::follow(const BaselineTracker &Other, Duration Step,
                             Duration HalfLife) {
  const double Keep = std::exp2(-Step.ms() / HalfLife.ms());
  const auto Mix = [Keep](double &Mean, double Value) {
    Mean = Mean * Keep + Value * (1 - Keep);
  };
  Mix(Requests, Other.Requests);
  Mix(Failures, Other.Failures);
  Mix(Successes, Other.Successes);
  Mix(LogRunTimes, Other.LogRunTimes);
  At = Other.At;
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
  if (Figures.Weight <= 0)
    return;
  FromEntry &From = Entries[Entry];
  From.Figures = {};
  From.Figures.add(Figures, Now);
  From.At = Now;
  From.OwnInFigures = From.Own;
}

void PeerFigures::record(const BackendServerName &Server, const NodeName &Entry,
                         bool Success, Duration RunTime, Time Now) {
  Own[Server].Requests.record(Success, RunTime, Now);
  auto It = Entries.find(Entry);
  if (It != Entries.end())
    It->second.Own[Server].record(Success, RunTime, Now);
}

void PeerFigures::forget(const BackendServerName &Server) {
  Own.erase(Server);
  for (auto &[Name, From] : Entries) {
    From.Own.erase(Server);
    From.OwnInFigures.erase(Server);
  }
}

Duration PeerFigures::mergeInterval() const {
  return Duration(
      std::max(MergeIntervalMs,
               MergeIntervalPerEntryMs * static_cast<double>(Entries.size())));
}

BaselineTracker PeerFigures::peersOf(const BackendServerName &Server,
                                     Time Now) {
  BaselineTracker Others;
  for (auto It = Entries.begin(); It != Entries.end();) {
    const FromEntry &From = It->second;
    if (Now - From.At > EntryTimeout) {
      It = Entries.erase(It);
      continue;
    }
    BaselineTracker Part = From.Figures;
    auto OwnPart = From.OwnInFigures.find(Server);
    if (OwnPart != From.OwnInFigures.end())
      Part.add(OwnPart->second, -1, From.At);
    Others.add(Part, 1, Now);
    ++It;
  }
  // The entries' figures contain the other own backend servers. Those are
  // counted apart only when the entries know less.
  BaselineTracker Local;
  for (const auto &[Name, State] : Own)
    if (Name != Server)
      Local.add(State.Requests, 1, Now);
  return Local.baseline(Now).Weight > Others.baseline(Now).Weight ? Local
                                                                  : Others;
}

ServiceBaseline PeerFigures::without(const BackendServerName &Server,
                                     Time Now) {
  OwnServer &State = Own[Server];
  if (State.Computed && Now - State.ComputedAt < mergeInterval())
    return State.Result;
  const BaselineTracker Others = peersOf(Server, Now);
  const Duration Step =
      State.Computed ? Now - State.ComputedAt : mergeInterval();
  State.ComputedAt = Now;
  State.Computed = true;
  State.Medium.follow(Others, Step, MediumHalfLife);
  State.Slow.follow(Others, Step, SlowHalfLife);
  const ServiceBaseline Medium = State.Medium.baseline(Now);
  const ServiceBaseline Slow = State.Slow.baseline(Now);
  const auto MixedWithMedium = [&](double Prior) {
    BaselineTracker Mixed = Others;
    if (Medium.Weight > 0)
      Mixed.add(State.Medium, Prior / Medium.Weight, Now);
    return Mixed.baseline(Now);
  };
  const ServiceBaseline Recent = MixedWithMedium(ErrorPrior);
  State.Result.ErrorRate =
      std::max({Slow.ErrorRate, Medium.ErrorRate, Recent.ErrorRate});
  double RunTimeMs = MixedWithMedium(RunTimePrior).RunTimeMs;
  if (Slow.RunTimeMs > 0 && RunTimeMs > GrowingRunTime * Slow.RunTimeMs)
    RunTimeMs *= RunTimeMs / Slow.RunTimeMs;
  State.Result.RunTimeMs = std::max(Slow.RunTimeMs, RunTimeMs);
  State.NewestWeight = Others.baseline(Now).Weight;
  State.Result.Weight =
      std::max(Recent.Weight, Slow.Weight * (SlowHalfLife.ms() /
                                             BaselineTracker::HalfLife.ms()));
  return State.Result;
}

double PeerFigures::newestWeight(const BackendServerName &Server, Time Now) {
  without(Server, Now);
  return Own[Server].NewestWeight;
}

} // namespace teaselhitch

#include "teaselhitch/Detection/Baseline.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Statistics of an entry are dropped if no new ones arrived for this long.
constexpr Duration EntryTimeout = Duration::seconds(30);
/// Minimum time between two summations over all entries, in ms. The interval
/// grows with the number of entries because a large service has 1,400 of them.
constexpr double MergeIntervalMs = 50;
constexpr double MergeIntervalPerEntryMs = 0.2;
/// Half-lives of the moving averages.
constexpr Duration MediumTermHalfLife = Duration::seconds(5);
constexpr Duration LongTermHalfLife = Duration::seconds(60);
/// Weight, in requests, of the medium-term average when it is blended with the
/// most recent statistics. The weight is low for run times because their mean
/// is stable after a few requests.
constexpr double ErrorPriorRequests = 10;
constexpr double RunTimePriorRequests = 3;
/// If recent run times exceed the long-term average by more than this factor,
/// the service as a whole is becoming slower. The statistics lag behind and
/// show about half of the increase on a logarithmic scale. The factor
/// corresponds to two standard deviations of a mean over 15 requests.
constexpr double RunTimeGrowthFactor = 1.3;

} // namespace

double BaselineTracker::decay(Duration Age) {
  return Age.ms() <= 0 ? 1 : std::exp2(-Age.ms() / HalfLife.ms());
}

void BaselineTracker::age(Time Now) {
  const double Factor = decay(Now - UpdatedAt);
  Requests *= Factor;
  Failures *= Factor;
  Successes *= Factor;
  LogRunTimes *= Factor;
  UpdatedAt = std::max(UpdatedAt, Now);
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
  const double Scale = Factor * decay(Now - Other.UpdatedAt);
  Requests = std::max(0.0, Requests + Scale * Other.Requests);
  Failures = std::max(0.0, Failures + Scale * Other.Failures);
  Successes = std::max(0.0, Successes + Scale * Other.Successes);
  LogRunTimes += Scale * Other.LogRunTimes;
}

void BaselineTracker::add(const ServiceBaseline &Other, Time Now) {
  age(Now);
  const double SuccessWeight = Other.Weight * (1 - Other.ErrorRate);
  Requests += Other.Weight;
  Failures += Other.Weight * Other.ErrorRate;
  if (Other.RunTimeMs <= 0)
    return;
  Successes += SuccessWeight;
  LogRunTimes += SuccessWeight * std::log(Other.RunTimeMs);
}

void BaselineTracker::updateMean(const BaselineTracker &Other, Duration Step,
                                 Duration HalfLife) {
  const double Decay = std::exp2(-Step.ms() / HalfLife.ms());
  const auto Mix = [Decay](double &Mean, double Value) {
    Mean = Mean * Decay + Value * (1 - Decay);
  };
  Mix(Requests, Other.Requests);
  Mix(Failures, Other.Failures);
  Mix(Successes, Other.Successes);
  Mix(LogRunTimes, Other.LogRunTimes);
  UpdatedAt = Other.UpdatedAt;
}

ServiceBaseline BaselineTracker::baseline(Time Now) const {
  // Smaller sums are rounding errors of a subtraction.
  constexpr double MinWeight = 0.01;
  ServiceBaseline Result;
  if (Requests < MinWeight)
    return Result;
  Result.Weight = Requests * decay(Now - UpdatedAt);
  Result.ErrorRate = std::clamp(Failures / Requests, 0.0, 1.0);
  if (Successes >= MinWeight)
    Result.RunTimeMs = std::exp(LogRunTimes / Successes);
  return Result;
}

void PeerStatistics::receive(const NodeName &Entry,
                             const ServiceBaseline &Statistics, Time Now) {
  if (Statistics.Weight <= 0)
    return;
  EntryState &Sender = Entries[Entry];
  Sender.Statistics = {};
  Sender.Statistics.add(Statistics, Now);
  Sender.ReceivedAt = Now;
  Sender.ReceivedOwn = Sender.Own;
}

void PeerStatistics::record(const BackendServerName &Server,
                            const NodeName &Entry, bool Success,
                            Duration RunTime, Time Now) {
  Own[Server].Requests.record(Success, RunTime, Now);
  auto It = Entries.find(Entry);
  if (It != Entries.end())
    It->second.Own[Server].record(Success, RunTime, Now);
}

void PeerStatistics::remove(const BackendServerName &Server) {
  Own.erase(Server);
  for (auto &[Name, Sender] : Entries) {
    Sender.Own.erase(Server);
    Sender.ReceivedOwn.erase(Server);
  }
}

Duration PeerStatistics::mergeInterval() const {
  return Duration(
      std::max(MergeIntervalMs,
               MergeIntervalPerEntryMs * static_cast<double>(Entries.size())));
}

BaselineTracker PeerStatistics::sumPeers(const BackendServerName &Server,
                                         Time Now) {
  BaselineTracker Others;
  for (auto It = Entries.begin(); It != Entries.end();) {
    const EntryState &Sender = It->second;
    if (Now - Sender.ReceivedAt > EntryTimeout) {
      It = Entries.erase(It);
      continue;
    }
    BaselineTracker Part = Sender.Statistics;
    auto OwnPart = Sender.ReceivedOwn.find(Server);
    if (OwnPart != Sender.ReceivedOwn.end())
      Part.add(OwnPart->second, -1, Sender.ReceivedAt);
    Others.add(Part, 1, Now);
    ++It;
  }
  // The statistics of the entries already include the other backend servers of
  // this guard. The guard's own counts replace them only if the counts cover
  // more requests.
  BaselineTracker Local;
  for (const auto &[Name, State] : Own)
    if (Name != Server)
      Local.add(State.Requests, 1, Now);
  return Local.baseline(Now).Weight > Others.baseline(Now).Weight ? Local
                                                                  : Others;
}

ServiceBaseline PeerStatistics::peerBaseline(const BackendServerName &Server,
                                             Time Now) {
  OwnServer &State = Own[Server];
  if (State.Computed && Now - State.ComputedAt < mergeInterval())
    return State.Result;
  const BaselineTracker Others = sumPeers(Server, Now);
  const Duration Step =
      State.Computed ? Now - State.ComputedAt : mergeInterval();
  State.ComputedAt = Now;
  State.Computed = true;
  State.MediumTerm.updateMean(Others, Step, MediumTermHalfLife);
  State.LongTerm.updateMean(Others, Step, LongTermHalfLife);
  const ServiceBaseline MediumTerm = State.MediumTerm.baseline(Now);
  const ServiceBaseline LongTerm = State.LongTerm.baseline(Now);
  const auto BlendedBaseline = [&](double Prior) {
    BaselineTracker Mixed = Others;
    if (MediumTerm.Weight > 0)
      Mixed.add(State.MediumTerm, Prior / MediumTerm.Weight, Now);
    return Mixed.baseline(Now);
  };
  const ServiceBaseline Recent = BlendedBaseline(ErrorPriorRequests);
  State.Result.ErrorRate =
      std::max({LongTerm.ErrorRate, MediumTerm.ErrorRate, Recent.ErrorRate});
  double RunTimeMs = BlendedBaseline(RunTimePriorRequests).RunTimeMs;
  if (LongTerm.RunTimeMs > 0 &&
      RunTimeMs > RunTimeGrowthFactor * LongTerm.RunTimeMs)
    RunTimeMs *= RunTimeMs / LongTerm.RunTimeMs;
  State.Result.RunTimeMs = std::max(LongTerm.RunTimeMs, RunTimeMs);
  State.RecentWeight = Others.baseline(Now).Weight;
  State.Result.Weight =
      std::max(Recent.Weight,
               LongTerm.Weight *
                   (LongTermHalfLife.ms() / BaselineTracker::HalfLife.ms()));
  return State.Result;
}

double PeerStatistics::recentWeight(const BackendServerName &Server, Time Now) {
  peerBaseline(Server, Now);
  return Own[Server].RecentWeight;
}

} // namespace teaselhitch

/// \file
/// The plug-in `sequential`: cumulative sums (CUSUM) of log-likelihood ratios
/// of success and of run time against the other backend servers.

#include "Plugins.h"
#include "teaselhitch/Detection/Detector.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaselhitch {
namespace {

/// Thresholds in nats. The false alarm rate per request is below
/// exp(-threshold) for each of the sums.
struct Thresholds {
  double Failing;
  double Suspected;
};

Thresholds thresholdsOf(DetectionPreset Preset) {
  switch (Preset) {
  case DetectionPreset::FewFalseEjections:
    return {21, 11};
  case DetectionPreset::Balanced:
    return {19.5, 10};
  case DetectionPreset::FastDetection:
    return {18.5, 9};
  }
  return {19.5, 10};
}

/// Error rates of the hypotheses "this backend server fails".
constexpr std::array<double, 3> FailingRates = {0.25, 0.55, 0.95};
/// A hypothesis is dropped when its rate is below this multiple of the peers'
/// rate, because then the failures are a matter of the service.
constexpr double MinRatio = 2;
/// A peers' rate below this is not trusted: at 0.003 four failures in a row are
/// the least evidence for an ejection. With three, the beginning of an overload
/// in which 30% fail ejected backend servers before the peers' figures showed
/// it.
constexpr double MinPeerRate = 0.003;
/// Assumed rate and its weight in requests while little is known of the peers.
constexpr double PriorRate = 0.01;
constexpr double PriorWeight = 10;

/// Upper edges of the run time classes, as multiples of the peers' geometric
/// mean; the last class is open.
constexpr std::array<double, 5> ClassEdges = {1.5, 2, 3, 5, 8};
constexpr std::size_t ClassCount = ClassEdges.size() + 1;
using ClassShares = std::array<double, ClassCount>;
/// Shares for a log-normal run time with a standard deviation of 0.6: healthy,
/// and slower by 3 and by 10.
constexpr ClassShares HealthyShares = {0.750, 0.126, 0.090,
                                       0.030, 0.003, 0.001};
constexpr std::array<ClassShares, 2> SlowShares = {
    ClassShares{0.124, 0.125, 0.251, 0.303, 0.146, 0.051},
    ClassShares{0.005, 0.005, 0.018, 0.102, 0.230, 0.640}};
/// A class is never taken for rarer than this, because run times have heavier
/// tails than the log-normal distribution.
constexpr double MinShare = 0.005;
/// Requests that the assumed shares weigh against the ones seen.
constexpr double SharePriorWeight = 200;
/// Seen shares are halved at this number of requests, so that they follow
/// changes of the service.
constexpr double MaxShareWeight = 4000;

/// Slowness must last this long: the figures of the peers lag by one to two
/// seconds, and a service that gets slow as a whole shows in them only then.
constexpr Duration MinSlowTime = Duration::seconds(1.6);

/// Sums are limited to this multiple of the threshold.
constexpr double LargestScore = 1.2;

/// Samples that a verdict may rest on.
constexpr std::size_t HistorySize = 64;
constexpr std::size_t SumCount = FailingRates.size() + SlowShares.size();
/// A cumulative sum and the time of the first sample that it rests on.
struct Sum {
  double Value = 0;
  Time Since;

  void add(double Ratio, Time Now) {
    if (Value <= 0)
      Since = Now;
    Value = std::max(0.0, Value + Ratio);
  }
};
using Sums = std::array<Sum, SumCount>;

double peerRate(const ServiceBaseline &Peers) {
  const double Rate =
      (Peers.ErrorRate * Peers.Weight + PriorRate * PriorWeight) /
      (Peers.Weight + PriorWeight);
  return std::clamp(Rate, MinPeerRate, 0.99);
}

class SequentialDetector final : public Detector {
public:
  explicit SequentialDetector(DetectionPreset Preset)
      : Limit(thresholdsOf(Preset)) {
    Shares = HealthyShares;
    for (double &Share : Shares)
      Share *= SharePriorWeight;
    ShareWeight = SharePriorWeight;
  }

  void observe(const Sample &S, const ServiceBaseline &Peers,
               Time Now) override {
    remember(S, Now);
    updateRatios(Peers);
    add(Running, S, Now);
    if (greatest(Running).Value < Limit.Suspected) {
      learn(S);
      settle(Now);
      return;
    }
    // The peers' figures follow a change of the whole service with a delay.
    // The history is judged again by the figures of now, so that an overload
    // that began for all at once is not evidence against one.
    Sums Replayed{};
    for (std::size_t I = 0; I < Count; ++I)
      add(Replayed, History[(First + I) % HistorySize].S,
          History[(First + I) % HistorySize].At);
    Running = Replayed;
    settle(Now);
  }

  Verdict verdict(Time /*Now*/) const override { return Current; }

  Evidence evidence(Time /*Now*/) const override {
    const Sum &Greatest = greatest(Running);
    const bool IsError = &Greatest < &Running[FailingRates.size()];
    return {IsError ? EvidenceKind::Errors : EvidenceKind::RunTime,
            Greatest.Value / Limit.Failing, Greatest.Since,
            "score " + std::to_string(Greatest.Value) + " of " +
                std::to_string(Limit.Failing) +
                (IsError ? ", failures against a rate of " +
                               std::to_string(KnownRate)
                         : ", run times against a mean of " +
                               std::to_string(PeerRunTimeMs) + " ms") +
                " of the other backend servers"};
  }

  void reset(Time /*Now*/) override {
    Running = {};
    Count = 0;
    Current = Verdict::Healthy;
  }

private:
  struct Item {
    Sample S;
    Time At;
  };

  static const Sum &greatest(const Sums &S) {
    return *std::max_element(
        S.begin(), S.end(),
        [](const Sum &A, const Sum &B) { return A.Value < B.Value; });
  }

  void remember(const Sample &S, Time Now) {
    History[(First + Count) % HistorySize] = {S, Now};
    if (Count < HistorySize)
      ++Count;
    else
      First = (First + 1) % HistorySize;
  }

  /// Computes the log-likelihood ratios of the possible results.
  void updateRatios(const ServiceBaseline &Peers) {
    const double Rate = peerRate(Peers);
    PeerRunTimeMs = Peers.RunTimeMs;
    if (Rate == KnownRate)
      return;
    KnownRate = Rate;
    for (std::size_t I = 0; I < FailingRates.size(); ++I) {
      Possible[I] = FailingRates[I] >= MinRatio * Rate;
      FailureRatio[I] = std::log(FailingRates[I] / Rate);
      SuccessRatio[I] = std::log((1 - FailingRates[I]) / (1 - Rate));
    }
  }

  std::size_t classOf(const Sample &S) const {
    const double Ratio = S.RunTime.ms() / PeerRunTimeMs;
    return static_cast<std::size_t>(
        std::lower_bound(ClassEdges.begin(), ClassEdges.end(), Ratio) -
        ClassEdges.begin());
  }

  /// Run times of failures say nothing, and neither do those of a slow start.
  bool hasRunTime(const Sample &S) const {
    return S.Success && S.Weight >= 1 && PeerRunTimeMs > 0;
  }

  void add(Sums &To, const Sample &S, Time At) const {
    for (std::size_t I = 0; I < FailingRates.size(); ++I) {
      const double Ratio = S.Success ? SuccessRatio[I] : FailureRatio[I];
      if (Possible[I])
        To[I].add(S.Weight * Ratio, At);
      else
        To[I].Value = 0;
    }
    if (!hasRunTime(S))
      return;
    const std::size_t Class = classOf(S);
    const double Usual = std::max(MinShare, Shares[Class] / ShareWeight);
    for (std::size_t I = 0; I < SlowShares.size(); ++I) {
      To[FailingRates.size() + I].add(std::log(SlowShares[I][Class] / Usual),
                                      At);
    }
  }

  void learn(const Sample &S) {
    if (!hasRunTime(S))
      return;
    Shares[classOf(S)] += 1;
    ShareWeight += 1;
    if (ShareWeight < MaxShareWeight)
      return;
    for (double &Share : Shares)
      Share /= 2;
    ShareWeight /= 2;
  }

  /// Limits the sums, so that a recovery shows after a bounded number of
  /// successes, and draws the verdict with hysteresis.
  void settle(Time Now) {
    double Score = 0;
    bool Fails = false;
    for (std::size_t I = 0; I < SumCount; ++I) {
      Sum &S = Running[I];
      S.Value = std::min(S.Value, Limit.Failing * LargestScore);
      Score = std::max(Score, S.Value);
      const bool LongEnough =
          I < FailingRates.size() || Now - S.Since >= MinSlowTime;
      Fails |= S.Value >= Limit.Failing && LongEnough;
    }
    if (Fails)
      Current = Verdict::Failing;
    else if (Score < Limit.Suspected / 2)
      Current = Verdict::Healthy;
    else if (Score >= Limit.Suspected || Current == Verdict::Failing)
      Current = Verdict::Suspected;
  }

  Thresholds Limit;
  Sums Running{};
  Verdict Current = Verdict::Healthy;
  std::array<Item, HistorySize> History;
  std::size_t First = 0;
  std::size_t Count = 0;
  ClassShares Shares;
  double ShareWeight = 0;
  double KnownRate = -1;
  double PeerRunTimeMs = 0;
  std::array<bool, FailingRates.size()> Possible{};
  std::array<double, FailingRates.size()> FailureRatio{};
  std::array<double, FailingRates.size()> SuccessRatio{};
};

const DetectorRegistry::Entry
    Plugin("sequential", "cumulative sums against the other backend servers",
           [](DetectionPreset Preset) {
             return std::make_unique<SequentialDetector>(Preset);
           });

} // namespace

bool detail::linkSequentialDetector() { return true; }

} // namespace teaselhitch

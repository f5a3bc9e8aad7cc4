/// \file
/// The plug-in `sequential`, which computes cumulative sums (CUSUM) of the
/// log-likelihood ratios of successes and run times relative to the other
/// backend servers.

#include "Plugins.h"
#include "teaselhitch/Detection/Detector.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaselhitch {
namespace {

/// Thresholds in nats. For each sum, the false alarm rate per request is below
/// exp(-threshold).
struct Thresholds {
  double Failing;
  double Suspected;
};

Thresholds presetThresholds(DetectionPreset Preset) {
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

/// Error rates of the alternative hypotheses that the backend server fails.
constexpr std::array<double, 3> FailingRates = {0.25, 0.55, 0.95};
/// A hypothesis is dropped if its rate is below this multiple of the peers'
/// rate, because the failures are then a problem of the whole service.
constexpr double MinRateRatio = 2;
/// Lower bound of the peers' error rate. At 0.003, an ejection requires at
/// least four consecutive failures. When three were sufficient, the onset of an
/// overload with 30% failures caused ejections before the overload was visible
/// in the peers' statistics.
constexpr double MinPeerRate = 0.003;
/// Prior error rate of the peers and its weight in requests.
constexpr double PriorRate = 0.01;
constexpr double PriorWeight = 10;

/// Upper edges of the run time histogram bins, as multiples of the peers'
/// geometric mean. The last bin has no upper edge.
constexpr std::array<double, 5> BinEdges = {1.5, 2, 3, 5, 8};
constexpr std::size_t BinCount = BinEdges.size() + 1;
using BinShares = std::array<double, BinCount>;
/// Shares of the bins for a log-normal run time whose logarithm has a standard
/// deviation of 0.6: healthy, and slower by factors of 3 and 10.
constexpr BinShares HealthyShares = {0.750, 0.126, 0.090, 0.030, 0.003, 0.001};
constexpr std::array<BinShares, 2> SlowShares = {
    BinShares{0.124, 0.125, 0.251, 0.303, 0.146, 0.051},
    BinShares{0.005, 0.005, 0.018, 0.102, 0.230, 0.640}};
/// Lower bound of the share of a bin at a healthy backend server, because run
/// times have heavier tails than the log-normal distribution.
constexpr double MinShare = 0.005;
/// Weight, in requests, of the assumed shares relative to the observed ones.
constexpr double SharePriorWeight = 200;
/// The counts behind the shares are halved at this number of requests, so that
/// the shares follow changes of the service.
constexpr double MaxShareWeight = 4000;

/// Slow run times must persist for this long before the verdict is Failing. The
/// peers' statistics lag by one to two seconds, so a slowdown of the whole
/// service becomes visible in them only after that time.
constexpr Duration MinSlowDuration = Duration::seconds(1.6);

/// Each sum is limited to this multiple of the threshold for Failing.
constexpr double MaxScoreFactor = 1.2;

/// Number of most recent samples that a reevaluated verdict is based on.
constexpr std::size_t HistorySize = 64;
constexpr std::size_t SumCount = FailingRates.size() + SlowShares.size();
/// A cumulative sum and the time of the first sample that contributes to it.
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
      : Threshold(presetThresholds(Preset)) {
    Shares = HealthyShares;
    for (double &Share : Shares)
      Share *= SharePriorWeight;
    ShareWeight = SharePriorWeight;
  }

  void observe(const Sample &S, const ServiceBaseline &Peers,
               Time Now) override {
    appendHistory(S, Now);
    updateRatios(Peers);
    add(RunningSums, S, Now);
    if (maxSum(RunningSums).Value < Threshold.Suspected) {
      updateShares(S);
      updateVerdict(Now);
      return;
    }
    // The peers' statistics lag behind a change of the whole service. The
    // history is reevaluated with the current statistics, so that an overload
    // that began at all backend servers at once is not evidence against one of
    // them.
    Sums Replayed{};
    for (std::size_t I = 0; I < Count; ++I)
      add(Replayed, History[(First + I) % HistorySize].S,
          History[(First + I) % HistorySize].At);
    RunningSums = Replayed;
    updateVerdict(Now);
  }

  Verdict verdict(Time /*Now*/) const override { return Current; }

  Evidence evidence(Time /*Now*/) const override {
    const Sum &Largest = maxSum(RunningSums);
    const bool IsError = &Largest < &RunningSums[FailingRates.size()];
    return {IsError ? EvidenceKind::Errors : EvidenceKind::RunTime,
            Largest.Value / Threshold.Failing, Largest.Since,
            "score " + std::to_string(Largest.Value) + " of " +
                std::to_string(Threshold.Failing) +
                (IsError ? ", failures against a rate of " +
                               std::to_string(PeerErrorRate)
                         : ", run times against a mean of " +
                               std::to_string(PeerRunTimeMs) + " ms") +
                " of the other backend servers"};
  }

  void reset(Time /*Now*/) override {
    RunningSums = {};
    Count = 0;
    Current = Verdict::Healthy;
  }

private:
  struct HistoryEntry {
    Sample S;
    Time At;
  };

  static const Sum &maxSum(const Sums &S) {
    return *std::max_element(
        S.begin(), S.end(),
        [](const Sum &A, const Sum &B) { return A.Value < B.Value; });
  }

  void appendHistory(const Sample &S, Time Now) {
    History[(First + Count) % HistorySize] = {S, Now};
    if (Count < HistorySize)
      ++Count;
    else
      First = (First + 1) % HistorySize;
  }

  /// Computes the log-likelihood ratios of a success and of a failure under
  /// each hypothesis.
  void updateRatios(const ServiceBaseline &Peers) {
    const double Rate = peerRate(Peers);
    PeerRunTimeMs = Peers.RunTimeMs;
    if (Rate == PeerErrorRate)
      return;
    PeerErrorRate = Rate;
    for (std::size_t I = 0; I < FailingRates.size(); ++I) {
      Plausible[I] = FailingRates[I] >= MinRateRatio * Rate;
      FailureRatio[I] = std::log(FailingRates[I] / Rate);
      SuccessRatio[I] = std::log((1 - FailingRates[I]) / (1 - Rate));
    }
  }

  std::size_t runTimeBin(const Sample &S) const {
    const double Ratio = S.RunTime.ms() / PeerRunTimeMs;
    return static_cast<std::size_t>(
        std::lower_bound(BinEdges.begin(), BinEdges.end(), Ratio) -
        BinEdges.begin());
  }

  /// Run times of failed requests and run times during cold start or slow start
  /// carry no information.
  bool hasRunTime(const Sample &S) const {
    return S.Success && S.Weight >= 1 && PeerRunTimeMs > 0;
  }

  void add(Sums &To, const Sample &S, Time At) const {
    for (std::size_t I = 0; I < FailingRates.size(); ++I) {
      const double Ratio = S.Success ? SuccessRatio[I] : FailureRatio[I];
      if (Plausible[I])
        To[I].add(S.Weight * Ratio, At);
      else
        To[I].Value = 0;
    }
    if (!hasRunTime(S))
      return;
    const std::size_t Bin = runTimeBin(S);
    const double HealthyShare = std::max(MinShare, Shares[Bin] / ShareWeight);
    for (std::size_t I = 0; I < SlowShares.size(); ++I) {
      To[FailingRates.size() + I].add(
          std::log(SlowShares[I][Bin] / HealthyShare), At);
    }
  }

  void updateShares(const Sample &S) {
    if (!hasRunTime(S))
      return;
    Shares[runTimeBin(S)] += 1;
    ShareWeight += 1;
    if (ShareWeight < MaxShareWeight)
      return;
    for (double &Share : Shares)
      Share /= 2;
    ShareWeight /= 2;
  }

  /// Limits the sums, so that a recovery is detected after a bounded number of
  /// successes, and updates the verdict with hysteresis.
  void updateVerdict(Time Now) {
    double Score = 0;
    bool IsFailing = false;
    for (std::size_t I = 0; I < SumCount; ++I) {
      Sum &S = RunningSums[I];
      S.Value = std::min(S.Value, Threshold.Failing * MaxScoreFactor);
      Score = std::max(Score, S.Value);
      const bool LongEnough =
          I < FailingRates.size() || Now - S.Since >= MinSlowDuration;
      IsFailing |= S.Value >= Threshold.Failing && LongEnough;
    }
    if (IsFailing)
      Current = Verdict::Failing;
    else if (Score < Threshold.Suspected / 2)
      Current = Verdict::Healthy;
    else if (Score >= Threshold.Suspected || Current == Verdict::Failing)
      Current = Verdict::Suspected;
  }

  Thresholds Threshold;
  Sums RunningSums{};
  Verdict Current = Verdict::Healthy;
  std::array<HistoryEntry, HistorySize> History;
  std::size_t First = 0;
  std::size_t Count = 0;
  BinShares Shares;
  double ShareWeight = 0;
  double PeerErrorRate = -1;
  double PeerRunTimeMs = 0;
  std::array<bool, FailingRates.size()> Plausible{};
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

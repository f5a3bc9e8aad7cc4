/// \file
/// The plug-in `window`, which measures the error rate in a sliding time
/// window.

#include "Plugins.h"
#include "teaselhitch/Detection/Detector.h"

#include <deque>

namespace teaselhitch {
namespace {

const Duration WindowLength = Duration::seconds(10);
/// Bounds the memory use at high request rates.
constexpr std::size_t MaxSamples = 256;

struct Limits {
  /// Share of failed requests for the verdict Failing.
  double ErrorRate;
  /// Sum of sample weights required for a verdict other than Healthy.
  double MinCount;
};

Limits limitsOf(DetectionPreset Preset) {
  switch (Preset) {
  case DetectionPreset::FewFalseEjections:
    return {0.5, 20};
  case DetectionPreset::Balanced:
    return {0.3, 10};
  case DetectionPreset::FastDetection:
    return {0.2, 5};
  }
  return {0.3, 10};
}

class WindowDetector final : public Detector {
public:
  explicit WindowDetector(DetectionPreset Preset) : Limit(limitsOf(Preset)) {}

  void observe(const Sample &S, const ServiceBaseline & /*Peers*/,
               Time Now) override {
    Samples.push_back({Now, S.Success, S.Weight});
    Count += S.Weight;
    Failures += S.Success ? 0 : S.Weight;
    while (Samples.size() > MaxSamples ||
           Now - Samples.front().At > WindowLength)
      dropFirst();
  }

  Verdict verdict(Time /*Now*/) const override {
    if (Count < Limit.MinCount)
      return Verdict::Healthy;
    const double Rate = Failures / Count;
    if (Rate >= Limit.ErrorRate)
      return Verdict::Failing;
    return Rate * 2 >= Limit.ErrorRate ? Verdict::Suspected : Verdict::Healthy;
  }

  Evidence evidence(Time Now) const override {
    const double Rate = Count < Limit.MinCount ? 0 : Failures / Count;
    return {EvidenceKind::Errors, Rate / Limit.ErrorRate,
            Samples.empty() ? Now : Samples.front().At,
            std::to_string(static_cast<unsigned>(Rate * 100)) +
                "% of the requests of 10 s failed"};
  }

  void reset(Time /*Now*/) override {
    Samples.clear();
    Count = 0;
    Failures = 0;
  }

private:
  struct Item {
    Time At;
    bool Success;
    double Weight;
  };

  void dropFirst() {
    Count -= Samples.front().Weight;
    Failures -= Samples.front().Success ? 0 : Samples.front().Weight;
    Samples.pop_front();
  }

  Limits Limit;
  std::deque<Item> Samples;
  double Count = 0;
  double Failures = 0;
};

const DetectorRegistry::Entry
    Plugin("window", "the error rate over the last 10 s",
           [](DetectionPreset Preset) {
             return std::make_unique<WindowDetector>(Preset);
           });

} // namespace

bool detail::linkWindowDetector() { return true; }

} // namespace teaselhitch

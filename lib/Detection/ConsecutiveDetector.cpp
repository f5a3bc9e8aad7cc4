/// \file
/// The plug-in `consecutive`, which counts consecutive failures.

#include "Plugins.h"
#include "teaselhitch/Detection/Detector.h"

namespace teaselhitch {
namespace {

/// Number of consecutive failures for the verdict Failing.
unsigned failureLimit(DetectionPreset Preset) {
  switch (Preset) {
  case DetectionPreset::FewFalseEjections:
    return 7;
  case DetectionPreset::Balanced:
    return 5;
  case DetectionPreset::FastDetection:
    return 3;
  }
  return 5;
}

class ConsecutiveDetector final : public Detector {
public:
  explicit ConsecutiveDetector(DetectionPreset Preset)
      : Limit(failureLimit(Preset)) {}

  void observe(const Sample &S, const ServiceBaseline & /*Peers*/,
               Time Now) override {
    if (S.Success) {
      FailureCount = 0;
      return;
    }
    if (FailureCount <= 0)
      Since = Now;
    FailureCount += S.Weight;
  }

  Verdict verdict(Time /*Now*/) const override {
    if (FailureCount >= Limit)
      return Verdict::Failing;
    return FailureCount * 2 > Limit ? Verdict::Suspected : Verdict::Healthy;
  }

  Evidence evidence(Time /*Now*/) const override {
    return {EvidenceKind::Errors, FailureCount / Limit, Since,
            std::to_string(static_cast<unsigned>(FailureCount)) +
                " failures in a row"};
  }

  void reset(Time /*Now*/) override { FailureCount = 0; }

private:
  unsigned Limit;
  double FailureCount = 0;
  Time Since;
};

const DetectorRegistry::Entry
    Plugin("consecutive", "a number of failures in a row",
           [](DetectionPreset Preset) {
             return std::make_unique<ConsecutiveDetector>(Preset);
           });

} // namespace

bool detail::linkConsecutiveDetector() { return true; }

} // namespace teaselhitch

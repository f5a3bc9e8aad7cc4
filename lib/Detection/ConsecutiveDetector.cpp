/// \file
/// The plug-in `consecutive`: a number of failures in a row.

#include "Plugins.h"
#include "teaselhitch/Detection/Detector.h"

namespace teaselhitch {
namespace {

/// Failures in a row that make a backend server failing.
unsigned limitOf(DetectionPreset Preset) {
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
      : Limit(limitOf(Preset)) {}

  void observe(const Sample &S, const ServiceBaseline & /*Peers*/,
               Time Now) override {
    if (S.Success) {
      Run = 0;
      return;
    }
    if (Run <= 0)
      Since = Now;
    Run += S.Weight;
  }

  Verdict verdict(Time /*Now*/) const override {
    if (Run >= Limit)
      return Verdict::Failing;
    return Run * 2 > Limit ? Verdict::Suspected : Verdict::Healthy;
  }

  Evidence evidence(Time /*Now*/) const override {
    return {EvidenceKind::Errors, Run / Limit, Since,
            std::to_string(static_cast<unsigned>(Run)) + " failures in a row"};
  }

  void reset(Time /*Now*/) override { Run = 0; }

private:
  unsigned Limit;
  double Run = 0;
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

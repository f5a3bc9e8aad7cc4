#include "teaselhitch/Detection/Detector.h"

#include "Plugins.h"

#include <cassert>

namespace teaselhitch {

const char *verdictName(Verdict V) {
  switch (V) {
  case Verdict::Healthy:
    return "healthy";
  case Verdict::Suspected:
    return "suspected";
  case Verdict::Failing:
    return "failing";
  }
  return "healthy";
}

Result<std::unique_ptr<Detector>> createDetector(const std::string &Name,
                                                 DetectionPreset Preset) {
  const bool Linked = detail::linkSequentialDetector() &&
                      detail::linkConsecutiveDetector() &&
                      detail::linkWindowDetector();
  assert(Linked && "detector plug-ins must be linked into the library");
  (void)Linked;
  return DetectorRegistry::create(Name, Preset);
}

} // namespace teaselhitch

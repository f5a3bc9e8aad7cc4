#include "teaselhitch/Config/Objects.h"

namespace teaselhitch {

const char *detectionPresetName(DetectionPreset Preset) {
  switch (Preset) {
  case DetectionPreset::FewFalseEjections:
    return "few-false-ejections";
  case DetectionPreset::Balanced:
    return "balanced";
  case DetectionPreset::FastDetection:
    return "fast-detection";
  }
  return "balanced";
}

} // namespace teaselhitch

#ifndef TEASELHITCH_DETECTION_DETECTOR_H
#define TEASELHITCH_DETECTION_DETECTOR_H

/// \file
/// Detectors of gray failures: they turn the results of real requests of one
/// backend server into a verdict. Pure: samples and the time go in.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Registry.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace teaselhitch {

/// The result of one real request.
struct Sample {
  bool Success = true;
  /// Time at the backend server.
  Duration RunTime;
  /// How much the sample counts, 0 to 1. Below 1 during slow start.
  double Weight = 1;

  auto operator<=>(const Sample &) const = default;
};

enum class Verdict : std::uint8_t { Healthy, Suspected, Failing };
/// "healthy", "suspected" or "failing".
const char *verdictName(Verdict V);

/// What kind of results a score rests on.
enum class EvidenceKind : std::uint8_t { Errors, RunTime };

/// What a verdict rests on.
struct Evidence {
  EvidenceKind Kind = EvidenceKind::Errors;
  /// Grows with the evidence for a failure; 1 is the threshold for Failing.
  double Score = 0;
  /// Time of the first sample that the score rests on.
  Time Since;
  /// One line for operators.
  std::string Text;

  auto operator<=>(const Evidence &) const = default;
};

/// Judges one backend server.
class Detector {
public:
  virtual ~Detector() = default;

  /// \param Peers the other backend servers of the service at the same time.
  virtual void observe(const Sample &S, const ServiceBaseline &Peers,
                       Time Now) = 0;
  virtual Verdict verdict(Time Now) const = 0;
  virtual Evidence evidence(Time Now) const = 0;
  /// Forgets the evidence, for example after readmission.
  virtual void reset(Time Now) = 0;
};

using DetectorRegistry = Registry<Detector, DetectionPreset>;

/// Creates the detector plug-in called Name: `sequential`, `consecutive`,
/// `window` or one that the program registered. NotFound lists the known names.
Result<std::unique_ptr<Detector>> createDetector(const std::string &Name,
                                                 DetectionPreset Preset);

} // namespace teaselhitch

#endif

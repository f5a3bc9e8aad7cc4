#ifndef TEASELHITCH_DETECTION_DETECTOR_H
#define TEASELHITCH_DETECTION_DETECTOR_H

/// \file
/// Gray failure detectors, which derive a verdict on one backend server from
/// the results of its production requests. Detectors perform no I/O and read no
/// clock; the caller passes in samples and the time.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Registry.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace teaselhitch {

/// The result of one production request.
struct Sample {
  bool Success = true;
  /// Time the request spent at the backend server.
  Duration RunTime;
  /// Weight of the sample, 0 to 1. Below 1 during cold start and slow start.
  double Weight = 1;

  auto operator<=>(const Sample &) const = default;
};

enum class Verdict : std::uint8_t { Healthy, Suspected, Failing };
/// Returns "healthy", "suspected" or "failing".
const char *verdictName(Verdict V);

/// The kind of results that a score is based on.
enum class EvidenceKind : std::uint8_t { Errors, RunTime };

/// The evidence behind a verdict.
struct Evidence {
  EvidenceKind Kind = EvidenceKind::Errors;
  /// Strength of the evidence for a failure; 1 is the threshold for Failing.
  double Score = 0;
  /// Time of the first sample that contributes to the score.
  Time Since;
  /// One-line description for operators.
  std::string Text;

  auto operator<=>(const Evidence &) const = default;
};

/// Detects gray failures of one backend server.
class Detector {
public:
  virtual ~Detector() = default;

  /// \param Peers statistics of the other backend servers of the service at the
  /// same time.
  virtual void observe(const Sample &S, const ServiceBaseline &Peers,
                       Time Now) = 0;
  virtual Verdict verdict(Time Now) const = 0;
  virtual Evidence evidence(Time Now) const = 0;
  /// Discards the evidence, for example after readmission.
  virtual void reset(Time Now) = 0;
};

using DetectorRegistry = Registry<Detector, DetectionPreset>;

/// Creates the detector plug-in \p Name: `sequential`, `consecutive`, `window`
/// or one that the program has registered. Returns NotFound, with a list of the
/// known names, for any other name.
Result<std::unique_ptr<Detector>> createDetector(const std::string &Name,
                                                 DetectionPreset Preset);

} // namespace teaselhitch

#endif

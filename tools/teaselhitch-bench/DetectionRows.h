#ifndef TEASELHITCH_TOOLS_BENCH_DETECTIONROWS_H
#define TEASELHITCH_TOOLS_BENCH_DETECTIONROWS_H

/// \file
/// Rows of the detection tables and the bounds that apply to them.

#include "DetectionSimulation.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselhitch::bench {

/// One row of a table: a scenario that is run for several services or trials.
struct Row {
  std::string Deployment;
  std::string Name;
  /// The scenario. Detector and preset are set for each cell.
  Scenario Base;
  /// Numbers of backend servers of the services. The trials use them in
  /// rotation.
  std::vector<unsigned> Sizes;
  unsigned Trials = 1;
  bool StopAtDetection = true;
  /// Length in seconds of the trials of the baselines, which are the detectors
  /// other than the default one; 0 means Base.Length.
  double BaselineLength = 0;
  /// Upper bound of the median detection time in seconds.
  std::optional<double> MedianBound;
  /// If set, the bound fails when a healthy backend server is ejected.
  bool ForbidFalseEjections = false;
};

/// Results of one detector with one preset on one row.
struct Cell {
  std::string Detector;
  DetectionPreset Preset = DetectionPreset::Balanced;
  unsigned Trials = 0;
  unsigned Detected = 0;
  /// Quantiles over the trials of the time in seconds from the fault to the
  /// ejection (P50, P99) and to the first lower weight (LoweredP50,
  /// LoweredP99). A trial without such an event counts as infinite. Negative if
  /// no ejection is expected on the row.
  double P50 = -1;
  double P99 = -1;
  double LoweredP50 = -1;
  double LoweredP99 = -1;
  unsigned FalseEjections = 0;
  /// Observation time of the healthy backend servers, in days.
  double ServerDays = 0;
  std::uint64_t Requests = 0;

  double falseEjectionsPerDay() const {
    return ServerDays > 0 ? FalseEjections / ServerDays : 0;
  }
};

/// The default detector of a service. The other detectors are baselines.
constexpr const char *DefaultDetector = "sequential";

/// Returns the preset that the deployment of the row uses.
DetectionPreset deploymentPreset(const Row &R);

/// Returns all rows. With \p Quick there are fewer and shorter trials.
std::vector<Row> detectionRows(bool Quick);

/// Runs the trials of \p R for one detector and preset.
Cell runCell(const Row &R, const std::string &Detector, DetectionPreset Preset);

} // namespace teaselhitch::bench

#endif

#ifndef TEASELHITCH_TOOLS_BENCH_DETECTIONROWS_H
#define TEASELHITCH_TOOLS_BENCH_DETECTIONROWS_H

/// \file
/// The rows of the detection tables and their bounds.

#include "DetectionWorld.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselhitch::bench {

/// A row: a scenario for several services or trials.
struct Row {
  std::string Deployment;
  std::string Name;
  /// Detector and preset are set for each column.
  Scenario Base;
  /// Sizes of the services; trials take them in turn.
  std::vector<unsigned> Sizes;
  unsigned Trials = 1;
  bool StopAtDetection = true;
  /// Seconds for detectors other than the chosen one, which are there for
  /// comparison; 0 means the same as for the chosen one.
  double BaselineLength = 0;
  /// Goal for the median detection time in seconds.
  std::optional<double> MedianBound;
  /// No healthy backend server may be ejected.
  bool ForbidFalseEjections = false;
};

/// What one detector with one preset did on a row.
struct Cell {
  std::string Detector;
  DetectionPreset Preset = DetectionPreset::Balanced;
  unsigned Trials = 0;
  unsigned Detected = 0;
  /// Seconds; a trial without detection counts as infinite. Negative if the
  /// row has no fault to detect.
  double P50 = -1;
  double P99 = -1;
  double LoweredP50 = -1;
  double LoweredP99 = -1;
  unsigned FalseEjections = 0;
  double ServerDays = 0;
  std::uint64_t Requests = 0;

  double falsePerDay() const {
    return ServerDays > 0 ? FalseEjections / ServerDays : 0;
  }
};

/// The default detector of a service; the others are baselines.
constexpr const char *ChosenDetector = "sequential";

/// The preset that the deployment of the row uses.
DetectionPreset presetOf(const Row &R);

std::vector<Row> detectionRows(bool Quick);

/// Runs the trials of a cell.
Cell runCell(const Row &R, const std::string &Detector, DetectionPreset Preset);

} // namespace teaselhitch::bench

#endif

/// \file
/// The command `detection`: a table of detection times and false ejections for
/// all detectors and presets. Checks the bounds of the default detector.

#include "Command.h"
#include "DetectionRows.h"
#include "DetectionSpeed.h"

#include <boost/json.hpp>

#include <atomic>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

namespace teaselhitch::bench {

namespace {

constexpr std::array<DetectionPreset, 3> Presets = {
    DetectionPreset::FewFalseEjections, DetectionPreset::Balanced,
    DetectionPreset::FastDetection};

/// A cell of the table to compute: one detector with one preset on one row.
struct Job {
  std::size_t RowIndex;
  std::string Detector;
  DetectionPreset Preset;
  Cell Result;
};

class DetectionCommand final : public Command {
public:
  int run(const CommandOptions &Options) override;

private:
  void runJobs(unsigned Threads);
  void checkRow(const Row &R, const Cell &C);
  void checkDominance();
  double falseEjectionRate(const std::string &Deployment,
                           const std::string &Detector,
                           DetectionPreset Preset) const;
  void printTable() const;
  void printJson() const;

  std::vector<Row> Rows;
  std::vector<Job> Jobs;
  std::vector<std::string> Failures;
};

void DetectionCommand::runJobs(unsigned Threads) {
  std::atomic<std::size_t> Next{0};
  std::vector<std::thread> Workers;
  for (unsigned I = 0; I < Threads; ++I)
    Workers.emplace_back([&] {
      for (std::size_t J = Next++; J < Jobs.size(); J = Next++)
        Jobs[J].Result =
            runCell(Rows[Jobs[J].RowIndex], Jobs[J].Detector, Jobs[J].Preset);
    });
  for (std::thread &Worker : Workers)
    Worker.join();
}

std::string cellName(const Row &R, const Cell &C) {
  return R.Deployment + ", " + R.Name + ", " + C.Detector + " " +
         detectionPresetName(C.Preset);
}

void DetectionCommand::checkRow(const Row &R, const Cell &C) {
  if (R.MedianBound && !(C.P50 <= *R.MedianBound))
    Failures.push_back(cellName(R, C) + ": median " + std::to_string(C.P50) +
                       " s above " + std::to_string(*R.MedianBound) + " s");
  if (R.ForbidFalseEjections && C.FalseEjections > 0)
    Failures.push_back(cellName(R, C) + ": " +
                       std::to_string(C.FalseEjections) + " false ejections");
}

/// Returns the false ejections per backend server and day on the healthy rows,
/// which are the rows that forbid false ejections.
double DetectionCommand::falseEjectionRate(const std::string &Deployment,
                                           const std::string &Detector,
                                           DetectionPreset Preset) const {
  double Count = 0;
  double Days = 0;
  for (const Job &J : Jobs) {
    const Row &R = Rows[J.RowIndex];
    if (R.Deployment != Deployment || !R.ForbidFalseEjections ||
        J.Detector != Detector || J.Preset != Preset)
      continue;
    Count += J.Result.FalseEjections;
    Days += J.Result.ServerDays;
  }
  return Days > 0 ? Count / Days : 0;
}

/// Reports each row on which a baseline dominates the default detector: none of
/// the median, the 99th percentile and the rate of false ejections on the
/// healthy rows is worse, and at least one is better.
void DetectionCommand::checkDominance() {
  std::map<std::size_t, const Cell *> DefaultCells;
  for (const Job &J : Jobs)
    if (J.Detector == DefaultDetector &&
        J.Preset == deploymentPreset(Rows[J.RowIndex]))
      DefaultCells[J.RowIndex] = &J.Result;
  for (const Job &J : Jobs) {
    const Row &R = Rows[J.RowIndex];
    const Cell &DefaultCell = *DefaultCells.at(J.RowIndex);
    const Cell &BaselineCell = J.Result;
    if (J.Detector == DefaultDetector || DefaultCell.P50 < 0)
      continue;
    const double DefaultRate = falseEjectionRate(
        R.Deployment, DefaultCell.Detector, DefaultCell.Preset);
    const double BaselineRate = falseEjectionRate(
        R.Deployment, BaselineCell.Detector, BaselineCell.Preset);
    const bool NotWorse = BaselineCell.P50 <= DefaultCell.P50 &&
                          BaselineCell.P99 <= DefaultCell.P99 &&
                          BaselineRate <= DefaultRate;
    const bool Better = BaselineCell.P50 < DefaultCell.P50 ||
                        BaselineCell.P99 < DefaultCell.P99 ||
                        BaselineRate < DefaultRate;
    if (NotWorse && Better)
      Failures.push_back(cellName(R, DefaultCell) + ": dominated by " +
                         BaselineCell.Detector + " " +
                         detectionPresetName(BaselineCell.Preset));
  }
}

std::string formatSeconds(double Seconds) {
  if (Seconds < 0)
    return "-";
  if (std::isinf(Seconds))
    return "never";
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(2) << Seconds;
  return Text.str();
}

void DetectionCommand::printTable() const {
  std::cout << "| deployment | row | seed | detector | preset | trials | p50 s "
               "| p99 s | lowered p50 s | lowered p99 s | false | server-days "
               "| false/server-day |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const Job &J : Jobs) {
    const Row &R = Rows[J.RowIndex];
    const Cell &C = J.Result;
    const bool IsDefault =
        C.Detector == DefaultDetector && C.Preset == deploymentPreset(R);
    std::cout << "| " << R.Deployment << " | " << R.Name << " | " << R.Base.Seed
              << " | " << C.Detector << (IsDefault ? " *" : "") << " | "
              << detectionPresetName(C.Preset) << " | " << C.Trials << " | "
              << formatSeconds(C.P50) << " | " << formatSeconds(C.P99) << " | "
              << formatSeconds(C.LoweredP50) << " | "
              << formatSeconds(C.LoweredP99) << " | " << C.FalseEjections
              << " | " << std::setprecision(3) << C.ServerDays << " | "
              << std::setprecision(3) << C.falseEjectionsPerDay() << " |\n";
  }
  for (const std::string &Failure : Failures)
    std::cout << "bound fails: " << Failure << "\n";
  std::cout << (Failures.empty() ? "all bounds hold\n" : "");
}

void DetectionCommand::printJson() const {
  const auto SecondsOrNull = [](double Seconds) {
    return Seconds < 0 || std::isinf(Seconds) ? boost::json::value(nullptr)
                                              : boost::json::value(Seconds);
  };
  boost::json::array Cells;
  for (const Job &J : Jobs) {
    const Row &R = Rows[J.RowIndex];
    const Cell &C = J.Result;
    Cells.push_back({{"deployment", R.Deployment},
                     {"row", R.Name},
                     {"seed", R.Base.Seed},
                     {"detector", C.Detector},
                     {"preset", detectionPresetName(C.Preset)},
                     {"trials", C.Trials},
                     {"detected", C.Detected},
                     {"p50_s", SecondsOrNull(C.P50)},
                     {"p99_s", SecondsOrNull(C.P99)},
                     {"lowered_p50_s", SecondsOrNull(C.LoweredP50)},
                     {"lowered_p99_s", SecondsOrNull(C.LoweredP99)},
                     {"false_ejections", C.FalseEjections},
                     {"server_days", C.ServerDays},
                     {"requests", C.Requests}});
  }
  boost::json::array Failed(Failures.begin(), Failures.end());
  boost::json::object Report;
  Report["cells"] = std::move(Cells);
  Report["failed_bounds"] = std::move(Failed);
  std::cout << boost::json::serialize(Report) << "\n";
}

int DetectionCommand::run(const CommandOptions &Options) {
  if (Options.Speed) {
    runDetectionSpeed();
    return 0;
  }
  for (const Row &R : detectionRows(Options.Quick))
    if ((R.Deployment + ", " + R.Name).find(Options.Filter) !=
        std::string::npos)
      Rows.push_back(R);
  for (std::size_t I = 0; I < Rows.size(); ++I)
    for (const std::string Detector : {"sequential", "consecutive", "window"})
      for (DetectionPreset Preset : Presets)
        Jobs.push_back({I, Detector, Preset, {}});
  runJobs(Options.Threads);
  // The bounds on false ejections apply to each preset of the default detector.
  // The bounds on the detection time apply only to the preset that the
  // deployment uses.
  for (const Job &J : Jobs) {
    Row R = Rows[J.RowIndex];
    if (J.Preset != deploymentPreset(R))
      R.MedianBound.reset();
    if (J.Detector == DefaultDetector)
      checkRow(R, J.Result);
  }
  // The comparison of false ejections needs all healthy rows, which a filter
  // may exclude.
  if (Options.Filter.empty())
    checkDominance();
  Options.Json ? printJson() : printTable();
  return Failures.empty() ? 0 : 1;
}

const CommandRegistry::Entry
    Entry("detection", "detection time and false ejections of the detectors",
          [] { return std::make_unique<DetectionCommand>(); });

} // namespace

} // namespace teaselhitch::bench

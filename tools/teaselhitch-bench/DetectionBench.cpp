/// \file
/// The command `detection`: decision tables for all detectors and presets, and
/// the bounds on the chosen ones.

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
  double healthyFalsePerDay(const std::string &Deployment,
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

/// False ejections per backend server and day on the rows where none is right.
double DetectionCommand::healthyFalsePerDay(const std::string &Deployment,
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

/// A baseline dominates on a row when it is nowhere worse, on the row and in
/// false ejections on the healthy rows, and better somewhere.
void DetectionCommand::checkDominance() {
  std::map<std::size_t, const Cell *> Chosen;
  for (const Job &J : Jobs)
    if (J.Detector == ChosenDetector && J.Preset == presetOf(Rows[J.RowIndex]))
      Chosen[J.RowIndex] = &J.Result;
  for (const Job &J : Jobs) {
    const Row &R = Rows[J.RowIndex];
    const Cell &Own = *Chosen.at(J.RowIndex);
    const Cell &Other = J.Result;
    if (J.Detector == ChosenDetector || Own.P50 < 0)
      continue;
    const double OwnFalse =
        healthyFalsePerDay(R.Deployment, Own.Detector, Own.Preset);
    const double OtherFalse =
        healthyFalsePerDay(R.Deployment, Other.Detector, Other.Preset);
    const bool NowhereWorse =
        Other.P50 <= Own.P50 && Other.P99 <= Own.P99 && OtherFalse <= OwnFalse;
    const bool Better =
        Other.P50 < Own.P50 || Other.P99 < Own.P99 || OtherFalse < OwnFalse;
    if (NowhereWorse && Better)
      Failures.push_back(cellName(R, Own) + ": dominated by " + Other.Detector +
                         " " + detectionPresetName(Other.Preset));
  }
}

std::string seconds(double S) {
  if (S < 0)
    return "-";
  if (std::isinf(S))
    return "never";
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(2) << S;
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
    const bool IsChosen =
        C.Detector == ChosenDetector && C.Preset == presetOf(R);
    std::cout << "| " << R.Deployment << " | " << R.Name << " | " << R.Base.Seed
              << " | " << C.Detector << (IsChosen ? " *" : "") << " | "
              << detectionPresetName(C.Preset) << " | " << C.Trials << " | "
              << seconds(C.P50) << " | " << seconds(C.P99) << " | "
              << seconds(C.LoweredP50) << " | " << seconds(C.LoweredP99)
              << " | " << C.FalseEjections << " | " << std::setprecision(3)
              << C.ServerDays << " | " << std::setprecision(3)
              << C.falsePerDay() << " |\n";
  }
  for (const std::string &Failure : Failures)
    std::cout << "bound fails: " << Failure << "\n";
  std::cout << (Failures.empty() ? "all bounds hold\n" : "");
}

void DetectionCommand::printJson() const {
  const auto OrNull = [](double S) {
    return S < 0 || std::isinf(S) ? boost::json::value(nullptr)
                                  : boost::json::value(S);
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
                     {"p50_s", OrNull(C.P50)},
                     {"p99_s", OrNull(C.P99)},
                     {"lowered_p50_s", OrNull(C.LoweredP50)},
                     {"lowered_p99_s", OrNull(C.LoweredP99)},
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
  // Bounds on false ejections hold for each preset of the chosen detector, the
  // goals for the detection time for the preset that the deployment uses.
  for (const Job &J : Jobs) {
    Row R = Rows[J.RowIndex];
    if (J.Preset != presetOf(R))
      R.MedianBound.reset();
    if (J.Detector == ChosenDetector)
      checkRow(R, J.Result);
  }
  // False ejections are compared over all healthy rows.
  if (Options.Filter.empty())
    checkDominance();
  Options.Json ? printJson() : printTable();
  return Failures.empty() ? 0 : 1;
}

const CommandRegistry::Entry
    Entry("detection", "decision tables of gray failure detection",
          [] { return std::make_unique<DetectionCommand>(); });

} // namespace

} // namespace teaselhitch::bench

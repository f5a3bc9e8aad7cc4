#ifndef TEASELHITCH_TOOLS_BENCH_CRASHBENCH_H
#define TEASELHITCH_TOOLS_BENCH_CRASHBENCH_H

/// \file
/// Simulates one guard in virtual time whose backend servers crash, either
/// because of certain requests or for unrelated reasons. Each caller repeats
/// its request until it is answered. The results are a function of the options.

#include "teaselhitch/Support/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

struct CrashOptions {
  std::uint64_t Seed = 1;
  unsigned Servers = 8;
  /// Slots of each server.
  std::uint32_t Slots = 3;
  /// Requests that crash each server that runs them.
  unsigned CrashingRequests = 1;
  /// Requests that crash no server. Half of them are slow, so that they are in
  /// progress when servers crash.
  unsigned OrdinaryRequests = 24;
  /// If set, all servers crash one after the other at this interval (a wave),
  /// independently of the requests.
  std::optional<Duration> WaveInterval;
  /// Simulated time.
  Duration Length = Duration::seconds(40);
};

/// Result of one run, or combined result of several runs.
struct CrashResult {
  /// Number of server crashes that crashing requests caused; the maximum over
  /// the runs.
  unsigned ServersLost = 0;
  /// Number of crashing requests that were quarantined; the minimum over the
  /// runs.
  unsigned CrashingQuarantined = 0;
  /// Numbers of ordinary requests that were quarantined or remained unanswered;
  /// sums over the runs.
  unsigned OrdinaryQuarantined = 0;
  unsigned OrdinaryUnanswered = 0;
};

CrashResult runCrashTrial(const CrashOptions &Options);

/// One row of the table: all runs of one scenario.
struct CrashRow {
  std::string Scenario;
  unsigned Runs = 0;
  unsigned CrashingRequests = 0;
  /// The combined result of the runs, by the rules of CrashResult.
  CrashResult Worst;
};

/// Runs four scenarios: one crashing request, two crashing requests, a wave
/// over all servers, and one crashing request during a wave. Each scenario is
/// run \p Runs times, with different seeds, numbers of servers and wave
/// intervals.
std::vector<CrashRow> runCrashTable(unsigned Runs);

/// Formats the rows as a Markdown table.
std::string crashTableText(const std::vector<CrashRow> &Rows);

} // namespace teaselhitch

#endif

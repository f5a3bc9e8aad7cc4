#ifndef TEASELHITCH_TOOLS_BENCH_CRASHBENCH_H
#define TEASELHITCH_TOOLS_BENCH_CRASHBENCH_H

/// \file
/// Runs one guard in virtual time while requests crash its backend servers or
/// the servers crash for another reason. All callers send again until they are
/// answered. Results depend on the options only.

#include "teaselhitch/Support/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

struct CrashOptions {
  std::uint64_t Seed = 1;
  unsigned Servers = 8;
  std::uint32_t Slots = 3;
  unsigned CrashingRequests = 1;
  /// Half of them are slow, so that they are in progress when servers crash.
  unsigned OrdinaryRequests = 24;
  /// All servers crash, this far apart; empty means no wave.
  std::optional<Duration> WaveSpacing;
  Duration Length = Duration::seconds(40);
};

/// What one or more runs showed.
struct CrashResult {
  /// Most servers that one run lost to crashing requests.
  unsigned ServersLost = 0;
  /// Fewest crashing requests that were quarantined in a run.
  unsigned CrashingQuarantined = 0;
  /// Sums over the runs, of ordinary requests.
  unsigned OrdinaryQuarantined = 0;
  unsigned OrdinaryUnanswered = 0;
};

CrashResult runCrashTrial(const CrashOptions &Options);

struct CrashRow {
  std::string Scenario;
  unsigned Runs = 0;
  unsigned CrashingRequests = 0;
  CrashResult Worst;
};

/// Four scenarios: one crashing request, two, a wave over all servers, and one
/// crashing request in a wave; each with this many seeds, numbers of servers
/// and spacings.
std::vector<CrashRow> runCrashTable(unsigned Runs);

/// The rows as a Markdown table.
std::string crashTableText(const std::vector<CrashRow> &Rows);

} // namespace teaselhitch

#endif

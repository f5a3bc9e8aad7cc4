#ifndef TEASELHITCH_TOOLS_BENCH_DETECTIONWORLD_H
#define TEASELHITCH_TOOLS_BENCH_DETECTIONWORLD_H

/// \file
/// Traffic of one service through its guards' GrayFailureControl, in virtual
/// time. Each instance has one backend server of the service and one entry;
/// a large fleet has more entries.

#include "teaselhitch/Config/Objects.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch::bench {

enum class FaultKind : std::uint8_t {
  None,
  /// A share of the requests of one backend server fails after 5 ms.
  Failing,
  /// One backend server is slower by a factor.
  Slow,
  /// One backend server fails for the callers of one failure domain.
  OneDomain,
  /// One backend server fails all requests for half of each period.
  Flapping,
  /// The whole service is 5 times as slow, fails 30% and sheds 20%, 10 minutes
  /// out of 20.
  Overload,
  /// All backend servers start at once: 5 times as slow, 2% errors, for 20 s.
  ColdStart,
  /// One backend server after the other drains, is away for 10 s and starts
  /// cold.
  DeployWave,
};

struct Scenario {
  FaultKind Fault = FaultKind::None;
  /// Share, factor, number of the domain or period in seconds, by kind of
  /// fault. The backend server with the fault is in domain 0.
  double Size = 0;
  unsigned Servers = 8;
  /// Entries that send requests; 0 means one for each backend server.
  unsigned Entries = 0;
  unsigned Slots = 3;
  unsigned Domains = 3;
  /// Requests per second and backend server.
  double Rate = 5;
  double ErrorRate = 0.001;
  /// Seconds before the fault, without false ejections counted.
  double WarmUp = 60;
  /// Seconds after the warm-up.
  double Length = 60;
  std::string Detector = "sequential";
  DetectionPreset Preset = DetectionPreset::Balanced;
  std::uint64_t Seed = 0;
};

struct Findings {
  /// Seconds from the fault to the ejection; negative if there was none.
  double Detection = -1;
  /// Seconds from the fault to the lower weight or the ejection.
  double Lowered = -1;
  /// Ejections of backend servers without a fault.
  unsigned FalseEjections = 0;
  unsigned Ejections = 0;
  /// Days that healthy backend servers were watched.
  double ServerDays = 0;
  std::uint64_t Requests = 0;
};

/// Runs a scenario. With StopAtDetection the run ends at the ejection of the
/// backend server with the fault.
Findings runScenario(const Scenario &S, bool StopAtDetection);

} // namespace teaselhitch::bench

#endif

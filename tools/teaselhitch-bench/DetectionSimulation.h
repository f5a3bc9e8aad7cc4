#ifndef TEASELHITCH_TOOLS_BENCH_DETECTIONSIMULATION_H
#define TEASELHITCH_TOOLS_BENCH_DETECTIONSIMULATION_H

/// \file
/// Simulates the requests of one service in virtual time, with the
/// GrayFailureControl of each guard. Each instance has one backend server of
/// the service and one entry. A large fleet has further entries.

#include "teaselhitch/Config/Objects.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch::bench {

enum class FaultKind : std::uint8_t {
  None,
  /// A share of the requests of one backend server fails after 5 ms.
  Failing,
  /// The run times of one backend server are multiplied by a factor.
  Slow,
  /// One backend server fails all requests from one failure domain.
  OneDomain,
  /// One backend server fails all requests during the first half of each
  /// period.
  Flapping,
  /// During the first 10 of each 20 minutes, all backend servers take 5 times
  /// as long, shed 20% of the requests and fail 30% of the rest.
  Overload,
  /// All backend servers start at the same time. For 20 s, they take 5 times as
  /// long and fail 2% of the requests.
  ColdStart,
  /// One backend server after the other drains, is down for 10 s and restarts
  /// cold.
  DeployWave,
};

struct Scenario {
  FaultKind Fault = FaultKind::None;
  /// Depends on Fault. Failing: the share of requests that fail; Slow: the
  /// factor; OneDomain: the number of the domain; Flapping: the period in
  /// seconds. The faulty backend server is in domain 0.
  double FaultParameter = 0;
  unsigned Servers = 8;
  /// Entries that send requests; 0 means one for each backend server.
  unsigned Entries = 0;
  /// Slots of each backend server.
  unsigned Slots = 3;
  unsigned Domains = 3;
  /// Requests per second and backend server.
  double Rate = 5;
  /// Share of requests that fail on a backend server without a fault.
  double ErrorRate = 0.001;
  /// Seconds before the fault. Ejections during this time are not counted.
  double WarmUp = 60;
  /// Seconds after the warm-up.
  double Length = 60;
  std::string Detector = "sequential";
  DetectionPreset Preset = DetectionPreset::Balanced;
  std::uint64_t Seed = 0;
};

struct ScenarioResult {
  /// Seconds from the fault to the ejection of the faulty backend server;
  /// negative if it was not ejected.
  double DetectionSeconds = -1;
  /// Seconds from the fault to the first reduction of the weight of the faulty
  /// backend server or to its ejection; negative if there was neither.
  double LoweredSeconds = -1;
  /// Ejections of backend servers without a fault.
  unsigned FalseEjections = 0;
  /// Ejections of the faulty backend server.
  unsigned Ejections = 0;
  /// Observation time of the healthy backend servers after the warm-up, in
  /// days.
  double ServerDays = 0;
  std::uint64_t Requests = 0;
};

/// Runs a scenario. With \p StopAtDetection, the run ends when the faulty
/// backend server is ejected.
ScenarioResult runScenario(const Scenario &S, bool StopAtDetection);

} // namespace teaselhitch::bench

#endif

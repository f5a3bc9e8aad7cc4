#ifndef TEASELHITCH_STANDIN_BACKENDFAULTS_H
#define TEASELHITCH_STANDIN_BACKENDFAULTS_H

/// \file
/// Gray failures that the simulated backend server can inject. Performs no I/O.

#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Support/Result.h"

#include <string>

namespace teaselhitch::standin {

enum class BackendFaultMode {
  Ok,
  /// A percentage of the requests is answered with status 500.
  Fail,
  /// A percentage of the requests takes longer.
  Slow,
  /// Requests on connections that are open when the fault is set are never
  /// answered. New connections work.
  Silent,
  /// A request with the header `Standin-Crash: yes` terminates the process.
  CrashOnMark,
  /// Alternates between the behaviour of Fail and of Ok.
  Flap,
};

struct BackendFaults {
  BackendFaultMode Mode = BackendFaultMode::Ok;
  /// Percentage of the requests that Fail, Slow and Flap affect, 0 to 100.
  double Percent = 100;
  /// Factor by which Slow multiplies the work time of a request.
  double Factor = 10;
  /// The organisation whose requests Fail, Slow and Flap affect. If empty, they
  /// affect the requests of all organisations.
  std::string Caller;
  /// Duration of each of the two states of Flap.
  Duration Period = Duration::seconds(5);
  /// When the faults were set. Flap starts with Fail at this time.
  Time StartTime;
};

/// Effect of the faults on one request.
struct FaultEffect {
  bool Fails = false;
  double WorkFactor = 1;
};

/// Parses the body of `PUT /standin/faults`. Fails with InvalidInput, whose
/// message names the invalid member.
Result<BackendFaults> parseBackendFaults(const std::string &Body, Time Now);

/// Chooses the effect of the faults on a request of the given organisation.
FaultEffect chooseEffect(const BackendFaults &Faults,
                         const std::string &Organisation, Time Now,
                         RandomSource &Random);

} // namespace teaselhitch::standin

#endif

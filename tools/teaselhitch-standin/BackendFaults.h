#ifndef TEASELHITCH_STANDIN_BACKENDFAULTS_H
#define TEASELHITCH_STANDIN_BACKENDFAULTS_H

/// \file
/// Gray failures of the stand-in backend server. Pure.

#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Support/Result.h"

#include <string>

namespace teaselhitch::standin {

enum class BackendFaultMode {
  Ok,
  /// A share of the requests is answered with 500.
  Fail,
  /// A share of the requests takes longer.
  Slow,
  /// Connections that are open when the fault is set never answer again.
  Silent,
  /// A request with the header `Standin-Crash: yes` ends the process.
  CrashOnMark,
  /// Alternates between Fail and Ok.
  Flap,
};

struct BackendFaults {
  BackendFaultMode Mode = BackendFaultMode::Ok;
  /// Share of the requests that Fail, Slow and Flap hit, 0 to 100.
  double Percent = 100;
  /// Work time of slow requests as a multiple of the usual.
  double Factor = 10;
  /// The organisation whose requests Fail, Slow and Flap hit; empty for all.
  std::string Caller;
  /// How long Flap keeps each of its two states.
  Duration Period = Duration::seconds(5);
  /// When the faults were set; Flap starts with Fail.
  Time Since;
};

/// What happens to one request.
struct RequestFate {
  bool Fails = false;
  double WorkFactor = 1;
};

/// Parses the body of `PUT /standin/faults`; InvalidInput names the wrong
/// member.
Result<BackendFaults> parseBackendFaults(const std::string &Body, Time Now);

/// Decides on a request of the given organisation.
RequestFate decideFate(const BackendFaults &Faults,
                       const std::string &Organisation, Time Now,
                       RandomSource &Random);

} // namespace teaselhitch::standin

#endif

#ifndef TEASELHITCH_LIB_GUARD_SERVERRISK_H
#define TEASELHITCH_LIB_GUARD_SERVERRISK_H

/// \file
/// Estimates the risk of the backend servers of one guard and the run times of
/// the requests of each rule.

#include "teaselhitch/Detection/FailureOdds.h"
#include "teaselhitch/Guard/Guard.h"

#include <map>
#include <memory>
#include <optional>

namespace teaselhitch {

class ServerRisk {
public:
  void recordStart(const BackendServerName &Server, const DispatchInfo &Info,
                   Time Now);
  void recordFinish(const BackendServerName &Server, const DispatchInfo &Info,
                    const RunResult &Result, Time Now);
  /// Records a sign of progress of the attempt on the backend server.
  void recordProgress(const BackendServerName &Server, const DispatchInfo &Info,
                      Time Now);
  /// Records that the backend server restarted or is gone.
  void recordRestart(const BackendServerName &Server, Time Now);

  /// Probability that the backend server is failing, 0 to 1.
  double probability(const BackendServerName &Server, Time Now) const;

  /// True if the backend server should not run this attempt while others are
  /// available. A request that must not run twice is lost if the backend server
  /// fails, so it requires a lower risk.
  bool isTooRisky(const BackendServerName &Server, const DispatchInfo &Info,
                  Time Now) const;

  /// True if the attempt may be a trial, which shows whether a backend server
  /// that is suspected has recovered. Only one idempotent attempt at a time is
  /// a trial, and trials are spaced in time.
  bool allowsTrial(const BackendServerName &Server, const DispatchInfo &Info,
                   Time Now) const;

  /// True from the time at which the backend server looks faulty until requests
  /// that started later have succeeded, or until no trial has been made for a
  /// long time.
  bool isUnproven(const BackendServerName &Server, Time Now) const;

  /// Records which backend servers look faulty. Must be called at least every
  /// 50 ms.
  void tick(Time Now);

  /// True if the attempt has run for so long that running the request elsewhere
  /// is worthwhile.
  bool isOverdue(const BackendServerName &Server, const DispatchInfo &Info,
                 Duration Elapsed, Time Now) const;

  /// Mean run time of the requests of the rule; zero if unknown.
  Duration meanRunTime(const DispatchInfo &Info) const;

private:
  /// Observations of one backend server.
  struct Record {
    FailureOdds Odds;
    /// Idempotent attempts in progress, and the start time of the last one.
    std::uint32_t Trials = 0;
    Time LastTrialAt;
    /// When the backend server last looked faulty; empty once it has proved to
    /// be healthy.
    std::optional<Time> LastBadAt;
  };

  const RunTimeModel &model(const DispatchInfo &Info);
  void recordResult(Record &R, const DispatchInfo &Info,
                    const RunResult &Result, Time Now);
  /// Clears LastBadAt if the estimated risk is low enough.
  static void clearIfProven(Record &R, Time Now);

  std::map<BackendServerName, Record> Servers;
  /// Entries are never erased because attempts refer to them; the number is
  /// bounded by the rules.
  std::map<RuleName, std::unique_ptr<RunTimeModel>> Models;
};

} // namespace teaselhitch

#endif

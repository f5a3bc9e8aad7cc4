#ifndef TEASELHITCH_LIB_GUARD_SERVERRISK_H
#define TEASELHITCH_LIB_GUARD_SERVERRISK_H

/// \file
/// The risk of the backend servers of one guard, and how long the requests of
/// each rule run.

#include "teaselhitch/Detection/FailureOdds.h"
#include "teaselhitch/Guard/Guard.h"

#include <map>
#include <memory>
#include <optional>

namespace teaselhitch {

class ServerRisk {
public:
  void started(const BackendServerName &Server, const DispatchInfo &Info,
               Time Now);
  void finished(const BackendServerName &Server, const DispatchInfo &Info,
                const RunResult &Result, Time Now);
  /// The backend server is at work on the attempt.
  void progressed(const BackendServerName &Server, const DispatchInfo &Info,
                  Time Now);
  /// The backend server started again or is gone.
  void restarted(const BackendServerName &Server, Time Now);

  /// Probability that the backend server is failing, 0 to 1.
  double probability(const BackendServerName &Server, Time Now) const;

  /// True if the backend server should not get this attempt while there are
  /// others. Requests that must not run twice are lost with it, so they need
  /// more certainty.
  bool isTooRisky(const BackendServerName &Server, const DispatchInfo &Info,
                  Time Now) const;

  /// True if the attempt may find out whether a backend server that looks bad
  /// is sound again: one idempotent attempt at a time, and not in quick
  /// succession.
  bool mayTry(const BackendServerName &Server, const DispatchInfo &Info,
              Time Now) const;

  /// True from the moment at which the backend server looks bad until requests
  /// that started later have succeeded, or nobody has tried it for long.
  bool isUnproven(const BackendServerName &Server, Time Now) const;

  /// Notes which backend servers look bad. Call at least every 50 ms.
  void tick(Time Now);

  /// True if the attempt runs so long that it is worth running it elsewhere.
  bool isOverdue(const BackendServerName &Server, const DispatchInfo &Info,
                 Duration Elapsed, Time Now) const;

  /// Mean run time of the requests of the rule; zero while it is not known.
  Duration meanRunTime(const DispatchInfo &Info) const;

private:
  /// What is known of one backend server.
  struct Record {
    FailureOdds Odds;
    /// Idempotent attempts in progress, and when the last one started.
    std::uint32_t Trials = 0;
    Time LastTrialAt;
    /// When it looked bad last; empty once it has shown to be sound.
    std::optional<Time> BadAt;
  };

  const RunTimeModel &model(const DispatchInfo &Info);
  void noteResult(Record &R, const DispatchInfo &Info, const RunResult &Result,
                  Time Now);
  /// Ends the time in which the backend server needs proof, if it has enough.
  static void noteProof(Record &R, Time Now);

  std::map<BackendServerName, Record> Servers;
  /// Never erased while attempts refer to them; bounded by the rules.
  std::map<RuleName, std::unique_ptr<RunTimeModel>> Models;
};

} // namespace teaselhitch

#endif

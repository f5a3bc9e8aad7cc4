#ifndef TEASELHITCH_DETECTION_BASELINE_H
#define TEASELHITCH_DETECTION_BASELINE_H

/// \file
/// Figures of a service as entries see them, and their combination at a guard.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Clock.h"

#include <map>

namespace teaselhitch {

/// Sums over requests; old requests count less.
class BaselineTracker {
public:
  /// Time after which a request counts half. Entries and guards use the same,
  /// so that a guard can take its own share out of an entry's figures. It is
  /// short, so that an overload of the whole service shows at once.
  static constexpr Duration HalfLife = Duration::seconds(1);

  void record(bool Success, Duration RunTime, Time Now);
  /// Sums of Other, as of Now, are added Factor times.
  void add(const BaselineTracker &Other, double Factor, Time Now);
  /// An entry's figures, as of Now, are added.
  void add(const ServiceBaseline &Other, Time Now);

  /// Ages the sums to half in HalfLife and adds those of Other at the rate that
  /// makes the result a mean over that time.
  void follow(const BaselineTracker &Other, Duration Step, Duration HalfLife);

  ServiceBaseline baseline(Time Now) const;

private:
  void age(Time Now);
  static double decay(Duration Age);

  double Requests = 0;
  double Failures = 0;
  double Successes = 0;
  /// Sum of the logarithms of run times of successes.
  double LogRunTimes = 0;
  Time At;
};

/// The figures of the other backend servers of one service at one guard.
class PeerFigures {
public:
  /// An entry sent its figures with a dispatch.
  void receive(const NodeName &Entry, const ServiceBaseline &Figures, Time Now);
  /// A request that Entry sent to an own backend server ended.
  void record(const BackendServerName &Server, const NodeName &Entry,
              bool Success, Duration RunTime, Time Now);
  void forget(const BackendServerName &Server);

  /// Figures of all but Server. Error rate and run time are the higher ones of
  /// the last seconds and of the last minutes, which errs towards keeping a
  /// backend server in use.
  ServiceBaseline without(const BackendServerName &Server, Time Now);

  /// Requests of the last seconds that the figures of without() rest on.
  double newestWeight(const BackendServerName &Server, Time Now);

private:
  struct FromEntry {
    BaselineTracker Figures;
    Time At;
    /// Requests of the entry at own backend servers so far.
    std::map<BackendServerName, BaselineTracker> Own;
    /// The same when the figures were received, which is what they contain.
    std::map<BackendServerName, BaselineTracker> OwnInFigures;
  };
  struct OwnServer {
    BaselineTracker Requests;
    /// Means over seconds and over minutes of the peers' sums.
    BaselineTracker Medium;
    BaselineTracker Slow;
    ServiceBaseline Result;
    double NewestWeight = 0;
    Time ComputedAt;
    bool Computed = false;
  };

  Duration mergeInterval() const;
  BaselineTracker peersOf(const BackendServerName &Server, Time Now);

  std::map<NodeName, FromEntry> Entries;
  std::map<BackendServerName, OwnServer> Own;
};

} // namespace teaselhitch

#endif

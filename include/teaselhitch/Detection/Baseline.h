#ifndef TEASELHITCH_DETECTION_BASELINE_H
#define TEASELHITCH_DETECTION_BASELINE_H

/// \file
/// Request statistics of a service: measured at each entry and combined at a
/// guard.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Clock.h"

#include <map>

namespace teaselhitch {

/// Exponentially decayed sums over requests.
class BaselineTracker {
public:
  /// Half-life of the weight of a request. Entries and guards use the same
  /// value so that a guard can subtract the requests of its own backend servers
  /// from an entry's statistics. It is short so that an overload of the whole
  /// service becomes visible immediately.
  static constexpr Duration HalfLife = Duration::seconds(1);

  void record(bool Success, Duration RunTime, Time Now);
  /// Adds the sums of \p Other, decayed to \p Now and multiplied by \p Factor.
  void add(const BaselineTracker &Other, double Factor, Time Now);
  /// Adds the statistics of an entry, taken as measured at \p Now.
  void add(const ServiceBaseline &Other, Time Now);

  /// Updates the sums as an exponential moving average of the sums of \p Other
  /// with the half-life \p HalfLife, for the time \p Step since the last
  /// update.
  void updateMean(const BaselineTracker &Other, Duration Step,
                  Duration HalfLife);

  ServiceBaseline baseline(Time Now) const;

private:
  void age(Time Now);
  static double decay(Duration Age);

  double Requests = 0;
  double Failures = 0;
  double Successes = 0;
  /// Sum of the logarithms of the run times, in ms, of successful requests.
  double LogRunTimes = 0;
  Time UpdatedAt;
};

/// Statistics of the peers (the other backend servers of the same service) of
/// each backend server of one guard.
class PeerStatistics {
public:
  /// Stores the statistics that an entry sent with a dispatch.
  void receive(const NodeName &Entry, const ServiceBaseline &Statistics,
               Time Now);
  /// Records the end of a request that \p Entry sent to a backend server of
  /// this guard.
  void record(const BackendServerName &Server, const NodeName &Entry,
              bool Success, Duration RunTime, Time Now);
  void remove(const BackendServerName &Server);

  /// Statistics of all backend servers of the service except \p Server. Error
  /// rate and run time are each the maximum over the last seconds and the last
  /// minutes, which errs towards keeping a backend server in use.
  ServiceBaseline peerBaseline(const BackendServerName &Server, Time Now);

  /// Number of requests of the last seconds that peerBaseline() is based on.
  double recentWeight(const BackendServerName &Server, Time Now);

private:
  struct EntryState {
    BaselineTracker Statistics;
    Time ReceivedAt;
    /// Requests from the entry to the backend servers of this guard until now.
    std::map<BackendServerName, BaselineTracker> Own;
    /// Copy of Own from the time at which Statistics was received: the part of
    /// Statistics that stems from the backend servers of this guard.
    std::map<BackendServerName, BaselineTracker> ReceivedOwn;
  };
  struct OwnServer {
    BaselineTracker Requests;
    /// Moving averages of the peers' sums over seconds and over minutes.
    BaselineTracker MediumTerm;
    BaselineTracker LongTerm;
    ServiceBaseline Result;
    double RecentWeight = 0;
    Time ComputedAt;
    bool Computed = false;
  };

  Duration mergeInterval() const;
  BaselineTracker sumPeers(const BackendServerName &Server, Time Now);

  std::map<NodeName, EntryState> Entries;
  std::map<BackendServerName, OwnServer> Own;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_DETECTION_RUNTIMEMODEL_H
#define TEASELHITCH_DETECTION_RUNTIMEMODEL_H

/// \file
/// Distribution of the run times of one kind of request. Performs no I/O and
/// reads no clock.

#include "teaselhitch/Support/Clock.h"

namespace teaselhitch {

/// A log-normal distribution of run times, estimated from completed requests.
/// Recent requests have a greater weight.
class RunTimeModel {
public:
  /// \param Expected the median before any request was recorded.
  explicit RunTimeModel(Duration Expected);

  /// Records the run time of an answered request.
  void record(Duration RunTime);

  /// Returns the probability that a request runs longer than \p Elapsed.
  double survival(Duration Elapsed) const;

  /// Returns the run time that \p Share of the requests do not exceed.
  /// \param Share above 0 and below 1.
  Duration quantile(double Share) const;

  Duration mean() const;

  /// Returns true if recorded requests have at least the weight of the expected
  /// run time.
  bool isLearned() const;

private:
  double deviation() const;

  double LogMean;
  double LogVariance;
  /// Number of requests that the estimates are based on, including the prior;
  /// bounded so that the weight of old requests decays.
  double Weight;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_DETECTION_RUNTIMEMODEL_H
#define TEASELHITCH_DETECTION_RUNTIMEMODEL_H

/// \file
/// How long requests of one kind usually run. Pure.

#include "teaselhitch/Support/Clock.h"

namespace teaselhitch {

/// A log-normal distribution of run times, learned from completed requests.
/// Recent ones count more.
class RunTimeModel {
public:
  /// \param Expected the median before anything was learned.
  explicit RunTimeModel(Duration Expected);

  /// A request was answered after this time.
  void record(Duration RunTime);

  /// Probability that a request runs longer than \p Elapsed.
  double survival(Duration Elapsed) const;

  /// The time that this share of the requests does not exceed. \param Share
  /// above 0 and below 1.
  Duration quantile(double Share) const;

  /// The mean.
  Duration mean() const;

  /// True if the figures rest on requests more than on the expectation.
  bool isLearned() const;

private:
  double deviation() const;

  double LogMean;
  double LogVariance;
  /// Requests that the figures rest on; bounded, so that old ones fade.
  double Weight;
};

} // namespace teaselhitch

#endif

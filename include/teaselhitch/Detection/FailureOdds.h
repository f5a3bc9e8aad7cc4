#ifndef TEASELHITCH_DETECTION_FAILUREODDS_H
#define TEASELHITCH_DETECTION_FAILUREODDS_H

/// \file
/// Estimate of the probability that a backend server is currently failing.
/// Performs no I/O and reads no clock.
///
/// The detectors decide on ejections and need several failures to do so. This
/// estimate reacts within one request because it also counts requests that have
/// been running for longer than most requests do.

#include "teaselhitch/Detection/RunTimeModel.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Clock.h"

#include <map>

namespace teaselhitch {

/// The estimate for one backend server.
///
/// Compares two hypotheses: the backend server is healthy, or it fails most of
/// its requests (with an error, or by never answering). Evidence loses weight
/// with age, so that the estimate returns to the prior when there are no
/// requests.
class FailureOdds {
public:
  FailureOdds();

  /// An attempt was sent to the backend server.
  /// \param Model must outlive the attempt.
  void started(const AttemptId &Attempt, const RunTimeModel &Model, Time Now);
  /// The backend server is processing the attempt: it has sent a request of its
  /// own on behalf of the attempt. A later delay or error of the attempt no
  /// longer indicates that this backend server is failing.
  void progressed(const AttemptId &Attempt, const ServiceBaseline &Peers,
                  Time Now);
  bool hasProgressed(const AttemptId &Attempt) const;
  /// The attempt succeeded.
  /// \param Peers statistics of the service. If many requests fail at all
  /// backend servers, a failure is weak evidence against one of them.
  void succeeded(const AttemptId &Attempt, const ServiceBaseline &Peers,
                 Time Now);
  /// The attempt failed.
  void failed(const AttemptId &Attempt, const ServiceBaseline &Peers, Time Now);
  /// The attempt ended without providing evidence, for example because the
  /// caller cancelled.
  void ended(const AttemptId &Attempt, Time Now);
  /// The attempt was cancelled while it was overdue. The evidence that it
  /// provided as a running attempt becomes part of the stored estimate.
  void abandoned(const AttemptId &Attempt, Time Now);

  /// Probability that the backend server is failing, 0 to 1.
  double probability(Time Now) const;

  /// Discards the evidence, for example after a restart of the backend server.
  void reset(Time Now);

private:
  struct RunningAttempt {
    Time Since;
    const RunTimeModel *Model = nullptr;
    /// The attempt has already been counted as evidence that the backend server
    /// is healthy.
    bool HasProgressed = false;
  };

  double decayedEstimate(Time Now) const;
  static double overdueEvidence(const RunningAttempt &R, Time Now);
  /// Removes an attempt and adds the evidence of its result.
  void endAttempt(const AttemptId &Attempt, double Evidence, Time Now);
  void addEvidence(const RunningAttempt &R, double Evidence, Time Now);

  std::map<AttemptId, RunningAttempt> Attempts;
  /// Probability that the backend server is failing, from ended attempts and
  /// from the progress of running ones, as of UpdatedAt.
  double Estimate;
  Time UpdatedAt;
};

} // namespace teaselhitch

#endif

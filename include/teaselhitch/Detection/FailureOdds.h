#ifndef TEASELHITCH_DETECTION_FAILUREODDS_H
#define TEASELHITCH_DETECTION_FAILUREODDS_H

/// \file
/// How probable it is that a backend server is failing right now. Pure.
///
/// The detectors decide on ejections, for which they need several failures.
/// This estimate reacts within one request: it also counts requests that are
/// still running although most would have ended.

#include "teaselhitch/Detection/RunTimeModel.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Clock.h"

#include <map>

namespace teaselhitch {

/// The estimate for one backend server.
///
/// It weighs two hypotheses: the backend server is sound, or it fails most of
/// its requests (with an error, or by never answering). What was seen counts
/// less with time, so that without requests the estimate returns to what is
/// usual.
class FailureOdds {
public:
  FailureOdds();

  /// An attempt was sent to the backend server. \param Model must outlive the
  /// attempt.
  void started(const AttemptId &Attempt, const RunTimeModel &Model, Time Now);
  /// The backend server is at work on it: it has made a request of its own for
  /// it. Whatever comes later is not the silence of a failing backend server.
  void progressed(const AttemptId &Attempt, const ServiceBaseline &Peers,
                  Time Now);
  bool hasProgressed(const AttemptId &Attempt) const;
  /// It was answered as requested. \param Peers how the service does; where
  /// many requests fail everywhere, a failure says little of one backend
  /// server.
  void succeeded(const AttemptId &Attempt, const ServiceBaseline &Peers,
                 Time Now);
  /// It failed.
  void failed(const AttemptId &Attempt, const ServiceBaseline &Peers, Time Now);
  /// It ended without telling anything, for example because the caller left.
  void ended(const AttemptId &Attempt, Time Now);
  /// It was cancelled while it was overdue: as much evidence as it was until
  /// then, kept for later.
  void abandoned(const AttemptId &Attempt, Time Now);

  /// 0 to 1.
  double probability(Time Now) const;

  /// Forgets the evidence, for example after a restart of the backend server.
  void reset(Time Now);

private:
  struct Running {
    Time Since;
    const RunTimeModel *Model = nullptr;
    /// Its soundness is counted already.
    bool HasProgressed = false;
  };

  double history(Time Now) const;
  static double overdueEvidence(const Running &R, Time Now);
  /// Takes an attempt out and adds what its end tells.
  void end(const AttemptId &Attempt, double Evidence, Time Now);
  void add(const Running &R, double Evidence, Time Now);

  std::map<AttemptId, Running> Attempts;
  /// Probability of failing from attempts that ended, as of UpdatedAt.
  double Estimate;
  Time UpdatedAt;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_GUARD_ADMISSIONQUEUE_H
#define TEASELHITCH_LIB_GUARD_ADMISSIONQUEUE_H

#include "teaselhitch/Model/Messages.h"

#include <map>
#include <set>
#include <vector>

namespace teaselhitch {

/// An attempt that waits for a slot. Paid work goes first, then the lowest
/// priority number, then the one that has to start first, then the earliest
/// deadline, then the earliest arrival.
struct QueuedAttempt {
  AttemptId Attempt;
  bool Paid = false;
  std::uint32_t Priority = 0;
  /// Time at which the attempt has to start to meet its latency objective.
  Time LatestStart;
  Time Deadline;
  /// Order of arrival.
  std::uint64_t Order = 0;

  bool operator<(const QueuedAttempt &Other) const;
};

/// The attempts that wait for a slot of one service, with one sub-queue for
/// each organisation. FairShares decides which attempts are admitted and which
/// sub-queue is served next.
class AdmissionQueue {
public:
  using SubQueue = std::set<QueuedAttempt>;

  void insert(const OrganisationName &Organisation, QueuedAttempt Entry);
  void erase(const OrganisationName &Organisation, const QueuedAttempt &Entry);

  std::size_t size() const { return Size; }
  std::size_t size(const OrganisationName &Organisation) const;

  /// The sub-queues that are not empty.
  const std::map<OrganisationName, SubQueue> &subQueues() const {
    return SubQueues;
  }

  /// Attempts whose deadline has passed.
  std::vector<AttemptId> expired(Time Now) const;

  /// All attempts, grouped by organisation and in queue order.
  std::vector<AttemptId> all() const;

private:
  std::map<OrganisationName, SubQueue> SubQueues;
  std::size_t Size = 0;
};

} // namespace teaselhitch

#endif

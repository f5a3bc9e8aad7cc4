#ifndef TEASELHITCH_LIB_GUARD_ADMISSIONQUEUE_H
#define TEASELHITCH_LIB_GUARD_ADMISSIONQUEUE_H

#include "teaselhitch/Model/Messages.h"

#include <map>
#include <set>
#include <vector>

namespace teaselhitch {

/// An attempt that waits for a slot. Paid work goes first, then the least
/// priority number, then the earliest objective, then the earliest deadline,
/// then the earliest arrival.
struct QueuedAttempt {
  AttemptId Attempt;
  bool Paid = false;
  std::uint32_t Priority = 0;
  /// When the answer stops being worth its full value.
  Time Objective;
  Time Deadline;
  /// Order of arrival.
  std::uint64_t Order = 0;

  bool operator<(const QueuedAttempt &Other) const;
};

/// The attempts that wait for a slot of one service, by organisation. Who may
/// enter and who leaves next is decided by FairShares.
class AdmissionQueue {
public:
  using Line = std::set<QueuedAttempt>;

  void insert(const OrganisationName &Organisation, QueuedAttempt Entry);
  void erase(const OrganisationName &Organisation, const QueuedAttempt &Entry);

  std::size_t size() const { return Size; }
  std::size_t size(const OrganisationName &Organisation) const;

  /// The lines that are not empty.
  const std::map<OrganisationName, Line> &lines() const { return Lines; }

  /// Attempts whose deadline has come.
  std::vector<AttemptId> expired(Time Now) const;

  /// All attempts, by organisation and in order.
  std::vector<AttemptId> all() const;

private:
  std::map<OrganisationName, Line> Lines;
  std::size_t Size = 0;
};

} // namespace teaselhitch

#endif

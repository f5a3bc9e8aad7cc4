#ifndef TEASELHITCH_LIB_ENTRY_REQUESTTABLE_H
#define TEASELHITCH_LIB_ENTRY_REQUESTTABLE_H

/// \file
/// The requests in progress at one entry, indexed by id and by deadline.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Routing/RuleTable.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselhitch {

/// Number of guards at which a request may be queued at the same time. The
/// first free slot takes the request; more guards gain little and cost
/// messages.
inline constexpr std::uint32_t ParallelOffers = 3;

/// An attempt that has not ended.
struct RunningAttempt {
  AttemptId Id;
  BackendServerId Server;
  bool IsTrial = false;
  /// The guard must refuse the attempt unless a slot is free.
  bool IsStrict = false;
  /// The request was sent to the guard. Before that, nothing can have run.
  bool IsSent = false;
  /// Time when the attempt was offered or, once it was sent, when it was sent.
  Time PhaseStart;
};

/// A request that has not ended.
struct PendingRequest {
  RequestId Id;
  /// Keeps the objects alive that Target points to.
  std::shared_ptr<const RuleTable> Rules;
  Route Target;
  /// The organisation to which the request is accounted, or empty.
  OrganisationName Organisation;
  /// Digest of the key that permits the request; empty if it needs none.
  std::string CredentialDigest;
  Time ArrivedAt;
  Time Deadline;
  /// Time within which the answer has its full value.
  Duration Objective;
  std::string CallerId;
  /// Priority in queues; 0 goes first.
  std::uint32_t Priority = 0;
  std::uint64_t Fingerprint = 0;
  std::uint64_t BodyBytes = 0;
  /// A guard-bound key, or empty.
  std::string GuardKey;
  /// Row key of the claim of a caller-supplied key, or empty.
  std::string ClaimRow;
  /// The request has not started, because it waits for a credit.
  bool WaitsForCredit = false;
  /// The request is within the rate of its organisation.
  bool HasCredit = false;
  /// Until when the credit can be given back; the time origin if there is none.
  Time CreditExpires;
  /// Time when the claim was started.
  Time ClaimedAt;
  /// The table may contain a claim of this request.
  bool ClaimSent = false;

  /// Number of attempts so far; also the number of the newest one.
  std::uint32_t Dispatches = 0;
  /// Backend servers that the request reached or may have reached.
  std::vector<BackendServerId> Tried;
  /// Backend servers that are not asked again in this round of offers. Their
  /// guards refused the request or already have an offer.
  std::vector<BackendServerId> Declined;
  /// Guards may queue the request, because no backend server that looks healthy
  /// has a free slot.
  bool IsQueueable = false;
  /// Offers in this round: strict ones, which guards must refuse unless a slot
  /// is free, and queueable ones, which guards may queue.
  std::uint32_t StrictOffers = 0;
  std::uint32_t QueueableOffers = 0;
  /// Guards of near failure domains refused strict offers, so the next one goes
  /// to a remote domain, if there is one.
  bool SearchesRemote = false;
  /// The request was hedged; its guards may have refused the hedge.
  bool IsHedged = false;
  std::vector<RunningAttempt> Running;
  /// The request repeats a sub-request of an earlier run of its parent.
  bool IsRepeat = false;
  /// An attempt ended with an unknown outcome.
  bool MayHaveRun = false;
  std::optional<Reason> LastFailure;

  bool hasTried(const BackendServerId &Server) const;
  bool hasDeclined(const BackendServerId &Server) const;
  /// Returns null if the attempt has ended.
  RunningAttempt *findRunning(const AttemptId &Id);
  /// Returns true if the request was sent to a guard and may run.
  bool isSent() const;
  /// Starts a new round of offers, in which all guards may be asked again.
  void resetOffers();
  /// Returns true if the next attempt may be followed by another one, whatever
  /// its outcome.
  bool hasSpareAttempt() const;
  void removeRunning(const AttemptId &Id);
};

class RequestTable {
public:
  PendingRequest &add(const RequestId &Id, PendingRequest Request);
  /// Returns null if the request has ended.
  PendingRequest *find(const RequestId &Id);
  void remove(const RequestId &Id);

  /// Returns the requests whose deadline has passed and removes them from the
  /// deadline index. They stay in the table.
  std::vector<RequestId> takeExpired(Time Now);

  /// Calls \p Visit with each request. Visit must not add or remove requests.
  template <typename VisitorT> void forEach(VisitorT &&Visit) {
    for (auto &[Sequence, Request] : BySequence)
      Visit(Request);
  }

  std::size_t size() const { return BySequence.size(); }
  bool isEmpty() const { return BySequence.empty(); }

private:
  std::unordered_map<std::uint64_t, PendingRequest> BySequence;
  std::multimap<Time, std::uint64_t> ByDeadline;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_ENTRY_REQUESTTABLE_H
#define TEASELHITCH_LIB_ENTRY_REQUESTTABLE_H

/// \file
/// The requests in progress at one entry, by id and by deadline.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Routing/RuleTable.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace teaselhitch {

/// An attempt whose end is open.
struct RunningAttempt {
  AttemptId Id;
  BackendServerId Server;
  bool IsTrial = false;
  /// The guard was asked to refuse it unless a slot is free.
  bool IsStrict = false;
  /// The request was sent; until then nothing can have run.
  bool IsSent = false;
  /// When it was offered, then when it was sent.
  Time Since;
};

/// A request whose outcome is open.
struct PendingRequest {
  RequestId Id;
  /// Keeps the objects that Target points to.
  std::shared_ptr<const RuleTable> Rules;
  Route Target;
  OrganisationName Organisation;
  Time ArrivedAt;
  Time Deadline;
  /// Time within which the answer is worth its full value.
  Duration Objective;
  std::string CallerId;
  /// Rank in queues; 0 goes first.
  std::uint32_t Priority = 0;
  std::uint64_t Fingerprint = 0;
  /// A guard-bound key, or empty.
  std::string GuardKey;
  /// Row of a caller-supplied key in the table of claims, or empty.
  std::string ClaimRow;
  /// Start of the claim.
  Time ClaimedAt;
  /// A claim of this request may be in the table.
  bool ClaimSent = false;

  /// Dispatches to guards so far; numbers the attempts.
  std::uint32_t Dispatches = 0;
  /// Backend servers that it reached or may have reached.
  std::vector<BackendServerId> Tried;
  /// Backend servers whose guards refused it in this pass.
  std::vector<BackendServerId> Declined;
  /// Guards may queue it: no backend server that looks sound has a free slot.
  bool Lenient = false;
  /// Offers in this pass, to guards that had to refuse unless a slot was free
  /// and to those that may queue it.
  std::uint32_t StrictOffers = 0;
  std::uint32_t LenientOffers = 0;
  /// The attempt was hedged, or could not be.
  bool IsHedged = false;
  std::vector<RunningAttempt> Running;
  /// An attempt ended as unknown.
  bool MayHaveRun = false;
  std::optional<Reason> LastFailure;

  bool hasTried(const BackendServerId &Server) const;
  bool hasDeclined(const BackendServerId &Server) const;
  /// Null if the attempt has ended.
  RunningAttempt *running(const AttemptId &Id);
  /// True if the request is at a guard and may run.
  bool isSent() const;
  /// Forgets which guards refused it; they are asked anew.
  void startPass();
  /// True if another attempt may follow the next one, whatever comes of it.
  bool hasSpareAttempt() const;
  void removeRunning(const AttemptId &Id);
};

class RequestTable {
public:
  PendingRequest &add(const RequestId &Id, PendingRequest Request);
  /// Null if the request has ended.
  PendingRequest *find(const RequestId &Id);
  void remove(const RequestId &Id);

  /// Takes the requests whose deadline has passed out of the order of
  /// deadlines; they stay in the table.
  std::vector<RequestId> takeExpired(Time Now);

  /// Calls Visit with each request; it must not add or remove any.
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

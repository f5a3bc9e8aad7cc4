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

/// A request whose outcome is open.
struct PendingRequest {
  RequestId Id;
  /// Keeps the objects that Target points to.
  std::shared_ptr<const RuleTable> Rules;
  Route Target;
  OrganisationName Organisation;
  Time Deadline;
  std::uint64_t Fingerprint = 0;
  /// A guard-bound key, or empty.
  std::string GuardKey;
  /// Row of a caller-supplied key in the table of claims, or empty.
  std::string ClaimRow;
  /// Start of the claim.
  Time ClaimedAt;
  /// A claim of this request may be in the table.
  bool ClaimSent = false;

  std::uint32_t Attempts = 0;
  std::vector<BackendServerId> Tried;
  /// The attempt whose end is open, if InFlight.
  AttemptId Attempt;
  BackendServerId Server;
  bool InFlight = false;
  bool IsTrial = false;
  /// An attempt ended as unknown.
  bool MayHaveRun = false;
  std::optional<Reason> LastFailure;

  bool hasTried(const BackendServerId &Server) const;
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

  std::size_t size() const { return BySequence.size(); }
  bool isEmpty() const { return BySequence.empty(); }

private:
  std::unordered_map<std::uint64_t, PendingRequest> BySequence;
  std::multimap<Time, std::uint64_t> ByDeadline;
};

} // namespace teaselhitch

#endif

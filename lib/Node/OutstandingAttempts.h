#ifndef TEASELHITCH_LIB_NODE_OUTSTANDINGATTEMPTS_H
#define TEASELHITCH_LIB_NODE_OUTSTANDINGATTEMPTS_H

/// \file
/// Tracks the attempts and key requests that were sent to guards of other nodes
/// and have not been answered yet.

#include "teaselhitch/Model/Messages.h"

#include <map>
#include <set>
#include <vector>

namespace teaselhitch {

class OutstandingAttempts {
public:
  void recordSent(const NodeName &Guard, const GuardMessage &Message);
  void recordAnswer(const NodeName &Guard, const EntryMessage &Message);

  /// Handles the loss of the link to Guard. Returns the failures to report to
  /// the entry. The outcome of a dispatched attempt is unknown, or not run if
  /// the link was never open. An attempt that was only offered has not run.
  std::vector<EntryMessage> takeLost(const NodeName &Guard, bool WasOpen);

private:
  struct GuardState {
    /// Attempts without a dispatched request. They do not run before the guard
    /// grants a slot and the request is sent.
    std::set<AttemptId> Offers;
    /// Attempts whose request was dispatched.
    std::set<AttemptId> Attempts;
    /// Tokens of key requests.
    std::set<std::uint64_t> KeyRequests;
  };
  std::map<NodeName, GuardState> GuardStates;
};

/// Returns the failure of an attempt that was not sent to a backend server,
/// with the outcome NotRun.
AttemptFailed makeNotRunFailure(const AttemptId &Attempt, Reason Cause);

} // namespace teaselhitch

#endif

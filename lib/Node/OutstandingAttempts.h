#ifndef TEASELHITCH_LIB_NODE_OUTSTANDINGATTEMPTS_H
#define TEASELHITCH_LIB_NODE_OUTSTANDINGATTEMPTS_H

/// \file
/// The attempts and key requests that were sent to guards of other nodes and
/// are not answered yet.

#include "teaselhitch/Model/Messages.h"

#include <map>
#include <set>
#include <vector>

namespace teaselhitch {

class OutstandingAttempts {
public:
  void sent(const NodeName &Guard, const GuardMessage &Message);
  void answered(const NodeName &Guard, const EntryMessage &Message);

  /// The link to Guard closed: what its entries have to be told. Attempts are
  /// unknown, or proved not run if the link was never open.
  std::vector<EntryMessage> lost(const NodeName &Guard, bool WasOpen);

private:
  struct Sent {
    /// Nothing runs before they are granted and the request is sent.
    std::set<AttemptId> Offers;
    std::set<AttemptId> Attempts;
    std::set<std::uint64_t> Mints;
  };
  std::map<NodeName, Sent> ByGuard;
};

/// The failure of an attempt that never left this node.
AttemptFailed notSent(const AttemptId &Attempt, Reason Why);

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_INTEGRATION_NODEDIRECTORY_H
#define TEASELHITCH_INTEGRATION_NODEDIRECTORY_H

/// \file
/// Where nodes that start find others. Membership finds out who is alive; the
/// directory only names first contacts.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Result.h"

#include <vector>

namespace teaselhitch {

/// Blocks; used by the platform thread. Each node writes its own entry only.
class NodeDirectory {
public:
  virtual ~NodeDirectory() = default;

  /// Enters the own address. Unavailable and Timeout if that is not certain.
  virtual Result<void> enter(const NodeRecord &Self) = 0;
  /// Addresses of all entered nodes, the own one included.
  virtual Result<std::vector<Endpoint>> read() = 0;
  /// Removes the own entry.
  virtual Result<void> remove(const NodeRecord &Self) = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_INTEGRATION_NODEDIRECTORY_H
#define TEASELHITCH_INTEGRATION_NODEDIRECTORY_H

/// \file
/// Interface to a directory in which a starting node discovers its seed nodes.
/// The directory only supplies the first contacts; the membership protocol
/// determines which nodes are alive.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Result.h"

#include <vector>

namespace teaselhitch {

/// Calls block; used on the platform thread. A node writes only its own entry.
class NodeDirectory {
public:
  virtual ~NodeDirectory() = default;

  /// See TableStore::incarnation(). After a change the entry of this node may
  /// be lost and must be registered again.
  virtual std::uint64_t incarnation() const { return 0; }
  /// Makes a small call that brings incarnation() up to date. Does nothing if
  /// the directory cannot be restored from an older copy.
  virtual Result<void> probe(const NodeRecord & /*Self*/) { return {}; }

  /// Registers the address of this node. Fails with Unavailable or Timeout if
  /// it is not certain that the entry was written.
  virtual Result<void> registerNode(const NodeRecord &Self) = 0;
  /// Returns the addresses of all registered nodes, including this one.
  virtual Result<std::vector<Endpoint>> read() = 0;
  /// Removes the entry of this node.
  virtual Result<void> remove(const NodeRecord &Self) = 0;
};

} // namespace teaselhitch

#endif

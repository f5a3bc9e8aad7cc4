#ifndef TEASELHITCH_NODE_NODE_H
#define TEASELHITCH_NODE_NODE_H

/// \file
/// A whole node: its threads and their rings.

#include "teaselhitch/Settings/NodeSettings.h"
#include "teaselhitch/Support/Result.h"

#include <memory>

namespace teaselhitch {

class Node {
public:
  /// Binds all addresses. Unavailable names the one that cannot be bound;
  /// NotFound an unknown plug-in.
  static Result<std::unique_ptr<Node>> create(const NodeSettings &Settings);
  virtual ~Node() = default;

  /// Runs until SIGTERM or SIGINT, then shuts down gracefully within the drain
  /// timeout. True if all requests in progress finished.
  virtual bool run() = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_NODE_NODE_H
#define TEASELHITCH_NODE_NODE_H

/// \file
/// A whole node: its threads and their rings.

#include "teaselhitch/Settings/NodeSettings.h"
#include "teaselhitch/Support/Result.h"

#include <memory>
#include <optional>

namespace teaselhitch {

/// Where a running node finds its settings again.
class SettingsSource {
public:
  virtual ~SettingsSource() = default;

  /// The settings, if they differ from what this call returned last and from
  /// what the node started with. InvalidInput names the first fault; the node
  /// then keeps what it has.
  virtual Result<std::optional<NodeSettings>> changed() = 0;
};

class Node {
public:
  /// Binds all addresses. Unavailable names the one that cannot be bound;
  /// NotFound an unknown plug-in.
  ///
  /// \param Source asked about each second and at SIGHUP; may be null.
  static Result<std::unique_ptr<Node>>
  create(const NodeSettings &Settings,
         std::unique_ptr<SettingsSource> Source = nullptr);
  virtual ~Node() = default;

  /// Runs until SIGTERM or SIGINT, then shuts down gracefully within the drain
  /// timeout. True if all requests in progress finished.
  virtual bool run() = 0;
};

} // namespace teaselhitch

#endif

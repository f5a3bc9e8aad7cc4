#ifndef TEASELHITCH_NODE_NODE_H
#define TEASELHITCH_NODE_NODE_H

/// \file
/// A node of the fleet: its threads and the channels between them.

#include "teaselhitch/Settings/NodeSettings.h"
#include "teaselhitch/Support/Result.h"

#include <functional>
#include <memory>
#include <optional>

namespace teaselhitch {

/// Source from which a running node reloads its settings.
class SettingsSource {
public:
  virtual ~SettingsSource() = default;

  /// Returns the settings if they differ from the ones that the last call
  /// returned and from the ones that the node started with, else nullopt. Fails
  /// with InvalidInput that names the first invalid setting; the node then
  /// keeps its current settings.
  virtual Result<std::optional<NodeSettings>> pollChanges() = 0;
};

/// A node process: accepts requests of callers, guards the local backend
/// servers and exchanges state with the other nodes.
class Node {
public:
  /// Creates a node and binds all its addresses. Fails with Unavailable that
  /// names the address that cannot be bound, or with NotFound for an unknown
  /// plug-in.
  ///
  /// \param Source checked once a second and on SIGHUP; may be null.
  static Result<std::unique_ptr<Node>>
  create(const NodeSettings &Settings,
         std::unique_ptr<SettingsSource> Source = nullptr);
  virtual ~Node() = default;

  /// Runs until SIGTERM or SIGINT, then shuts down gracefully within the drain
  /// timeout. Returns true if all requests in progress finished.
  virtual bool run() = 0;

  /// Sets a function that run() calls when the drain has ended, with the value
  /// that it will return, and before it waits for the threads. A thread may
  /// still wait for an answer of the platform then.
  virtual void onEnd(std::function<void(bool)> Function) = 0;
};

} // namespace teaselhitch

#endif

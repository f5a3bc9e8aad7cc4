#ifndef TEASELHITCH_LIB_NODE_OPERATORSTHREAD_H
#define TEASELHITCH_LIB_NODE_OPERATORSTHREAD_H

/// \file
/// The thread that serves the HTTP endpoints for operators: health, metrics,
/// status and audit.

#include "EventLoopThread.h"
#include "SharedState.h"
#include "teaselhitch/Net/HttpServer.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <atomic>
#include <memory>

namespace teaselhitch {

class OperatorsThread final : public EventLoopThread {
public:
  static Result<std::unique_ptr<OperatorsThread>>
  create(const NodeSettings &Settings, std::uint64_t Incarnation,
         SharedState &Shared);

  /// Reports the node as not ready, because it is shutting down.
  void drain() { IsDraining = true; }

private:
  OperatorsThread(const NodeSettings &Settings, std::uint64_t Incarnation,
                  SharedState &Shared)
      : Settings(Settings), Incarnation(Incarnation), Shared(Shared) {}

  HttpAnswer handle(const HttpRequest &Request);
  HttpAnswer readiness() const;
  /// Returns true once the records of the backend servers of other nodes should
  /// have arrived.
  bool hasView() const;
  /// Records the time at which the first other node becomes known.
  void checkPeers();
  HttpAnswer status() const;
  HttpAnswer audit(const std::string &Target) const;
  HttpAnswer metrics() const;

  NodeSettings Settings;
  std::uint64_t Incarnation;
  SharedState &Shared;
  std::atomic<bool> IsDraining{false};
  Time StartedAt = now();
  bool HasPeers = false;
  Time PeersFoundAt;
  std::unique_ptr<HttpServer> Server;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_NODE_OPERATORSDUTY_H
#define TEASELHITCH_LIB_NODE_OPERATORSDUTY_H

/// \file
/// The thread that serves operators: health, metrics, status and audit.

#include "Channels.h"
#include "Duty.h"
#include "teaselhitch/Net/HttpServer.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <atomic>
#include <memory>

namespace teaselhitch {

class OperatorsDuty final : public Duty {
public:
  static Result<std::unique_ptr<OperatorsDuty>>
  create(const NodeSettings &Settings, std::uint64_t Incarnation,
         Channels &Rings);

  /// The node shuts down: it is no longer ready.
  void drain() { Draining = true; }

private:
  OperatorsDuty(const NodeSettings &Settings, std::uint64_t Incarnation,
                Channels &Rings)
      : Settings(Settings), Incarnation(Incarnation), Rings(Rings) {}

  HttpAnswer handle(const HttpRequest &Request);
  HttpAnswer readiness() const;
  /// The backend servers of other nodes should be known by now.
  bool hasView() const;
  void notePeers();
  HttpAnswer status() const;
  HttpAnswer audit(const std::string &Target) const;
  HttpAnswer metrics() const;

  NodeSettings Settings;
  std::uint64_t Incarnation;
  Channels &Rings;
  std::atomic<bool> Draining{false};
  Time StartedAt = now();
  bool HasPeers = false;
  Time HadPeersAt;
  std::unique_ptr<HttpServer> Server;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_NODE_BACKENDSDUTY_H
#define TEASELHITCH_LIB_NODE_BACKENDSDUTY_H

/// \file
/// The thread that serves the backend servers of the instance: announcement
/// listener, guard, detection, and connections to backend servers.

#include "Channels.h"
#include "Duty.h"
#include "teaselhitch/Detection/GrayFailureControl.h"
#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Integration/PlatformAdapter.h"
#include "teaselhitch/Net/BackendClient.h"
#include "teaselhitch/Net/HttpServer.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace teaselhitch {

class BackendsDuty final : public Duty {
public:
  static Result<std::unique_ptr<BackendsDuty>>
  create(const NodeSettings &Settings, const PlatformAdapter &Platform,
         std::uint64_t Incarnation, Channels &Rings);

  /// Refuses new attempts and lets running ones finish.
  void drain();
  /// True when no attempt waits or runs. Safe to call from any thread.
  bool isIdle() const { return Idle; }

private:
  BackendsDuty(const NodeSettings &Settings, Channels &Rings);

  /// An attempt between its dispatch and its answer.
  struct Running {
    /// Link of the entry; nothing if the entry is of this node.
    std::optional<LinkId> Origin;
    ServiceName Service;
    bool Idempotent = false;
    OrganisationName Organisation;
    /// Empty until a slot is granted.
    BackendServerName Server;
    Endpoint Address;
    Time GrantedAt;
    /// Empty until it is sent, or if the caller gave none.
    std::string CallerId;
    RuleName Rule;
    std::uint32_t Priority = 0;
    /// The request came and was sent to the backend server.
    bool IsSent = false;
    /// The entry has its answer or is gone.
    bool IsSettled = false;
    /// Aborted because its deadline passed.
    bool IsOverdue = false;
  };

  void handleAnnouncement(const std::shared_ptr<HttpExchange> &Exchange);
  void receive(std::optional<LinkId> Origin, GuardMessage Message);
  void receive(std::optional<LinkId> Origin, Offer &Message);
  void receive(std::optional<LinkId> Origin, Dispatch &Message);
  void receive(const Cancel &Message);
  void receive(PeersToBackends Message);
  /// Releases slots whose requests did not come in time.
  void expireGrants();
  void withdraw(const AttemptId &Attempt);
  void receive(const SubRequestSeen &Message);
  void receive(const SubRequestEnded &Message);
  /// Lets the entry of this node know whose sub-requests may come.
  void announceRun(const Running &R, bool IsRunning);
  void entryLost(LinkId Link);
  void run(const GuardActions &Actions);
  void perform(const StartAttempt &Action);
  void perform(const AbortAttempt &Action);
  void perform(const AttemptFailed &Action);
  void perform(const AttemptOverdue &Action);
  void perform(const PublishRecord &Action);
  void perform(const Quarantine &Action);
  void perform(const CrashMark &Action);
  void run(const ControlActions &Actions);
  void perform(const SetHealth &Action);
  void perform(const TableRequest &Action);
  void sample(const AttemptId &Attempt, const Running &R,
              const RunResult &Result);
  /// True if the detectors watch the service.
  bool isMonitored(const ServiceName &Service) const {
    return Unmonitored.count(Service) == 0;
  }
  Result<GuardActions> accept(const Announcement &A);
  Result<GuardActions> accept(const Departure &D);
  void onDone(const AttemptId &Attempt, const RunResult &Result,
              HttpAnswer Answer);
  void reply(std::optional<LinkId> Origin, EntryMessage Message);
  void refresh();
  void publishStatus();

  NodeSettings Settings;
  Channels &Rings;
  std::unique_ptr<BackendProtocol> Protocol;
  std::unique_ptr<Guard> Core;
  std::unique_ptr<GrayFailureControl> Control;
  std::map<AttemptId, Running> Attempts;
  /// Services whose backend servers are never ejected.
  std::set<ServiceName> Unmonitored;
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ViewGeneration = 0;
  std::shared_ptr<const FleetView> View;
  std::atomic<bool> Idle{true};
  std::unique_ptr<BackendClient> Client;
  std::unique_ptr<HttpServer> Server;
};

} // namespace teaselhitch

#endif

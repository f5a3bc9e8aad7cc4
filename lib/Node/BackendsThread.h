#ifndef TEASELHITCH_LIB_NODE_BACKENDSTHREAD_H
#define TEASELHITCH_LIB_NODE_BACKENDSTHREAD_H

/// \file
/// The thread that serves the backend servers of the instance: it accepts their
/// announcements, runs the guard and the failure detection, and holds the
/// connections to the backend servers.

#include "EventLoopThread.h"
#include "SharedState.h"
#include "SlotGrant.h"
#include "teaselhitch/Detection/GrayFailureControl.h"
#include "teaselhitch/Guard/DepartureRecords.h"
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

class BackendsThread final : public EventLoopThread {
public:
  static Result<std::unique_ptr<BackendsThread>>
  create(const NodeSettings &Settings, const PlatformAdapter &Platform,
         std::uint64_t Incarnation, SharedState &Shared);

  /// Starts to refuse new attempts; running attempts finish.
  void drain();
  /// Returns true if no attempt is queued or running. Safe to call from any
  /// thread.
  bool isIdle() const { return Idle; }
  /// Returns true if all departures of backend servers are recorded outside of
  /// the process. Safe to call from any thread.
  bool hasRecordedDepartures() const { return HasRecords; }

private:
  BackendsThread(const NodeSettings &Settings, SharedState &Shared);

  /// An attempt between its offer and its end.
  struct ActiveAttempt {
    /// Link to the entry; nullopt if the entry is on this node.
    std::optional<LinkId> EntryLink;
    ServiceName Service;
    bool Idempotent = false;
    OrganisationName Organisation;
    /// Empty until a slot is granted.
    BackendServerName Server;
    Endpoint Address;
    SlotGrant Slot;
    /// Request id that the caller supplied. Empty until the request is sent, or
    /// if the caller supplied none.
    std::string CallerId;
    RuleName Rule;
    std::uint32_t Priority = 0;
    /// Bytes for which memory is reserved when the attempt is granted; 0 if the
    /// body is already on this node or is not large.
    std::uint64_t BytesToReserve = 0;
    /// See DispatchInfo::IsRepeat.
    bool IsRepeat = false;
    /// The request arrived from the entry and was sent to the backend server.
    bool IsSent = false;
    /// The entry expects no more messages: it was answered, cancelled the
    /// attempt or lost its link.
    bool IsSettled = false;
    /// The attempt was aborted because its deadline passed.
    bool IsOverdue = false;
  };

  /// Tells the guard if the process was paused since the last tick.
  void detectPause();
  void handleAnnouncement(const std::shared_ptr<HttpExchange> &Exchange);
  void receive(std::optional<LinkId> EntryLink, GuardMessage Message);
  void receive(std::optional<LinkId> EntryLink, Offer &Message);
  void receive(std::optional<LinkId> EntryLink, Dispatch &Message);
  void receive(const Cancel &Message);
  void receive(PeersToBackendsMessage Message);
  /// Reserves memory for the body of an attempt that gets a slot. Returns false
  /// if the body does not fit.
  bool reserveBody(const AttemptId &Attempt, const ActiveAttempt &R);
  /// Refuses an attempt that has a slot but for whose body there is no memory.
  void refuseForMemory(const AttemptId &Attempt, ActiveAttempt &R);
  /// Publishes how much memory is held.
  void publishMemory();
  /// Releases the slots of grants whose requests did not arrive in time.
  void expireGrants();
  /// Ends an attempt that was granted a slot but whose request was not sent to
  /// the backend server.
  void withdraw(const AttemptId &Attempt);
  void receive(const SubRequestSeen &Message);
  void receive(const SubRequestEnded &Message);
  /// Tells the callers thread which requests are running, so that it recognizes
  /// their sub-requests.
  void sendRunChange(const ActiveAttempt &R, bool IsRunning);
  void handleEntryLinkClosed(LinkId Link);
  void execute(const GuardActions &Actions);
  void perform(const StartAttempt &Action);
  void perform(const AbortAttempt &Action);
  void perform(const AttemptFailed &Action);
  void perform(const AttemptOverdue &Action);
  void perform(const PublishRecord &Action);
  void perform(const Quarantine &Action);
  void perform(const CrashMark &Action);
  void perform(const KeepDeparture &Action);
  void execute(const ControlActions &Actions);
  void perform(const SetHealth &Action);
  void perform(const TableRequest &Action);
  /// Passes the result of an attempt to the failure detection.
  void recordSample(const AttemptId &Attempt, const ActiveAttempt &R,
                    const RunResult &Result);
  /// Returns true if the failure detection monitors the service.
  bool isMonitored(const ServiceName &Service) const {
    return UnmonitoredServices.count(Service) == 0;
  }
  /// Sends the requests that record departures or read those of earlier
  /// processes, if they are due, and what waited for their results.
  void recordDepartures();
  /// Replies to the departures that are recorded or cannot be.
  void answerDepartures();
  /// Uses the servers that have announced themselves, once the departures of
  /// earlier processes are known.
  void admitServers();
  void restoreDepartures(const std::vector<DepartedServer> &Restored,
                         const char *Source);
  /// Returns the departure that a message says, if it does.
  static std::optional<DepartedServer> departureIn(const Announcement &A);
  static std::optional<DepartedServer> departureIn(const Departure &D);
  void receive(const TableReply &Reply);
  Result<GuardActions> accept(const Announcement &A);
  Result<GuardActions> accept(const Departure &D);
  void handleRunEnd(const AttemptId &Attempt, const RunResult &Result,
                    HttpAnswer Answer);
  void reply(std::optional<LinkId> EntryLink, EntryMessage Message);
  /// Applies a new configuration or fleet view, if one was published.
  void refresh();
  void publishStatus();

  NodeSettings Settings;
  SharedState &Shared;
  /// Number of refused reservations that the metrics contain.
  std::uint64_t PublishedRefusals = 0;
  std::unique_ptr<BackendProtocol> Protocol;
  /// Decides on admission; this thread performs the actions that it returns.
  std::unique_ptr<Guard> Core;
  std::unique_ptr<GrayFailureControl> Control;
  std::map<AttemptId, ActiveAttempt> Attempts;
  DepartureRecords Departures;
  /// Of the last reply of the platform thread.
  std::uint64_t StoreIncarnation = 0;
  /// A message about a departure whose reply waits until the departure is
  /// recorded.
  struct WaitingReply {
    std::shared_ptr<HttpExchange> Exchange;
    DepartedServer Server;
    Time ReceivedAt;
  };
  std::vector<WaitingReply> WaitingReplies;
  bool HasAdmitted = false;
  /// Services whose backend servers are never ejected.
  std::set<ServiceName> UnmonitoredServices;
  Time LastTickAt;
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ViewGeneration = 0;
  std::shared_ptr<const FleetView> View;
  std::atomic<bool> Idle{true};
  std::atomic<bool> HasRecords{true};
  std::unique_ptr<BackendClient> Client;
  std::unique_ptr<HttpServer> Server;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_GUARD_SERVERTABLE_H
#define TEASELHITCH_LIB_GUARD_SERVERTABLE_H

#include "teaselhitch/Guard/Guard.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselhitch {

/// A backend server of the instance and the use of its slots.
struct GuardedServer {
  /// As last published, except for Version, which `publish` increments.
  BackendServerRecord Record;
  Endpoint Address;
  /// Incarnation in the latest announcement.
  std::uint64_t Incarnation = 0;
  Time LastHeard;
  /// Sequence number of the latest announcement of the incarnation.
  std::uint64_t Sequence = 0;
  /// The backend server is leaving; only another incarnation may return.
  bool IsDeparting = false;
  /// Ready by its announcement, but published as starting until
  /// ServerTable::admit() is called.
  bool IsHeld = false;
  /// End of the period in which the backend server is slow, as announced.
  std::optional<Time> ColdUntil;
  /// Weight set by failure detection, in percent.
  std::uint32_t HealthWeight = 100;
  /// Start time of the slow start; empty after the slow start and before the
  /// server is ready.
  std::optional<Time> SlowStartAt;
  /// Share of the full load that slow start allows, in percent.
  std::uint32_t SlowStartWeight = 100;
  /// Attempts that hold a slot, including aborted attempts.
  std::uint32_t InProgress = 0;
  bool TrialInProgress = false;
  /// Earliest time of the next trial request while ejected.
  Time NextTrialAt;
  /// After a failed connection, no new work starts before this time.
  Time PausedUntil;

  /// True if the server accepts new work other than trial requests.
  bool isUsable() const { return Record.isCapacity(); }

  /// Slots that may be used at the current weight; at least one.
  std::uint32_t usableSlots() const;

  /// Usable slots that are free.
  std::uint32_t freeSlots(Time Now) const;

  /// True if a trial request may start now.
  bool isTrialDue(Time Now) const;
};

/// The backend servers of the instance and their published records.
class ServerTable {
public:
  explicit ServerTable(const GuardSettings &Settings)
      : Settings(Settings), HoldsServers(Settings.HoldsServers) {}

  /// Changes caused by an accepted announcement.
  struct AnnouncementChange {
    /// True if the server restarted; PreviousState is its state before.
    bool Restarted = false;
    BackendServerState PreviousState = BackendServerState::Gone;
    std::uint64_t PreviousIncarnation = 0;
    ServiceName PreviousService;
    /// True for an announcement that the server is leaving for good.
    bool Departed = false;
  };

  /// Marks servers gone whose address is now used by a server that started
  /// later.
  void setReplacedGone(const Announcement &A);

  /// Processes an announcement. The error InvalidInput names the invalid field;
  /// Exhausted means that the table is full.
  Result<AnnouncementChange> announce(const Announcement &A, Time Now);

  GuardedServer *find(const BackendServerName &Name);

  void setHealth(GuardedServer &Server, BackendServerHealth Health,
                 std::uint32_t Weight, Time Now);

  /// Marks a server gone until its next announcement.
  void setGone(GuardedServer &Server);

  /// Marks a server draining, also one that has not been announced yet. Other
  /// announcements of this incarnation do not undo this. Returns the departure
  /// with the incarnation, if it is known.
  DepartedServer depart(DepartedServer Departed, Time Now);

  /// Ends the hold of ready servers, see GuardSettings::HoldsServers.
  void admit();

  /// Does not count the last \p Pause, in which this process did not run, as
  /// silence of the servers.
  void excludePause(Duration Pause, Time Now);

  /// Advances slow starts, expires silent servers and removes servers that have
  /// been gone for long. Returns the servers that fell silent without draining.
  std::vector<BackendServerName> tick(Time Now);

  /// Appends a PublishRecord for each server whose published properties have
  /// changed since the last call.
  void publish(GuardActions &Out);

  /// Returns a server of the service with a free slot, Preferred if possible,
  /// or null.
  GuardedServer *choose(const ServiceName &Service,
                        const BackendServerName &Preferred, Time Now);

  /// Returns an ejected server of the service that is due for a trial request,
  /// Preferred if possible, or null.
  GuardedServer *chooseForTrial(const ServiceName &Service,
                                const BackendServerName &Preferred, Time Now);

  /// True if a server of the service accepts new work.
  bool isServed(const ServiceName &Service) const;
  /// True if a server of the service announced that it is draining.
  bool isDraining(const ServiceName &Service) const;
  /// Total slots of the servers of the service that accept new work.
  std::uint32_t slots(const ServiceName &Service) const;

  /// Number of servers whose latest announcement arrived within Window.
  std::size_t countHeard(Duration Window, Time Now) const;

  const std::map<BackendServerName, GuardedServer> &servers() const {
    return Servers;
  }

private:
  void beginSlowStart(GuardedServer &Server, Time Now);
  void updateWeight(GuardedServer &Server, Time Now);
  bool isRecentlyStarted(Time Now) const;
  void recordDeparture(const DepartedServer &Departed, Time Now);
  /// Returns true if the announcing process has departed.
  bool hasDeparted(const Announcement &A, Time Now) const;

  const GuardSettings &Settings;
  bool HoldsServers;
  std::map<BackendServerName, GuardedServer> Servers;
  std::map<BackendServerName, BackendServerRecord> LastPublished;
  /// The departures of one backend server, joined as in DepartureSet.
  struct Departure {
    /// The highest departed incarnation.
    std::optional<std::uint64_t> Incarnation;
    /// When a departure became known that named no incarnation, of a server
    /// that was not known.
    std::optional<Time> UnnamedAt;
    /// When the latest departure became known.
    Time KnownSince;
  };
  std::map<BackendServerName, Departure> Departures;
  /// Sequence number of the last published record. It is shared by all servers,
  /// so that a removed server that returns still publishes a higher version.
  std::uint64_t Sequence = 0;
  /// Time of the first call, which approximates the start of the guard.
  std::optional<Time> FirstCallAt;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_GUARD_SERVERTABLE_H
#define TEASELHITCH_LIB_GUARD_SERVERTABLE_H

#include "teaselhitch/Guard/Guard.h"

#include <map>
#include <optional>
#include <vector>

namespace teaselhitch {

/// A backend server of the instance and the use of its slots.
struct GuardedServer {
  /// As last published, but for Version, which `publish` raises.
  BackendServerRecord Record;
  Endpoint Address;
  /// Incarnation that it announced last.
  std::uint64_t Incarnation = 0;
  Time LastHeard;
  /// Sequence of the newest announcement of the incarnation.
  std::uint64_t Sequence = 0;
  /// It said that it leaves; only another incarnation returns.
  bool IsDeparting = false;
  /// It is slow until then, as it announced.
  std::optional<Time> ColdUntil;
  /// Weight that detection set, in percent.
  std::uint32_t HealthWeight = 100;
  /// Start of the slow start; empty after it, and before the server is ready.
  std::optional<Time> SlowStartAt;
  /// Percent of the full load that slow start allows.
  std::uint32_t SlowStartWeight = 100;
  /// Attempts that hold a slot, aborted ones included.
  std::uint32_t InProgress = 0;
  bool TrialInProgress = false;
  /// Earliest time of the next trial request while ejected.
  Time NextTrialAt;
  /// No new work before this time, after a failed connection.
  Time PausedUntil;

  /// Takes new work that is not a trial request.
  bool isUsable() const { return Record.isCapacity(); }

  /// Slots that may be filled at the current weight, at least one.
  std::uint32_t usableSlots() const;

  /// Usable slots that are not in use.
  std::uint32_t freeSlots(Time Now) const;

  /// A trial request may start now.
  bool isTrialDue(Time Now) const;
};

/// The backend servers of the instance and the records published of them.
class ServerTable {
public:
  explicit ServerTable(const GuardSettings &Settings) : Settings(Settings) {}

  /// What an accepted announcement changed.
  struct Announced {
    /// The server started again; Before tells what it was.
    bool Restarted = false;
    BackendServerState Before = BackendServerState::Gone;
    std::uint64_t IncarnationBefore = 0;
    ServiceName ServiceBefore;
  };

  /// Servers at an address that a later started server now has.
  void endAtAddress(const Announcement &A);

  /// Takes an announcement in. InvalidInput names the field; Exhausted if the
  /// table is full.
  Result<Announced> announce(const Announcement &A, Time Now);

  GuardedServer *find(const BackendServerName &Name);

  void setHealth(GuardedServer &Server, BackendServerHealth Health,
                 std::uint32_t Weight, Time Now);

  /// Marks a server gone until its next announcement.
  void setGone(GuardedServer &Server);

  /// Marks a server draining; earlier announcements of this incarnation that
  /// arrive late do not undo it.
  void setDeparting(GuardedServer &Server);

  /// Advances slow starts, expires silent servers and forgets the ones that
  /// are gone for long. The result lists the servers that fell silent without
  /// draining.
  std::vector<BackendServerName> tick(Time Now);

  /// Appends a record for each server whose published properties changed since
  /// the last call.
  void publish(GuardActions &Out);

  /// A server of the service with a free slot, Preferred if possible.
  GuardedServer *choose(const ServiceName &Service,
                        const BackendServerName &Preferred, Time Now);

  /// An ejected server of the service that is due for a trial request.
  GuardedServer *chooseForTrial(const ServiceName &Service,
                                const BackendServerName &Preferred, Time Now);

  /// True if a server of the service takes new work.
  bool isServed(const ServiceName &Service) const;
  /// True if a server of the service announced that it is draining.
  bool isDraining(const ServiceName &Service) const;
  /// Slots of the servers of the service that take new work.
  std::uint32_t slots(const ServiceName &Service) const;

  /// Number of servers that were heard within Within.
  std::size_t heard(Duration Within, Time Now) const;

  const std::map<BackendServerName, GuardedServer> &servers() const {
    return Servers;
  }

private:
  void beginSlowStart(GuardedServer &Server, Time Now);
  void updateWeight(GuardedServer &Server, Time Now);
  bool isYoung(Time Now) const;

  const GuardSettings &Settings;
  std::map<BackendServerName, GuardedServer> Servers;
  std::map<BackendServerName, BackendServerRecord> LastPublished;
  /// Sequence of the last published record, over all servers, so that a
  /// forgotten server that returns still publishes a higher version.
  std::uint64_t Sequence = 0;
  /// Time of the first call.
  std::optional<Time> Born;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_DETECTION_SERVICELEASES_H
#define TEASELHITCH_LIB_DETECTION_SERVICELEASES_H

/// \file
/// The leases of one guard on backend servers of one service.

#include "EjectionRow.h"
#include "teaselhitch/Detection/EjectionLeases.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace teaselhitch::detail {

/// Switches that break a rule, so that tests can show that their checks notice
/// it. The product uses the default only.
struct LeaseRules {
  /// Counts validity from the reply instead of from the request.
  bool ValidFromEnd = false;
  /// Writes with Expected = 0, which the table of the test takes without a
  /// condition.
  bool UnconditionalWrite = false;
  /// Takes a write with a lost answer for done.
  bool TrustLostAnswer = false;
  /// Does not subtract the leases of other guards.
  bool IgnoreOtherHolders = false;
  /// Removes leases of other guards at once.
  bool RemoveWithoutWait = false;
  /// Never expires a lease by its own clock.
  bool NeverExpire = false;
};

/// Public interface with rules to choose, for tests.
Result<std::unique_ptr<EjectionLeases>>
createEjectionLeases(EjectionSettings Settings, LeaseRules Rules);

class ServiceLeases {
public:
  ServiceLeases(ServiceName Service, const EjectionSettings &Settings,
                const LeaseRules &Rules, std::uint64_t &NextToken)
      : Service(std::move(Service)), Settings(Settings), Rules(Rules),
        NextToken(NextToken) {}

  void setView(std::shared_ptr<const ServiceView> NewView,
               std::uint32_t NewFloor, Time Now, LeaseActions &Actions);
  void eject(const BackendServerName &Server, Time Now, LeaseActions &Actions);
  void readmit(const BackendServerName &Server, Time Now,
               LeaseActions &Actions);
  /// False if the token is of another service.
  bool reply(const TableReply &Reply, Time Now, LeaseActions &Actions);
  void tick(Time Now, LeaseActions &Actions);
  bool holds(const BackendServerName &Server, Time Now) const;

private:
  /// A backend server without a held lease is only wanted out of use.
  struct OwnLease {
    bool Held = false;
    Time ValidUntil;
  };
  /// A write of which the own entries carry Renewal.
  struct Write {
    Time Start;
    std::uint64_t Renewal = 0;
    LeaseEntries Entries;
  };
  struct Operation {
    std::uint64_t Token = 0;
    Time Start;
    /// Empty for a read.
    std::optional<Write> Written;
  };

  bool isOwn(const LeaseEntry &E) const;
  bool isListed(const BackendServerId &Id, const LeaseEntries &Entries) const;
  std::size_t inUse(const LeaseEntries &Entries) const;
  bool isInUse(const BackendServerRecord &Record,
               const LeaseEntries &Entries) const;
  bool mayEject(const BackendServerName &Server,
                const LeaseEntries &Entries) const;
  void end(const BackendServerName &Server, ReadmitReason Why,
           LeaseActions &Actions);

  void expire(Time Now, LeaseActions &Actions);
  void keepFloor(LeaseActions &Actions);
  void drive(Time Now, LeaseActions &Actions);
  bool hasWork(Time Now) const;
  LeaseEntries othersToKeep(Time Now) const;
  Write planWrite(Time Now);
  /// True if Plan adds or removes own entries.
  bool changesOwn(const LeaseEntries &Plan) const;
  void send(TableOperation Operation, std::optional<Write> Written, Time Now,
            LeaseActions &Actions);

  void readDone(const TableReply &Reply, Time Now, LeaseActions &Actions);
  void writeDone(const TableReply &Reply, const Write &Written, Time Now,
                 LeaseActions &Actions);
  void succeeded(const Write &Written, Time Now, LeaseActions &Actions);
  void setRow(LeaseEntries Entries, std::optional<std::uint64_t> Version,
              Time Now);
  void checkListed(LeaseActions &Actions);

  ServiceName Service;
  const EjectionSettings &Settings;
  const LeaseRules &Rules;
  std::uint64_t &NextToken;

  std::shared_ptr<const ServiceView> View;
  std::uint32_t Floor = 0;
  std::map<BackendServerName, OwnLease> Own;
  std::uint64_t Renewals = 0;
  Time NextTry;
  Time NextRenewal;

  std::optional<Operation> InFlight;
  /// A write whose answer was lost and that no read has resolved yet.
  std::optional<Write> Unresolved;
  bool RowKnown = false;
  /// Empty if there is no row.
  std::optional<std::uint64_t> RowVersion;
  LeaseEntries Row;
  /// When each state of an entry was first read.
  std::map<LeaseEntry, Time> FirstSeen;
};

} // namespace teaselhitch::detail

#endif

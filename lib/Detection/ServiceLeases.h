#ifndef TEASELHITCH_LIB_DETECTION_SERVICELEASES_H
#define TEASELHITCH_LIB_DETECTION_SERVICELEASES_H

/// \file
/// The ejection leases of one guard for the backend servers of one service.

#include "EjectionRow.h"
#include "teaselhitch/Detection/EjectionLeases.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace teaselhitch::detail {

/// Deliberate protocol violations, which let tests prove that their checks
/// detect each of them. Production code uses only the default.
struct LeaseDefects {
  /// Starts the validity of a lease at the reply instead of at the request.
  bool ValidityFromReply = false;
  /// Writes with Expected = 0, which the table of the test treats as an
  /// unconditional write.
  bool UnconditionalWrite = false;
  /// Assumes that a write with the status Unknown was applied.
  bool TrustUnknownReply = false;
  /// Does not subtract the leases of other guards from the capacity.
  bool IgnoreOtherHolders = false;
  /// Removes leases of other guards without waiting for RemoveAfter.
  bool RemoveImmediately = false;
  /// Never expires a lease by the clock of its holder.
  bool NeverExpire = false;
};

/// Creates EjectionLeases with deliberate defects, for tests.
Result<std::unique_ptr<EjectionLeases>>
createEjectionLeases(EjectionSettings Settings, LeaseDefects Defects);

class ServiceLeases {
public:
  ServiceLeases(ServiceName Service, const EjectionSettings &Settings,
                const LeaseDefects &Defects, std::uint64_t &NextToken)
      : Service(std::move(Service)), Settings(Settings), Defects(Defects),
        NextToken(NextToken) {}

  void setView(std::shared_ptr<const ServiceView> NewView,
               std::uint32_t NewFloor, Time Now, LeaseActions &Actions);
  void eject(const BackendServerName &Server, Time Now, LeaseActions &Actions);
  void readmit(const BackendServerName &Server, Time Now,
               LeaseActions &Actions);
  /// Returns false if the token belongs to another service.
  bool reply(const TableReply &Reply, Time Now, LeaseActions &Actions);
  void tick(Time Now, LeaseActions &Actions);
  /// The store was restored from an older copy.
  void storeRestored(Time Now, LeaseActions &Actions);
  bool holds(const BackendServerName &Server, Time Now) const;

private:
  /// A lease of this guard. If not Held, the ejection is requested but the
  /// backend server is still in use.
  struct OwnLease {
    bool Held = false;
    Time ValidUntil;
  };
  /// A planned or sent write. Each entry of this guard in it carries Renewal.
  struct Write {
    Time Start;
    std::uint64_t Renewal = 0;
    LeaseEntries Entries;
  };
  struct Operation {
    std::uint64_t Token = 0;
    Time Start;
    /// Not set for a read.
    std::optional<Write> Written;
  };

  bool isOwn(const LeaseEntry &E) const;
  bool isListed(const BackendServerId &Id, const LeaseEntries &Entries) const;
  std::size_t countInUse(const LeaseEntries &Entries) const;
  bool isInUse(const BackendServerRecord &Record,
               const LeaseEntries &Entries) const;
  bool canEject(const BackendServerName &Server,
                const LeaseEntries &Entries) const;
  void endLease(const BackendServerName &Server, ReadmitReason Reason,
                LeaseActions &Actions);

  void expireLeases(Time Now, LeaseActions &Actions);
  void enforceFloor(LeaseActions &Actions);
  void sendNextRequest(Time Now, LeaseActions &Actions);
  bool hasWork(Time Now) const;
  LeaseEntries retainedEntries(Time Now) const;
  Write planWrite(Time Now);
  /// Returns true if \p Plan adds or removes entries of this guard.
  bool changesOwnEntries(const LeaseEntries &Plan) const;
  void send(TableOperation Operation, std::optional<Write> Written, Time Now,
            LeaseActions &Actions);

  void handleRead(const TableReply &Reply, Time Now, LeaseActions &Actions);
  void handleWrite(const TableReply &Reply, const Write &Written, Time Now,
                   LeaseActions &Actions);
  void applyWrite(const Write &Written, Time Now, LeaseActions &Actions);
  void setRow(LeaseEntries Entries, std::optional<std::uint64_t> Version,
              Time Now);
  void endLostLeases(LeaseActions &Actions);

  ServiceName Service;
  const EjectionSettings &Settings;
  const LeaseDefects &Defects;
  std::uint64_t &NextToken;

  std::shared_ptr<const ServiceView> View;
  std::uint32_t Floor = 0;
  std::map<BackendServerName, OwnLease> Own;
  std::uint64_t Renewals = 0;
  Time RetryAt;
  Time NextRenewal;

  std::optional<Operation> InFlight;
  /// A write whose outcome is unknown and has not been resolved by a read yet.
  std::optional<Write> Unresolved;
  bool RowKnown = false;
  /// The row must be read although no lease needs it: the restored store may
  /// contain entries that this guard had removed.
  bool MustRead = false;
  /// Not set if the row does not exist.
  std::optional<std::uint64_t> RowVersion;
  LeaseEntries Row;
  /// The time at which each entry was first read in its current state.
  std::map<LeaseEntry, Time> FirstSeen;
};

} // namespace teaselhitch::detail

#endif

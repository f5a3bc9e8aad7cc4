#include "ServiceLeases.h"

#include <algorithm>

namespace teaselhitch::detail {

namespace {
constexpr const char *EjectionTable = "ejections";
} // namespace

bool ServiceLeases::isOwn(const LeaseEntry &E) const {
  return E.Id.Node == Settings.Node && E.Incarnation == Settings.Incarnation;
}

bool ServiceLeases::isListed(const BackendServerId &Id,
                             const LeaseEntries &Entries) const {
  return std::any_of(Entries.begin(), Entries.end(), [&](const LeaseEntry &E) {
    return E.Id == Id && !(Defects.IgnoreOtherHolders && !isOwn(E));
  });
}

bool ServiceLeases::isInUse(const BackendServerRecord &Record,
                            const LeaseEntries &Entries) const {
  if (Record.State != BackendServerState::Ready || isListed(Record.Id, Entries))
    return false;
  // For backend servers of this node, the lease state is newer than the record
  // in the view.
  if (Record.Id.Node != Settings.Node)
    return Defects.IgnoreOtherHolders || Record.isCapacity();
  auto It = Own.find(Record.Id.Name);
  return It == Own.end() || !It->second.Held;
}

std::size_t ServiceLeases::countInUse(const LeaseEntries &Entries) const {
  if (!View)
    return 0;
  return static_cast<std::size_t>(std::count_if(
      View->begin(), View->end(), [&](const BackendServerRecord &Record) {
        return isInUse(Record, Entries);
      }));
}

bool ServiceLeases::canEject(const BackendServerName &Server,
                             const LeaseEntries &Entries) const {
  if (!View)
    return false;
  const BackendServerId Id{Settings.Node, Server};
  const bool Counted = std::any_of(
      View->begin(), View->end(), [&](const BackendServerRecord &Record) {
        return Record.Id == Id && isInUse(Record, Entries);
      });
  return countInUse(Entries) >= Floor + (Counted ? 1U : 0U);
}

void ServiceLeases::endLease(const BackendServerName &Server,
                             ReadmitReason Reason, LeaseActions &Actions) {
  auto It = Own.find(Server);
  if (It == Own.end())
    return;
  const bool Held = It->second.Held;
  Own.erase(It);
  if (Held)
    Actions.emplace_back(Readmitted{Service, Server, Reason});
}

void ServiceLeases::expireLeases(Time Now, LeaseActions &Actions) {
  // A reply that takes longer than the validity cannot establish a lease.
  if (InFlight && Now - InFlight->Start >= Settings.Validity) {
    InFlight.reset();
    RowKnown = false;
  }
  if (Defects.NeverExpire)
    return;
  std::vector<BackendServerName> Expired;
  for (const auto &[Server, Lease] : Own)
    if (Lease.Held && Now >= Lease.ValidUntil)
      Expired.push_back(Server);
  for (const BackendServerName &Server : Expired)
    endLease(Server, ReadmitReason::LeaseExpired, Actions);
}

void ServiceLeases::enforceFloor(LeaseActions &Actions) {
  if (!View)
    return;
  LeaseEntries Others;
  std::copy_if(Row.begin(), Row.end(), std::back_inserter(Others),
               [&](const LeaseEntry &E) { return !isOwn(E); });
  std::size_t Count = countInUse(Others);
  for (const BackendServerRecord &Record : *View) {
    if (Count >= Floor)
      return;
    auto It = Own.find(Record.Id.Name);
    if (Record.Id.Node != Settings.Node || It == Own.end() ||
        !It->second.Held || Record.State != BackendServerState::Ready)
      continue;
    endLease(Record.Id.Name, ReadmitReason::FloorReached, Actions);
    ++Count;
  }
}

void ServiceLeases::setView(std::shared_ptr<const ServiceView> NewView,
                            std::uint32_t NewFloor, Time Now,
                            LeaseActions &Actions) {
  expireLeases(Now, Actions);
  View = std::move(NewView);
  Floor = NewFloor;
  enforceFloor(Actions);
  sendNextRequest(Now, Actions);
}

void ServiceLeases::eject(const BackendServerName &Server, Time Now,
                          LeaseActions &Actions) {
  expireLeases(Now, Actions);
  Own.try_emplace(Server);
  sendNextRequest(Now, Actions);
}

void ServiceLeases::readmit(const BackendServerName &Server, Time Now,
                            LeaseActions &Actions) {
  expireLeases(Now, Actions);
  endLease(Server, ReadmitReason::Requested, Actions);
  sendNextRequest(Now, Actions);
}

void ServiceLeases::tick(Time Now, LeaseActions &Actions) {
  expireLeases(Now, Actions);
  sendNextRequest(Now, Actions);
}

void ServiceLeases::storeRestored(Time Now, LeaseActions &Actions) {
  expireLeases(Now, Actions);
  InFlight.reset();
  Unresolved.reset();
  RowKnown = false;
  MustRead = Renewals != 0;
  // A renewal may be lost, so that an entry is again in a state in which it was
  // read long ago, although its holder still uses the lease.
  FirstSeen.clear();
  std::vector<BackendServerName> Ended;
  for (const auto &[Server, Lease] : Own)
    if (Lease.Held)
      Ended.push_back(Server);
  for (const BackendServerName &Server : Ended)
    endLease(Server, ReadmitReason::LeaseLost, Actions);
  sendNextRequest(Now, Actions);
}

bool ServiceLeases::holds(const BackendServerName &Server, Time Now) const {
  auto It = Own.find(Server);
  return It != Own.end() && It->second.Held &&
         (Defects.NeverExpire || Now < It->second.ValidUntil);
}

bool ServiceLeases::hasWork(Time Now) const {
  for (const auto &[Server, Lease] : Own)
    if (!Lease.Held || Now >= NextRenewal)
      return true;
  if (Unresolved || MustRead)
    return true;
  return RowKnown &&
         std::any_of(Row.begin(), Row.end(), [&](const LeaseEntry &E) {
           return isOwn(E) && Own.count(E.Id.Name) == 0;
         });
}

LeaseEntries ServiceLeases::retainedEntries(Time Now) const {
  LeaseEntries Kept;
  for (const LeaseEntry &E : Row) {
    auto Seen = FirstSeen.find(E);
    const bool Stale =
        Seen != FirstSeen.end() && Now - Seen->second >= Settings.RemoveAfter;
    if (!isOwn(E) && !Stale && !Defects.RemoveImmediately)
      Kept.push_back(E);
  }
  return Kept;
}

ServiceLeases::Write ServiceLeases::planWrite(Time Now) {
  Write Plan{Now, ++Renewals, retainedEntries(Now)};
  const auto Add = [&](const BackendServerName &Server) {
    const BackendServerId Id{Settings.Node, Server};
    // An entry of an earlier incarnation of this node for the same backend
    // server is replaced because it represents the same loss of capacity.
    Plan.Entries.erase(
        std::remove_if(Plan.Entries.begin(), Plan.Entries.end(),
                       [&](const LeaseEntry &E) { return E.Id == Id; }),
        Plan.Entries.end());
    Plan.Entries.push_back({Id, Settings.Incarnation, Plan.Renewal});
  };
  for (const auto &[Server, Lease] : Own)
    if (Lease.Held)
      Add(Server);
  for (const auto &[Server, Lease] : Own)
    if (!Lease.Held && canEject(Server, Plan.Entries))
      Add(Server);
  return Plan;
}

bool ServiceLeases::changesOwnEntries(const LeaseEntries &Plan) const {
  const bool Adds =
      std::any_of(Plan.begin(), Plan.end(), [&](const LeaseEntry &E) {
        return isOwn(E) && !Own.at(E.Id.Name).Held;
      });
  const auto OwnCount = [&](const LeaseEntries &Entries) {
    return std::count_if(Entries.begin(), Entries.end(),
                         [&](const LeaseEntry &E) { return isOwn(E); });
  };
  return Adds || OwnCount(Plan) != OwnCount(Row);
}

void ServiceLeases::sendNextRequest(Time Now, LeaseActions &Actions) {
  if (InFlight || Now < RetryAt || !hasWork(Now))
    return;
  if (!RowKnown) {
    send(TableOperation::Read, std::nullopt, Now, Actions);
    return;
  }
  Write Plan = planWrite(Now);
  const bool RenewalDue =
      Now >= NextRenewal &&
      std::any_of(Own.begin(), Own.end(),
                  [](const auto &Item) { return Item.second.Held; });
  if (!RenewalDue && !changesOwnEntries(Plan.Entries)) {
    // The floor prevents the ejection; read the row again later.
    RowKnown = false;
    RetryAt = Now + Settings.RetryInterval;
    return;
  }
  send(RowVersion ? TableOperation::Replace : TableOperation::Insert,
       std::move(Plan), Now, Actions);
}

void ServiceLeases::send(TableOperation Operation, std::optional<Write> Written,
                         Time Now, LeaseActions &Actions) {
  TableRequest Request;
  Request.Token = NextToken++;
  Request.Operation = Operation;
  Request.Table = EjectionTable;
  Request.Key = Service.str();
  if (Written)
    Request.Value = encodeRow(Written->Entries);
  if (!Defects.UnconditionalWrite)
    Request.ExpectedVersion = RowVersion.value_or(0);
  InFlight = {Request.Token, Now, std::move(Written)};
  Actions.emplace_back(std::move(Request));
}

bool ServiceLeases::reply(const TableReply &Reply, Time Now,
                          LeaseActions &Actions) {
  if (!InFlight || InFlight->Token != Reply.Token)
    return false;
  expireLeases(Now, Actions);
  if (!InFlight)
    return true;
  const Operation Completed = std::move(*InFlight);
  InFlight.reset();
  if (Completed.Written)
    handleWrite(Reply, *Completed.Written, Now, Actions);
  else
    handleRead(Reply, Now, Actions);
  sendNextRequest(Now, Actions);
  return true;
}

void ServiceLeases::setRow(LeaseEntries Entries,
                           std::optional<std::uint64_t> Version, Time Now) {
  std::map<LeaseEntry, Time> Seen;
  for (const LeaseEntry &E : Entries) {
    auto It = FirstSeen.find(E);
    Seen[E] = It == FirstSeen.end() ? Now : It->second;
  }
  FirstSeen = std::move(Seen);
  Row = std::move(Entries);
  RowVersion = Version;
  RowKnown = true;
}

void ServiceLeases::endLostLeases(LeaseActions &Actions) {
  std::vector<BackendServerName> Lost;
  for (const auto &[Server, Lease] : Own) {
    const bool Listed = std::any_of(Row.begin(), Row.end(),
                                    [&, &Name = Server](const LeaseEntry &E) {
                                      return isOwn(E) && E.Id.Name == Name;
                                    });
    if (Lease.Held && !Listed)
      Lost.push_back(Server);
  }
  for (const BackendServerName &Server : Lost)
    endLease(Server, ReadmitReason::LeaseLost, Actions);
}

void ServiceLeases::handleRead(const TableReply &Reply, Time Now,
                               LeaseActions &Actions) {
  if (Reply.Status != TableStatus::Ok &&
      Reply.Status != TableStatus::NotFound) {
    RetryAt = Now + Settings.RetryInterval;
    return;
  }
  LeaseEntries Entries;
  std::optional<std::uint64_t> Version;
  if (Reply.Status == TableStatus::Ok) {
    bool Corrupt = false;
    Entries = handleError([&] { return decodeRow(Reply.Row.Value); },
                          [&](const Error &) {
                            Corrupt = true;
                            return LeaseEntries();
                          });
    if (Corrupt) {
      // A row that cannot be decoded is not overwritten because it may contain
      // leases.
      RetryAt = Now + Settings.RetryInterval;
      return;
    }
    Version = Reply.Row.Version;
  }
  setRow(std::move(Entries), Version, Now);
  MustRead = false;
  endLostLeases(Actions);
  if (Unresolved) {
    const Write Written = std::move(*Unresolved);
    Unresolved.reset();
    const bool Applied =
        std::any_of(Row.begin(), Row.end(), [&](const LeaseEntry &E) {
          return isOwn(E) && E.Renewal == Written.Renewal;
        });
    if (Applied)
      applyWrite(Written, Now, Actions);
  }
  enforceFloor(Actions);
}

void ServiceLeases::handleWrite(const TableReply &Reply, const Write &Written,
                                Time Now, LeaseActions &Actions) {
  switch (Reply.Status) {
  case TableStatus::Ok:
    setRow(Written.Entries, Reply.Row.Version, Now);
    applyWrite(Written, Now, Actions);
    return;
  case TableStatus::Conflict:
  case TableStatus::NotFound:
  // A notice, which is handled by storeRestored().
  case TableStatus::StoreRestored:
    RowKnown = false;
    return;
  case TableStatus::Unavailable:
    RetryAt = Now + Settings.RetryInterval;
    return;
  case TableStatus::Unknown:
    RowKnown = false;
    if (Defects.TrustUnknownReply)
      applyWrite(Written, Now, Actions);
    else
      Unresolved = Written;
    return;
  }
}

void ServiceLeases::applyWrite(const Write &Written, Time Now,
                               LeaseActions &Actions) {
  const Time ValidityStart = Defects.ValidityFromReply ? Now : Written.Start;
  NextRenewal = Written.Start + Settings.RenewInterval;
  for (const LeaseEntry &E : Written.Entries) {
    auto It = Own.find(E.Id.Name);
    if (!isOwn(E) || It == Own.end())
      continue;
    OwnLease &Lease = It->second;
    if (Lease.Held) {
      Lease.ValidUntil = ValidityStart + Settings.Validity;
      continue;
    }
    // The view may have shrunk while the write was in flight. The lease is then
    // not taken, and a later write removes the entry if the floor still
    // prevents the ejection.
    if (Now >= ValidityStart + Settings.Validity || !canEject(E.Id.Name, Row))
      continue;
    Lease.Held = true;
    Lease.ValidUntil = ValidityStart + Settings.Validity;
    Actions.emplace_back(Ejected{Service, E.Id.Name});
  }
}

} // namespace teaselhitch::detail

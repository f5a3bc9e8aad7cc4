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
    return E.Id == Id && !(Rules.IgnoreOtherHolders && !isOwn(E));
  });
}

bool ServiceLeases::isInUse(const BackendServerRecord &Record,
                            const LeaseEntries &Entries) const {
  if (Record.State != BackendServerState::Ready || isListed(Record.Id, Entries))
    return false;
  // The own lease is newer than the own record in the view.
  if (Record.Id.Node != Settings.Node)
    return Rules.IgnoreOtherHolders || Record.isCapacity();
  auto It = Own.find(Record.Id.Name);
  return It == Own.end() || !It->second.Held;
}

std::size_t ServiceLeases::inUse(const LeaseEntries &Entries) const {
  if (!View)
    return 0;
  return static_cast<std::size_t>(std::count_if(
      View->begin(), View->end(), [&](const BackendServerRecord &Record) {
        return isInUse(Record, Entries);
      }));
}

bool ServiceLeases::mayEject(const BackendServerName &Server,
                             const LeaseEntries &Entries) const {
  if (!View)
    return false;
  const BackendServerId Id{Settings.Node, Server};
  const bool Counted = std::any_of(
      View->begin(), View->end(), [&](const BackendServerRecord &Record) {
        return Record.Id == Id && isInUse(Record, Entries);
      });
  return inUse(Entries) >= Floor + (Counted ? 1U : 0U);
}

void ServiceLeases::end(const BackendServerName &Server, ReadmitReason Why,
                        LeaseActions &Actions) {
  auto It = Own.find(Server);
  if (It == Own.end())
    return;
  const bool Held = It->second.Held;
  Own.erase(It);
  if (Held)
    Actions.emplace_back(Readmitted{Service, Server, Why});
}

void ServiceLeases::expire(Time Now, LeaseActions &Actions) {
  // An answer that takes longer than the validity cannot establish a lease.
  if (InFlight && Now - InFlight->Start >= Settings.Validity) {
    InFlight.reset();
    RowKnown = false;
  }
  if (Rules.NeverExpire)
    return;
  std::vector<BackendServerName> Expired;
  for (const auto &[Server, Lease] : Own)
    if (Lease.Held && Now >= Lease.ValidUntil)
      Expired.push_back(Server);
  for (const BackendServerName &Server : Expired)
    end(Server, ReadmitReason::LeaseExpired, Actions);
}

void ServiceLeases::keepFloor(LeaseActions &Actions) {
  if (!View)
    return;
  LeaseEntries Others;
  std::copy_if(Row.begin(), Row.end(), std::back_inserter(Others),
               [&](const LeaseEntry &E) { return !isOwn(E); });
  std::size_t Count = inUse(Others);
  for (const BackendServerRecord &Record : *View) {
    if (Count >= Floor)
      return;
    auto It = Own.find(Record.Id.Name);
    if (Record.Id.Node != Settings.Node || It == Own.end() ||
        !It->second.Held || Record.State != BackendServerState::Ready)
      continue;
    end(Record.Id.Name, ReadmitReason::FloorReached, Actions);
    ++Count;
  }
}

void ServiceLeases::setView(std::shared_ptr<const ServiceView> NewView,
                            std::uint32_t NewFloor, Time Now,
                            LeaseActions &Actions) {
  expire(Now, Actions);
  View = std::move(NewView);
  Floor = NewFloor;
  keepFloor(Actions);
  drive(Now, Actions);
}

void ServiceLeases::eject(const BackendServerName &Server, Time Now,
                          LeaseActions &Actions) {
  expire(Now, Actions);
  Own.try_emplace(Server);
  drive(Now, Actions);
}

void ServiceLeases::readmit(const BackendServerName &Server, Time Now,
                            LeaseActions &Actions) {
  expire(Now, Actions);
  end(Server, ReadmitReason::Requested, Actions);
  drive(Now, Actions);
}

void ServiceLeases::tick(Time Now, LeaseActions &Actions) {
  expire(Now, Actions);
  drive(Now, Actions);
}

bool ServiceLeases::holds(const BackendServerName &Server, Time Now) const {
  auto It = Own.find(Server);
  return It != Own.end() && It->second.Held &&
         (Rules.NeverExpire || Now < It->second.ValidUntil);
}

bool ServiceLeases::hasWork(Time Now) const {
  for (const auto &[Server, Lease] : Own)
    if (!Lease.Held || Now >= NextRenewal)
      return true;
  if (Unresolved)
    return true;
  return RowKnown &&
         std::any_of(Row.begin(), Row.end(), [&](const LeaseEntry &E) {
           return isOwn(E) && Own.count(E.Id.Name) == 0;
         });
}

LeaseEntries ServiceLeases::othersToKeep(Time Now) const {
  LeaseEntries Kept;
  for (const LeaseEntry &E : Row) {
    auto Seen = FirstSeen.find(E);
    const bool Stale =
        Seen != FirstSeen.end() && Now - Seen->second >= Settings.RemoveAfter;
    if (!isOwn(E) && !Stale && !Rules.RemoveWithoutWait)
      Kept.push_back(E);
  }
  return Kept;
}

ServiceLeases::Write ServiceLeases::planWrite(Time Now) {
  Write Plan{Now, ++Renewals, othersToKeep(Now)};
  const auto Add = [&](const BackendServerName &Server) {
    const BackendServerId Id{Settings.Node, Server};
    // An entry of an earlier incarnation of this node for the same backend
    // server is replaced: it stands for the same loss of capacity.
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
    if (!Lease.Held && mayEject(Server, Plan.Entries))
      Add(Server);
  return Plan;
}

bool ServiceLeases::changesOwn(const LeaseEntries &Plan) const {
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

void ServiceLeases::drive(Time Now, LeaseActions &Actions) {
  if (InFlight || Now < NextTry || !hasWork(Now))
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
  if (!RenewalDue && !changesOwn(Plan.Entries)) {
    // The floor forbids the ejection; look again later.
    RowKnown = false;
    NextTry = Now + Settings.RetryInterval;
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
  if (!Rules.UnconditionalWrite)
    Request.Expected = RowVersion.value_or(0);
  InFlight = {Request.Token, Now, std::move(Written)};
  Actions.emplace_back(std::move(Request));
}

bool ServiceLeases::reply(const TableReply &Reply, Time Now,
                          LeaseActions &Actions) {
  if (!InFlight || InFlight->Token != Reply.Token)
    return false;
  expire(Now, Actions);
  if (!InFlight)
    return true;
  const Operation Done = std::move(*InFlight);
  InFlight.reset();
  if (Done.Written)
    writeDone(Reply, *Done.Written, Now, Actions);
  else
    readDone(Reply, Now, Actions);
  drive(Now, Actions);
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

void ServiceLeases::checkListed(LeaseActions &Actions) {
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
    end(Server, ReadmitReason::LeaseLost, Actions);
}

void ServiceLeases::readDone(const TableReply &Reply, Time Now,
                             LeaseActions &Actions) {
  if (Reply.Status != TableStatus::Ok &&
      Reply.Status != TableStatus::NotFound) {
    NextTry = Now + Settings.RetryInterval;
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
      // A row that cannot be read is not overwritten: it may hold leases.
      NextTry = Now + Settings.RetryInterval;
      return;
    }
    Version = Reply.Row.Version;
  }
  setRow(std::move(Entries), Version, Now);
  checkListed(Actions);
  if (Unresolved) {
    const Write Written = std::move(*Unresolved);
    Unresolved.reset();
    const bool Applied =
        std::any_of(Row.begin(), Row.end(), [&](const LeaseEntry &E) {
          return isOwn(E) && E.Renewal == Written.Renewal;
        });
    if (Applied)
      succeeded(Written, Now, Actions);
  }
  keepFloor(Actions);
}

void ServiceLeases::writeDone(const TableReply &Reply, const Write &Written,
                              Time Now, LeaseActions &Actions) {
  switch (Reply.Status) {
  case TableStatus::Ok:
    setRow(Written.Entries, Reply.Row.Version, Now);
    succeeded(Written, Now, Actions);
    return;
  case TableStatus::Conflict:
  case TableStatus::NotFound:
    RowKnown = false;
    return;
  case TableStatus::Unavailable:
    NextTry = Now + Settings.RetryInterval;
    return;
  case TableStatus::Unknown:
    RowKnown = false;
    if (Rules.TrustLostAnswer)
      succeeded(Written, Now, Actions);
    else
      Unresolved = Written;
    return;
  }
}

void ServiceLeases::succeeded(const Write &Written, Time Now,
                              LeaseActions &Actions) {
  const Time From = Rules.ValidFromEnd ? Now : Written.Start;
  NextRenewal = Written.Start + Settings.RenewInterval;
  for (const LeaseEntry &E : Written.Entries) {
    auto It = Own.find(E.Id.Name);
    if (!isOwn(E) || It == Own.end())
      continue;
    OwnLease &Lease = It->second;
    if (Lease.Held) {
      Lease.ValidUntil = From + Settings.Validity;
      continue;
    }
    // The view may have shrunk while the write was under way; then the next
    // write takes the entry back.
    if (Now >= From + Settings.Validity || !mayEject(E.Id.Name, Row))
      continue;
    Lease.Held = true;
    Lease.ValidUntil = From + Settings.Validity;
    Actions.emplace_back(Ejected{Service, E.Id.Name});
  }
}

} // namespace teaselhitch::detail

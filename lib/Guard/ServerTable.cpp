#include "ServerTable.h"

#include "AnnouncementCheck.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselhitch {

namespace {

/// Instances are small; the planned number of backend servers is 13. The bound
/// limits the memory that a faulty announcer can use by changing its name.
constexpr std::size_t MaxServers = 256;
/// Gone servers are kept for this time, so that a late announcement of an older
/// incarnation is still refused.
constexpr Duration GoneRetention = Duration::seconds(600);
/// An announcement that arrives later than this after a departure that named no
/// incarnation is one of a new process.
constexpr Duration LateAnnouncementLimit = Duration::seconds(30);
/// Time between trial requests to an ejected server.
constexpr Duration TrialInterval = Duration(500);
/// Weight of an ejected server that receives no trial requests; equals
/// HealthSettings::HoldWeight.
constexpr std::uint32_t NoTrialsWeight = 1;
/// Slow start begins at this share of the full load and rises in equal steps.
/// Each step publishes one record.
constexpr std::uint32_t SlowStartStepPercent = 10;
constexpr std::uint32_t FullPercent = 100;
/// Weight of a server that announces that it is still slow.
constexpr std::uint32_t ColdPercent = 67;

std::uint32_t slowStartPercent(Duration Elapsed, Duration Total) {
  if (Elapsed >= Total)
    return FullPercent;
  constexpr double Steps =
      static_cast<double>(FullPercent) / SlowStartStepPercent - 1;
  double Progress = std::max(0.0, Elapsed.ms() / Total.ms());
  return SlowStartStepPercent *
         (1 + static_cast<std::uint32_t>(Progress * Steps));
}

bool differs(const BackendServerRecord &A, BackendServerRecord B) {
  B.Version = A.Version;
  return A != B;
}

} // namespace

std::uint32_t GuardedServer::usableSlots() const {
  return std::max(1U, Record.Slots * Record.Weight / FullPercent);
}

std::uint32_t GuardedServer::freeSlots(Time Now) const {
  if (!isUsable() || Now < PausedUntil || InProgress >= usableSlots())
    return 0;
  return usableSlots() - InProgress;
}

bool GuardedServer::isTrialDue(Time Now) const {
  return Record.State == BackendServerState::Ready &&
         Record.Health == BackendServerHealth::Ejected &&
         HealthWeight > NoTrialsWeight && !TrialInProgress &&
         InProgress < Record.Slots && Now >= NextTrialAt && Now >= PausedUntil;
}

Result<ServerTable::AnnouncementChange>
ServerTable::announce(const Announcement &A, Time Now) {
  if (Result<void> Checked = checkAnnouncement(A); !Checked)
    return Checked.error();
  if (!FirstCallAt)
    FirstCallAt = Now;
  auto It = Servers.find(A.Name);
  bool Known = It != Servers.end();
  if (!Known && Servers.size() >= MaxServers)
    return makeError(ErrorCode::Exhausted,
                     "name: more than " + std::to_string(MaxServers) +
                         " backend servers on this instance");
  if (Known && A.Incarnation < It->second.Incarnation)
    return makeError(ErrorCode::InvalidInput,
                     "incarnation: " + std::to_string(A.Incarnation) +
                         " is older than " +
                         std::to_string(It->second.Incarnation));
  if (Known && A.Incarnation == It->second.Incarnation &&
      A.Service != It->second.Record.Service)
    return makeError(ErrorCode::InvalidInput,
                     "service: changed from '" +
                         It->second.Record.Service.str() + "' to '" +
                         A.Service.str() + "' without a new incarnation");

  if (Known && A.Incarnation == It->second.Incarnation && A.Sequence != 0 &&
      A.Sequence <= It->second.Sequence) {
    // A later announcement arrived first.
    AnnouncementChange Outdated;
    Outdated.PreviousService = A.Service;
    return Outdated;
  }
  for (const auto &[Name, Other] : Servers)
    if (Name != A.Name && Other.Address == A.Address &&
        Other.Record.State != BackendServerState::Gone &&
        Other.Incarnation > A.Incarnation)
      return makeError(ErrorCode::InvalidInput,
                       "address: '" + Name.str() +
                           "', which started later, is there");
  setReplacedGone(A);

  GuardedServer &Server = Servers[A.Name];
  AnnouncementChange Change;
  Change.PreviousState = Known ? Server.Record.State : BackendServerState::Gone;
  Change.PreviousIncarnation = Server.Incarnation;
  Change.PreviousService = Known ? Server.Record.Service : A.Service;
  Change.Restarted = Known && A.Incarnation != Server.Incarnation;
  bool IsNew = !Known || Change.Restarted;
  if (IsNew) {
    Server.Record.Health = BackendServerHealth::Healthy;
    Server.HealthWeight = FullPercent;
    Server.PausedUntil = Time();
    Server.SlowStartAt.reset();
    Server.IsDeparting = hasDeparted(A, Now);
    // A server that is ready shortly after the start of the guard was most
    // likely running before.
    bool Warm = !Known && A.State != BackendServerState::Starting &&
                isRecentlyStarted(Now);
    Server.SlowStartWeight = Warm ? FullPercent : SlowStartStepPercent;
  }
  Server.Record.Id = {Settings.Node, A.Name};
  Server.Record.Domain = Settings.Domain;
  Server.Record.Service = A.Service;
  Server.Record.Label = A.Label;
  Server.Record.Slots = A.Slots;
  Server.Record.State =
      Server.IsDeparting ? BackendServerState::Draining : A.State;
  Server.IsHeld =
      HoldsServers && Server.Record.State == BackendServerState::Ready;
  if (Server.IsHeld)
    Server.Record.State = BackendServerState::Starting;
  if (A.State == BackendServerState::Draining) {
    Change.Departed = A.Sequence != 0;
    Server.IsDeparting = A.Sequence != 0;
    if (Change.Departed)
      recordDeparture({A.Name, A.Incarnation}, Now);
  }
  Server.Sequence = A.Sequence;
  Server.Address = A.Address;
  Server.Incarnation = A.Incarnation;
  Server.LastHeard = Now;
  if (A.ColdRemaining) {
    Server.ColdUntil = Now + *A.ColdRemaining;
    Server.SlowStartWeight = FullPercent;
  }
  if (A.State == BackendServerState::Ready && !Server.SlowStartAt &&
      Server.SlowStartWeight < FullPercent)
    Server.SlowStartAt = Now;
  updateWeight(Server, Now);
  return Change;
}

GuardedServer *ServerTable::find(const BackendServerName &Name) {
  auto It = Servers.find(Name);
  return It == Servers.end() ? nullptr : &It->second;
}

void ServerTable::setHealth(GuardedServer &Server, BackendServerHealth Health,
                            std::uint32_t Weight, Time Now) {
  bool Readmitted = Server.Record.Health == BackendServerHealth::Ejected &&
                    Health != BackendServerHealth::Ejected;
  if (Readmitted)
    beginSlowStart(Server, Now);
  Server.Record.Health = Health;
  Server.HealthWeight = std::clamp(Weight, 1U, FullPercent);
  updateWeight(Server, Now);
}

void ServerTable::setReplacedGone(const Announcement &A) {
  for (auto &[Name, Other] : Servers)
    if (Name != A.Name && Other.Address == A.Address &&
        Other.Incarnation < A.Incarnation)
      setGone(Other);
}

DepartedServer ServerTable::depart(DepartedServer Departed, Time Now) {
  GuardedServer *Server = find(Departed.Name);
  if (Server != nullptr && !Departed.Incarnation)
    Departed.Incarnation = Server->Incarnation;
  recordDeparture(Departed, Now);
  // The address of an earlier incarnation belongs to the departed one now.
  if (Server != nullptr && Server->Incarnation <= *Departed.Incarnation) {
    Server->IsDeparting = true;
    Server->IsHeld = false;
    if (Server->Record.State != BackendServerState::Gone)
      Server->Record.State = BackendServerState::Draining;
  }
  return Departed;
}

void ServerTable::recordDeparture(const DepartedServer &Departed, Time Now) {
  if (Departures.size() >= MaxServers && Departures.count(Departed.Name) == 0)
    Departures.erase(std::min_element(
        Departures.begin(), Departures.end(), [](const auto &A, const auto &B) {
          return A.second.KnownSince < B.second.KnownSince;
        }));
  Departure &Known = Departures[Departed.Name];
  Known.KnownSince = Now;
  if (Departed.Incarnation)
    Known.Incarnation = std::max(Known.Incarnation, Departed.Incarnation);
  else
    Known.UnnamedAt = Now;
}

bool ServerTable::hasDeparted(const Announcement &A, Time Now) const {
  auto It = Departures.find(A.Name);
  if (It == Departures.end())
    return false;
  const Departure &D = It->second;
  if (D.Incarnation && A.Incarnation <= *D.Incarnation)
    return true;
  // Without an incarnation, a late announcement cannot be told from one of a
  // new process.
  return D.UnnamedAt && Now - *D.UnnamedAt <= LateAnnouncementLimit;
}

void ServerTable::admit() {
  HoldsServers = false;
  for (auto &[Name, Server] : Servers)
    if (std::exchange(Server.IsHeld, false))
      Server.Record.State = BackendServerState::Ready;
}

void ServerTable::setGone(GuardedServer &Server) {
  Server.IsHeld = false;
  Server.Record.State = BackendServerState::Gone;
}

void ServerTable::excludePause(Duration Pause, Time Now) {
  for (auto &[Name, Server] : Servers)
    Server.LastHeard = std::min(Now, Server.LastHeard + Pause);
}

std::vector<BackendServerName> ServerTable::tick(Time Now) {
  std::erase_if(Departures, [&](const auto &Entry) {
    return Now - Entry.second.KnownSince > GoneRetention;
  });
  std::vector<BackendServerName> SilentServers;
  if (!FirstCallAt)
    FirstCallAt = Now;
  for (auto It = Servers.begin(); It != Servers.end();) {
    GuardedServer &Server = It->second;
    Duration Silence = Now - Server.LastHeard;
    if (Silence > Settings.AnnouncementTimeout) {
      BackendServerState PreviousState = Server.Record.State;
      if (PreviousState != BackendServerState::Gone &&
          PreviousState != BackendServerState::Draining)
        SilentServers.push_back(It->first);
      setGone(Server);
    }
    updateWeight(Server, Now);
    if (Silence > GoneRetention && Server.InProgress == 0) {
      LastPublished.erase(It->first);
      It = Servers.erase(It);
      continue;
    }
    ++It;
  }
  return SilentServers;
}

void ServerTable::publish(GuardActions &Out) {
  for (auto &[Name, Server] : Servers) {
    auto It = LastPublished.find(Name);
    if (It != LastPublished.end() && !differs(It->second, Server.Record))
      continue;
    Server.Record.Version = {Settings.Incarnation, ++Sequence};
    LastPublished.insert_or_assign(Name, Server.Record);
    Out.emplace_back(PublishRecord{Server.Record});
  }
}

GuardedServer *ServerTable::choose(const ServiceName &Service,
                                   const BackendServerName &Preferred,
                                   Time Now) {
  GuardedServer *Best = nullptr;
  for (auto &[Name, Server] : Servers) {
    std::uint32_t Free = Server.freeSlots(Now);
    if (Server.Record.Service != Service || Free == 0)
      continue;
    if (Name == Preferred)
      return &Server;
    if (Best == nullptr || Free > Best->freeSlots(Now))
      Best = &Server;
  }
  return Best;
}

GuardedServer *ServerTable::chooseForTrial(const ServiceName &Service,
                                           const BackendServerName &Preferred,
                                           Time Now) {
  GuardedServer *Best = nullptr;
  for (auto &[Name, Server] : Servers) {
    if (Server.Record.Service != Service || !Server.isTrialDue(Now))
      continue;
    if (Best == nullptr || Name == Preferred)
      Best = &Server;
  }
  if (Best != nullptr)
    Best->NextTrialAt = Now + TrialInterval;
  return Best;
}

bool ServerTable::isServed(const ServiceName &Service) const {
  return slots(Service) != 0;
}

bool ServerTable::isDraining(const ServiceName &Service) const {
  return std::any_of(Servers.begin(), Servers.end(), [&](const auto &Entry) {
    const BackendServerRecord &R = Entry.second.Record;
    return R.Service == Service && R.State == BackendServerState::Draining;
  });
}

std::uint32_t ServerTable::slots(const ServiceName &Service) const {
  std::uint32_t Sum = 0;
  for (const auto &[Name, Server] : Servers)
    if (Server.Record.Service == Service && Server.isUsable())
      Sum += Server.Record.Slots;
  return Sum;
}

std::size_t ServerTable::countHeard(Duration Window, Time Now) const {
  return std::count_if(Servers.begin(), Servers.end(), [&](const auto &Entry) {
    return Now - Entry.second.LastHeard <= Window;
  });
}

void ServerTable::beginSlowStart(GuardedServer &Server, Time Now) {
  Server.SlowStartAt = Now;
  Server.SlowStartWeight = SlowStartStepPercent;
}

void ServerTable::updateWeight(GuardedServer &Server, Time Now) {
  // Each step changes the record, so the steps of a stopped backend server
  // would only cause gossip traffic.
  if (Server.SlowStartAt && Server.Record.State != BackendServerState::Gone) {
    Server.SlowStartWeight =
        slowStartPercent(Now - *Server.SlowStartAt, Settings.SlowStart);
    if (Server.SlowStartWeight == FullPercent)
      Server.SlowStartAt.reset();
  }
  std::uint32_t Weight = Server.SlowStartWeight;
  if (Server.ColdUntil && Now < *Server.ColdUntil)
    Weight = std::min(Weight, ColdPercent);
  Server.Record.Weight =
      std::max(1U, Weight * Server.HealthWeight / FullPercent);
}

bool ServerTable::isRecentlyStarted(Time Now) const {
  return Now - *FirstCallAt <= Settings.AnnouncementTimeout;
}

} // namespace teaselhitch

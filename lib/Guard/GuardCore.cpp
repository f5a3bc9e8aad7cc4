#include "GuardCore.h"

#include <utility>

namespace teaselhitch {

GuardCore::GuardCore(GuardSettings NewSettings)
    : Settings(std::move(NewSettings)), Servers(Settings), Keys(Settings),
      Crashes(Settings) {}

GuardActions GuardCore::configure(std::shared_ptr<const ActiveConfig> NewConfig,
                                  Time Now) {
  Config = std::move(NewConfig);
  QueuePerSlot.clear();
  RiskBasedServices.clear();
  if (Config)
    for (const Service &S : Config->Objects.Services)
      if (!S.EjectionsEnabled)
        RiskBasedServices.insert(S.Name);
  if (Config)
    for (const Limit &L : Config->Objects.Limits)
      QueuePerSlot[L.Service] = L.QueuePerSlot;
  GuardActions Out;
  updateAllQueues(Now, Out);
  return Out;
}

Result<GuardActions> GuardCore::announce(const Announcement &A, Time Now) {
  Result<ServerTable::AnnouncementChange> Change = Servers.announce(A, Now);
  if (!Change)
    return Change.error();
  GuardActions Out;
  if (Change->Departed)
    Out.emplace_back(KeepDeparture{{A.Name, A.Incarnation}});
  if (Change->Restarted) {
    bool Crashed = Change->PreviousState != BackendServerState::Draining;
    if (Crashed)
      recordCrash(A.Name, Change->PreviousIncarnation, Now, Out);
    endInterrupted(A.Name, A.Incarnation, Crashed, Out);
    Risk.recordRestart(A.Name, Now);
  }
  updateQueue(A.Service, Now, Out);
  if (Change->PreviousService != A.Service)
    updateQueue(Change->PreviousService, Now, Out);
  Servers.publish(Out);
  return Out;
}

ServerLoad GuardCore::load(const BackendServerName &Name, Time Now) const {
  ServerLoad Load;
  auto It = Servers.servers().find(Name);
  if (It == Servers.servers().end())
    return Load;
  const GuardedServer &Server = It->second;
  Load.InProgress = Server.InProgress;
  auto Queue = Queues.find(Server.Record.Service);
  if (Queue != Queues.end())
    Load.Waiting = static_cast<std::uint32_t>(Queue->second.Queue.size());
  Load.Slots = Server.usableSlots();
  constexpr double Percent = 100;
  Load.RiskPercent =
      static_cast<std::uint32_t>(Risk.probability(Name, Now) * Percent);
  return Load;
}

GuardActions GuardCore::drainServer(const BackendServerName &Name,
                                    std::optional<std::uint64_t> Incarnation,
                                    Time Now) {
  GuardActions Out;
  Out.emplace_back(KeepDeparture{Servers.depart({Name, Incarnation}, Now)});
  updateDeparted(Name, Now, Out);
  return Out;
}

GuardActions
GuardCore::restoreDepartures(const std::vector<DepartedServer> &Departed,
                             Time Now) {
  GuardActions Out;
  for (const DepartedServer &D : Departed) {
    (void)Servers.depart(D, Now);
    updateDeparted(D.Name, Now, Out);
  }
  return Out;
}

GuardActions GuardCore::admitServers(Time Now) {
  GuardActions Out;
  Servers.admit();
  updateAllQueues(Now, Out);
  Servers.publish(Out);
  return Out;
}

void GuardCore::updateDeparted(const BackendServerName &Name, Time Now,
                               GuardActions &Out) {
  if (const GuardedServer *Server = Servers.find(Name))
    updateQueue(Server->Record.Service, Now, Out);
  Servers.publish(Out);
}

KeyMinted GuardCore::mintKey(const MintKey &Request, Time Now) {
  KeyMinted Reply{Request.Token, {}, {}};
  if (Draining || !Servers.isServed(Request.Service))
    return Reply;
  Reply.Key = Keys.mint(Now);
  if (!Reply.Key.empty())
    Reply.ValidFor = Settings.KeyLifetime;
  return Reply;
}

GuardActions GuardCore::setHealth(const BackendServerName &Name,
                                  BackendServerHealth Health,
                                  std::uint32_t Weight, Time Now) {
  GuardActions Out;
  GuardedServer *Server = Servers.find(Name);
  if (Server == nullptr)
    return Out;
  Servers.setHealth(*Server, Health, Weight, Now);
  updateQueue(Server->Record.Service, Now, Out);
  Servers.publish(Out);
  return Out;
}

void GuardCore::receiveQuarantine(const Quarantine &Q, Time Now) {
  Crashes.receiveQuarantine(Q, Now);
}

void GuardCore::receiveCrashMark(const CrashMark &Mark, Time Now) {
  Crashes.receiveMark(Mark, Now);
}

GuardActions GuardCore::drain(Time Now) {
  Draining = true;
  GuardActions Out;
  std::vector<AttemptId> Waiting;
  for (const auto &[Id, A] : Attempts)
    if (!A.Running)
      Waiting.push_back(Id);
  for (const AttemptId &Id : Waiting)
    refuseWaiting(Id, Reason::Draining, Now, Out);
  return Out;
}

bool GuardCore::isIdle() const { return Attempts.empty(); }

GuardActions GuardCore::tick(Time Now) {
  GuardActions Out;
  for (const BackendServerName &Name : Servers.tick(Now))
    Crashes.recordCrash(crashId(Name, Servers.find(Name)->Incarnation), {}, Now,
                        Out);
  Keys.expire(Now);
  Crashes.tick(Servers.countHeard(CrashTable::CrashRetention, Now), Now, Out);
  abortOverdue(Now, Out);
  Risk.tick(Now);
  reportOverdue(Now, Out);
  refuseRisky(Now, Out);
  publishRisk(Now);
  refuseExpired(Now, Out);
  updateAllQueues(Now, Out);
  for (auto &[Service, Q] : Queues)
    Q.Shares.tick(Q.Queue, Now);
  Servers.publish(Out);
  return Out;
}

void GuardCore::publishRisk(Time Now) {
  for (const auto &[Name, ConstServer] : Servers.servers()) {
    if (RiskBasedServices.count(ConstServer.Record.Service) == 0)
      continue;
    GuardedServer &Server = *Servers.find(Name);
    bool WasSuspected = Server.Record.Health == BackendServerHealth::Suspected;
    bool IsSuspected = SharesRisk && Risk.isUnproven(Name, Now);
    if (IsSuspected != WasSuspected)
      Servers.setHealth(Server,
                        IsSuspected ? BackendServerHealth::Suspected
                                    : BackendServerHealth::Healthy,
                        Server.HealthWeight, Now);
  }
}

std::vector<GuardedServerStatus> GuardCore::status() const {
  std::vector<GuardedServerStatus> List;
  for (const auto &[Name, Server] : Servers.servers()) {
    GuardedServerStatus Status{Server.Record, Server.Address, Server.InProgress,
                               0};
    for (const auto &[Id, A] : Attempts)
      if (!A.Running && A.Info.Preferred == Name)
        ++Status.Waiting;
    List.push_back(std::move(Status));
  }
  return List;
}

} // namespace teaselhitch

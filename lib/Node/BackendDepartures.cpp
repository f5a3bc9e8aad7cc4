/// \file
/// The part of the backends thread that records departures of backend servers
/// outside of the process and replies to them. See docs/design/departures.md.

#include "BackendsThread.h"
#include "teaselhitch/Support/Log.h"

#include <utility>

namespace teaselhitch {

Result<GuardActions> BackendsThread::accept(const Departure &D) {
  return Core->drainServer(D.Name, D.Incarnation, now());
}

std::optional<DepartedServer>
BackendsThread::departureIn(const Announcement &A) {
  // Without sequence numbers, a server may announce that it is ready again.
  if (A.State != BackendServerState::Draining || A.Sequence == 0)
    return std::nullopt;
  return DepartedServer{A.Name, A.Incarnation};
}

std::optional<DepartedServer> BackendsThread::departureIn(const Departure &D) {
  return DepartedServer{D.Name, D.Incarnation};
}

void BackendsThread::perform(const KeepDeparture &Action) {
  Departures.record(Action.Server);
}

void BackendsThread::recordDepartures() {
  DepartureRecords::Requests Due = Departures.tick(now());
  if (Due.Store)
    perform(*Due.Store);
  for (NodeName &Peer : Due.Peers)
    if (!Shared.BackendsToPeers.trySend(OutboundDepartureCopy{
            std::move(Peer), DepartureCopy{Departures.departures()}}))
      logEvent(LogLevel::Warning, "backends", "departure-copy-dropped");
  HasRecords = Departures.isComplete();
  answerDepartures();
  admitServers();
}

void BackendsThread::answerDepartures() {
  std::erase_if(WaitingReplies, [&](const WaitingReply &W) {
    DepartureReply Reply = Departures.replyFor(W.Server, W.ReceivedAt, now());
    if (Reply == DepartureReply::Wait)
      return false;
    if (Reply == DepartureReply::Acknowledge) {
      W.Exchange->reply(Protocol->accepted(Settings.Node));
      return true;
    }
    logEvent(LogLevel::Warning, "backends", "departure-not-saved",
             {{"server", W.Server.Name.str()}});
    W.Exchange->reply(Protocol->refused(
        Error{ErrorCode::Unavailable, "the departure could not be recorded"}));
    return true;
  });
}

void BackendsThread::admitServers() {
  if (HasAdmitted || !Departures.isRead(now()))
    return;
  HasAdmitted = true;
  logEvent(Departures.isReadCompletely() ? LogLevel::Info : LogLevel::Warning,
           "backends", "departures-read",
           {{"complete", Departures.isReadCompletely()}});
  execute(Core->admitServers(now()));
}

void BackendsThread::restoreDepartures(
    const std::vector<DepartedServer> &Restored, const char *Source) {
  for (const DepartedServer &D : Restored)
    logEvent(LogLevel::Info, "backends", "departure-restored",
             {{"server", D.Name.str()}, {"source", Source}});
  execute(Core->restoreDepartures(Restored, now()));
  recordDepartures();
}

} // namespace teaselhitch

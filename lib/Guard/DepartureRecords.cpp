#include "teaselhitch/Guard/DepartureRecords.h"

namespace teaselhitch {

namespace {

/// How long an acknowledgement waits for the second kind of record once there
/// is one. In calm, both take milliseconds.
constexpr Duration SecondRecordWait = Duration(250);
/// Backend servers wait one second for a reply.
constexpr Duration MaxReplyDelay = Duration(900);
/// How long a process that starts waits for the store if the peers have
/// answered, or for the peers if the store has.
constexpr Duration OtherSourceWait = Duration(500);
/// Limit of the wait for both. A node that finds neither serves its own callers
/// at least; the platform allows a restarted node this time.
constexpr Duration MaxReadTime = Duration::seconds(3);

} // namespace

DepartureRecords::Requests DepartureRecords::tick(Time Now) {
  if (!StartedAt)
    StartedAt = Now;
  return {Log.tick(Now), Copies.tick(Log.departures(), HasPredecessors, Now)};
}

std::vector<DepartedServer> DepartureRecords::reply(const TableReply &Reply,
                                                    Time Now) {
  std::vector<DepartedServer> Unknown = Log.reply(Reply, Now);
  if (IsRead)
    std::erase_if(Unknown,
                  [](const DepartedServer &S) { return !S.Incarnation; });
  return Unknown;
}

std::vector<DepartedServer>
DepartureRecords::reply(const NodeName &Peer, const DepartureCopyKept &Reply) {
  Copies.receive(Peer, DepartureSet(Reply.Servers));
  std::vector<DepartedServer> Unknown;
  for (const DepartedServer &S : Reply.Servers) {
    if (IsRead && !S.Incarnation)
      continue;
    if (Log.record(S))
      Unknown.push_back(S);
  }
  return Unknown;
}

DepartureReply DepartureRecords::replyFor(const DepartedServer &Server,
                                          Time ReceivedAt, Time Now) const {
  bool IsInStore = Log.isSaved(Server);
  bool IsAtPeers = Copies.areKept(DepartureSet(std::vector{Server}));
  if (IsInStore && (IsAtPeers || Copies.empty()))
    return DepartureReply::Acknowledge;
  Duration Waited = Now - ReceivedAt;
  if ((IsInStore || IsAtPeers) && Waited >= SecondRecordWait)
    return DepartureReply::Acknowledge;
  return Waited >= MaxReplyDelay ? DepartureReply::Refuse
                                 : DepartureReply::Wait;
}

bool DepartureRecords::isRead(Time Now) {
  if (IsRead || !StartedAt)
    return IsRead;
  bool HasStore = Log.hasRead();
  bool HasPeers = Copies.haveAnswered(Now);
  Duration Waited = Now - *StartedAt;
  IsReadCompletely = HasStore && HasPeers;
  IsRead = IsReadCompletely || Waited >= MaxReadTime ||
           ((HasStore || HasPeers) && Waited >= OtherSourceWait);
  return IsRead;
}

bool DepartureRecords::isComplete() const {
  return Log.isSaved() && (Copies.empty() || Copies.areKept(Log.departures()));
}

} // namespace teaselhitch

#include "PlatformThread.h"

#include "teaselhitch/Config/Head.h"

#include <algorithm>
#include <utility>

namespace teaselhitch {

namespace {

/// Interval of audit uploads. 1,400 nodes that all have new events make 47
/// writes per second.
constexpr Duration AuditInterval = Duration::seconds(30);
constexpr std::size_t MaxAuditBatch = 1000;
/// Delay before a failed call to the node directory is retried.
constexpr Duration DirectoryRetryDelay = Duration(500);

/// Reads per second by which all nodes together check whether the store was
/// restored, in fleets of 80 to 1,200 nodes. Smaller fleets check each 2 s, so
/// that a node that ends soon after a restore has written its rows again;
/// larger ones each 30 s.
constexpr double FleetProbeRate = 40;
constexpr Duration MinProbeInterval = Duration::seconds(2);
constexpr Duration MaxProbeInterval = Duration::seconds(30);
/// Share of the interval that is random, so that nodes which start together do
/// not make their calls together.
constexpr double ProbeJitter = 0.25;

/// After a call without an answer, calls are refused for this time. Otherwise
/// each of many queued calls would block for the whole time limit in turn.
constexpr Duration SuspensionPeriod = Duration(500);

bool hasAnswer(TableStatus Status) {
  return Status != TableStatus::Unavailable && Status != TableStatus::Unknown;
}

} // namespace

Result<std::unique_ptr<PlatformThread>>
PlatformThread::create(const NodeSettings &Settings,
                       const PlatformAdapter &Platform,
                       std::uint64_t Incarnation, SharedState &Shared) {
  std::unique_ptr<PlatformThread> NewThread(
      new PlatformThread(Settings, Incarnation, Shared));
  BOOST_LEAF_ASSIGN(NewThread->Table, Platform.tableStore());
  BOOST_LEAF_ASSIGN(NewThread->Objects, Platform.objectStore());
  BOOST_LEAF_ASSIGN(NewThread->Directory, Platform.nodeDirectory());
  NewThread->SelfRecord.Name = Settings.Node;
  NewThread->SelfRecord.Address = Settings.Peers;
  NewThread->SelfRecord.Domain = Settings.Domain;
  NewThread->SelfRecord.Version.Incarnation = Incarnation;
  PlatformThread *Self = NewThread.get();
  Self->subscribe(Shared.CallersToPlatform, [Self](TableRequest &&Request) {
    Self->send(Self->Shared.PlatformToCallers, Self->IsCallersNoticeDue,
               Self->runTableOperation(Request));
  });
  Self->subscribe(Shared.BackendsToPlatform, [Self](TableRequest &&Request) {
    Self->send(Self->Shared.PlatformToBackends, Self->IsBackendsNoticeDue,
               Self->runTableOperation(Request));
  });
  Self->subscribe(
      Shared.PeersToPlatform, [Self](PeersToPlatformMessage &&Message) {
        PlatformToPeersMessage Reply = std::visit(
            Overloaded{[&](TableRequest &M) {
                         return PlatformToPeersMessage(
                             Self->runTableOperation(M));
                       },
                       [&](PieceReadRequest &M) {
                         return PlatformToPeersMessage(Self->readPiece(M));
                       }},
            Message);
        (void)Self->Shared.PlatformToPeers.trySend(Reply);
      });
  if (Settings.UploadsAudit)
    Self->Loop.schedulePeriodic(AuditInterval, [Self] { Self->uploadAudit(); });
  if (Self->Directory) {
    Self->Loop.post([Self] { Self->joinDirectory(); });
    Self->scheduleProbe();
  }
  return NewThread;
}

void PlatformThread::send(Channel<TableReply> &To, bool &IsNoticeDue,
                          TableReply Reply) {
  if (!sendNotice(To, IsNoticeDue))
    return;
  Reply.StoreIncarnation = StoreIncarnation;
  (void)To.trySend(Reply);
}

bool PlatformThread::sendNotice(Channel<TableReply> &To, bool &IsNoticeDue) {
  if (!IsNoticeDue)
    return true;
  TableReply Notice;
  Notice.Status = TableStatus::StoreRestored;
  Notice.StoreIncarnation = StoreIncarnation;
  IsNoticeDue = !To.trySend(Notice);
  return !IsNoticeDue;
}

void PlatformThread::updateStoreIncarnation() {
  std::uint64_t Current = Table->incarnation();
  if (Directory)
    Current = std::max(Current, Directory->incarnation());
  if (Current <= StoreIncarnation)
    return;
  bool IsRestored = StoreIncarnation != 0;
  StoreIncarnation = Current;
  if (!IsRestored)
    return;
  logEvent(LogLevel::Warning, "platform", "store-restored",
           {{"incarnation", static_cast<std::int64_t>(Current)}});
  Restores.add();
  IsCallersNoticeDue = true;
  IsBackendsNoticeDue = true;
  // The directory is read again after this node has registered: of two nodes
  // whose entries were lost, the one that registers last finds the other.
  if (Directory && !IsLeaving && std::exchange(IsRegistered, false))
    Loop.post([this] { joinDirectory(); });
}

void PlatformThread::scheduleProbe() {
  std::shared_ptr<const FleetView> View = Shared.View.current();
  std::size_t Nodes = View && View->Nodes ? View->Nodes->size() : 1;
  Duration Interval =
      std::clamp(Duration::seconds(static_cast<double>(Nodes) / FleetProbeRate),
                 MinProbeInterval, MaxProbeInterval);
  Loop.schedule(Interval * (1 - ProbeJitter * Random.uniform()), [this] {
    if (!IsLeaving)
      probeDirectory();
    scheduleProbe();
  });
}

void PlatformThread::probeDirectory() {
  // Calls of the store are limited and cost money. A store that names no
  // incarnation would not tell a restore either.
  if (isSuspended() || StoreIncarnation == 0)
    return;
  handleError([&]() -> Result<void> { return Directory->probe(SelfRecord); },
              [&](const Error &) { updateSuspension(false); });
  sendNotices();
}

void PlatformThread::sendNotices() {
  updateStoreIncarnation();
  sendNotice(Shared.PlatformToCallers, IsCallersNoticeDue);
  sendNotice(Shared.PlatformToBackends, IsBackendsNoticeDue);
}

void PlatformThread::joinDirectory() {
  if (IsLeaving)
    return;
  IsRegistered = IsRegistered || registerNode();
  bool IsDone = IsRegistered && readDirectory();
  updateStoreIncarnation();
  if (!IsDone)
    Loop.schedule(DirectoryRetryDelay, [this] { joinDirectory(); });
}

bool PlatformThread::registerNode() {
  return handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Directory->registerNode(SelfRecord));
        updateStoreIncarnation();
        return true;
      },
      [](const Error &E) {
        logEvent(LogLevel::Warning, "platform", "directory-write-failed",
                 {{"error", E.Message}});
        return false;
      });
}

bool PlatformThread::readDirectory() {
  return handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(Addresses, Directory->read());
        logEvent(LogLevel::Info, "platform", "directory-read",
                 {{"nodes", static_cast<std::int64_t>(Addresses.size())}});
        return Shared.PlatformToPeers.trySend(
            DiscoveredNodes{std::move(Addresses)});
      },
      [](const Error &E) {
        logEvent(LogLevel::Warning, "platform", "directory-read-failed",
                 {{"error", E.Message}});
        return false;
      });
}

void PlatformThread::leave() {
  if (!Directory)
    return;
  Loop.post([this] {
    IsLeaving = true;
    handleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(Directory->remove(SelfRecord));
          return true;
        },
        [](const Error &E) {
          logEvent(LogLevel::Warning, "platform", "directory-write-failed",
                   {{"error", E.Message}});
          return false;
        });
    sendNotices();
  });
}

void PlatformThread::checkStore() {
  Loop.post([this] {
    if (Directory)
      probeDirectory();
    IsStoreChecked = true;
  });
}

void PlatformThread::uploadAudit() {
  if (!PendingBatch) {
    std::vector<AuditEvent> Events =
        Shared.Audit.events(UploadedSequence, MaxAuditBatch);
    if (Events.empty())
      return;
    PendingBatch = AuditBatch{auditObjectKey(Settings.Node.str(), Incarnation,
                                             Events.front().Sequence),
                              toJsonLines(Events), Events.back().Sequence};
  }
  if (isSuspended())
    return;
  bool Written = handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(
            Objects->write(PendingBatch->Key, PendingBatch->Bytes));
        return true;
      },
      [&](const Error &E) {
        logEvent(LogLevel::Warning, "platform", "audit-write-failed",
                 {{"error", E.Message}});
        return false;
      });
  updateSuspension(Written);
  if (!Written)
    return;
  UploadedSequence = PendingBatch->LastSequence;
  PendingBatch.reset();
}

void PlatformThread::updateSuspension(bool Answered) {
  if (!Answered)
    SuspendedUntil = now() + SuspensionPeriod;
}

TableReply PlatformThread::runTableOperation(const TableRequest &Request) {
  TableReply Reply;
  Reply.Token = Request.Token;
  Reply.Status = TableStatus::Unavailable;
  if (isSuspended())
    return Reply;
  // A version from before a restore may belong to other content by now.
  if (Request.Operation == TableOperation::Replace &&
      Request.StoreIncarnation != 0 &&
      Request.StoreIncarnation < StoreIncarnation) {
    Reply.Status = TableStatus::Conflict;
    return Reply;
  }
  Reply = runTableRequest(*Table, Request);
  updateStoreIncarnation();
  updateSuspension(hasAnswer(Reply.Status));
  return Reply;
}

PieceReadResult PlatformThread::readPiece(const PieceReadRequest &Request) {
  PieceReadResult Reply{Request.Hash, std::nullopt};
  if (isSuspended())
    return Reply;
  Reply.Bytes =
      handleError([&] { return Objects->read(pieceObjectKey(Request.Hash)); },
                  [&](const Error &E) -> std::optional<std::string> {
                    logEvent(LogLevel::Warning, "platform", "piece-read-failed",
                             {{"piece", Request.Hash}, {"error", E.Message}});
                    updateSuspension(false);
                    return std::nullopt;
                  });
  return Reply;
}

} // namespace teaselhitch

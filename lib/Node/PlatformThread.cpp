#include "PlatformThread.h"

#include "teaselhitch/Config/Head.h"

namespace teaselhitch {

namespace {

/// Interval of audit uploads. 1,400 nodes that all have new events make 47
/// writes per second.
constexpr Duration AuditInterval = Duration::seconds(30);
constexpr std::size_t MaxAuditBatch = 1000;
/// Delay before a failed call to the node directory is retried.
constexpr Duration DirectoryRetryDelay = Duration(500);

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
  // If a reply is dropped, the requester treats the result of the operation as
  // unknown after its own time limit.
  Self->subscribe(Shared.CallersToPlatform, [Self](TableRequest &&Request) {
    (void)Self->Shared.PlatformToCallers.trySend(
        Self->runTableOperation(Request));
  });
  Self->subscribe(Shared.BackendsToPlatform, [Self](TableRequest &&Request) {
    (void)Self->Shared.PlatformToBackends.trySend(
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
  if (Self->Directory)
    Self->Loop.post([Self] { Self->joinDirectory(); });
  return NewThread;
}

void PlatformThread::joinDirectory() {
  IsRegistered = IsRegistered || registerNode();
  if (!IsRegistered || !readDirectory())
    Loop.schedule(DirectoryRetryDelay, [this] { joinDirectory(); });
}

bool PlatformThread::registerNode() {
  return handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Directory->registerNode(SelfRecord));
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
  Reply = runTableRequest(*Table, Request);
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

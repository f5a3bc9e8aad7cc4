#include "PlatformDuty.h"

#include "teaselhitch/Config/Head.h"

namespace teaselhitch {

namespace {

/// At 1,400 nodes that all have new events: 47 writes a second.
constexpr Duration AuditInterval = Duration::seconds(30);
constexpr std::size_t MaxAuditBatch = 1000;
/// Pause after a call to the node directory that failed.
constexpr Duration DirectoryRetry = Duration(500);

/// After a call without an answer, calls are refused for this time. Otherwise
/// each of many waiting calls would take the whole time limit in turn.
constexpr Duration SuspensionTime = Duration(500);

bool hasAnswer(TableStatus Status) {
  return Status != TableStatus::Unavailable && Status != TableStatus::Unknown;
}

} // namespace

Result<std::unique_ptr<PlatformDuty>>
PlatformDuty::create(const NodeSettings &Settings,
                     const PlatformAdapter &Platform, std::uint64_t Incarnation,
                     Channels &Rings) {
  std::unique_ptr<PlatformDuty> Made(
      new PlatformDuty(Settings, Incarnation, Rings));
  BOOST_LEAF_ASSIGN(Made->Table, Platform.tableStore());
  BOOST_LEAF_ASSIGN(Made->Objects, Platform.objectStore());
  BOOST_LEAF_ASSIGN(Made->Directory, Platform.nodeDirectory());
  Made->Self.Name = Settings.Node;
  Made->Self.Address = Settings.Peers;
  Made->Self.Domain = Settings.Domain;
  Made->Self.Version.Incarnation = Incarnation;
  PlatformDuty *Self = Made.get();
  // A receiver that does not take the reply counts the operation as unknown at
  // its own time limit.
  Self->receive(Rings.CallersToPlatform, [Self](TableRequest &&Request) {
    (void)Self->Rings.PlatformToCallers.trySend(Self->runTable(Request));
  });
  Self->receive(Rings.BackendsToPlatform, [Self](TableRequest &&Request) {
    (void)Self->Rings.PlatformToBackends.trySend(Self->runTable(Request));
  });
  Self->receive(Rings.PeersToPlatformRing, [Self](PeersToPlatform &&Message) {
    PlatformToPeers Reply = std::visit(
        Overloaded{
            [&](TableRequest &M) { return PlatformToPeers(Self->runTable(M)); },
            [&](ReadPiece &M) { return PlatformToPeers(Self->readPiece(M)); }},
        Message);
    (void)Self->Rings.PlatformToPeersRing.trySend(Reply);
  });
  if (Settings.UploadsAudit)
    Self->Loop.every(AuditInterval, [Self] { Self->uploadAudit(); });
  if (Self->Directory)
    Self->Loop.post([Self] { Self->joinDirectory(); });
  return Made;
}

void PlatformDuty::joinDirectory() {
  HasEntered = HasEntered || enterDirectory();
  if (!HasEntered || !readDirectory())
    Loop.after(DirectoryRetry, [this] { joinDirectory(); });
}

bool PlatformDuty::enterDirectory() {
  return handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Directory->enter(Self));
        return true;
      },
      [](const Error &E) {
        logEvent(LogLevel::Warning, "platform", "directory-write-failed",
                 {{"error", E.Message}});
        return false;
      });
}

bool PlatformDuty::readDirectory() {
  return handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(Addresses, Directory->read());
        logEvent(LogLevel::Info, "platform", "directory-read",
                 {{"nodes", static_cast<std::int64_t>(Addresses.size())}});
        return Rings.PlatformToPeersRing.trySend(
            NodesFound{std::move(Addresses)});
      },
      [](const Error &E) {
        logEvent(LogLevel::Warning, "platform", "directory-read-failed",
                 {{"error", E.Message}});
        return false;
      });
}

void PlatformDuty::leave() {
  if (!Directory)
    return;
  Loop.post([this] {
    handleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(Directory->remove(Self));
          return true;
        },
        [](const Error &E) {
          logEvent(LogLevel::Warning, "platform", "directory-write-failed",
                   {{"error", E.Message}});
          return false;
        });
  });
}

void PlatformDuty::uploadAudit() {
  if (!Pending) {
    std::vector<AuditEvent> Events =
        Rings.Audit.events(UploadedSequence, MaxAuditBatch);
    if (Events.empty())
      return;
    Pending = AuditBatch{auditObjectKey(Settings.Node.str(), Incarnation,
                                        Events.front().Sequence),
                         toJsonLines(Events), Events.back().Sequence};
  }
  if (isSuspended())
    return;
  bool Written = handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Objects->write(Pending->Key, Pending->Bytes));
        return true;
      },
      [&](const Error &E) {
        logEvent(LogLevel::Warning, "platform", "audit-write-failed",
                 {{"error", E.Message}});
        return false;
      });
  noteResult(Written);
  if (!Written)
    return;
  UploadedSequence = Pending->LastSequence;
  Pending.reset();
}

void PlatformDuty::noteResult(bool Answered) {
  if (!Answered)
    SuspendedUntil = now() + SuspensionTime;
}

TableReply PlatformDuty::runTable(const TableRequest &Request) {
  TableReply Reply;
  Reply.Token = Request.Token;
  Reply.Status = TableStatus::Unavailable;
  if (isSuspended())
    return Reply;
  Reply = runTableRequest(*Table, Request);
  noteResult(hasAnswer(Reply.Status));
  return Reply;
}

PieceRead PlatformDuty::readPiece(const ReadPiece &Request) {
  PieceRead Reply{Request.Hash, std::nullopt};
  if (isSuspended())
    return Reply;
  Reply.Bytes =
      handleError([&] { return Objects->read(pieceObjectKey(Request.Hash)); },
                  [&](const Error &E) -> std::optional<std::string> {
                    logEvent(LogLevel::Warning, "platform", "piece-read-failed",
                             {{"piece", Request.Hash}, {"error", E.Message}});
                    noteResult(false);
                    return std::nullopt;
                  });
  return Reply;
}

} // namespace teaselhitch

#include "PlatformDuty.h"

#include "teaselhitch/Config/Head.h"
#include "teaselhitch/Platform/HttpStores.h"

namespace teaselhitch {

namespace {

/// At 1,400 nodes that all have new events: 47 writes a second.
constexpr Duration AuditInterval = Duration::seconds(30);
constexpr std::size_t MaxAuditBatch = 1000;

/// After a call without an answer, calls are refused for this time. Otherwise
/// each of many waiting calls would take the whole time limit in turn.
constexpr Duration SuspensionTime = Duration(500);

bool hasAnswer(TableStatus Status) {
  return Status != TableStatus::Unavailable && Status != TableStatus::Unknown;
}

} // namespace

Result<std::unique_ptr<PlatformDuty>>
PlatformDuty::create(const NodeSettings &Settings, std::uint64_t Incarnation,
                     Channels &Rings) {
  std::unique_ptr<PlatformDuty> Made(
      new PlatformDuty(Settings, Incarnation, Rings));
  BOOST_LEAF_ASSIGN(
      Made->Table,
      createHttpTableStore(Settings.Platform, Settings.PlatformTimeout));
  BOOST_LEAF_ASSIGN(
      Made->Objects,
      createHttpObjectStore(Settings.Platform, Settings.PlatformTimeout));
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
  Self->Loop.every(AuditInterval, [Self] { Self->uploadAudit(); });
  return Made;
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

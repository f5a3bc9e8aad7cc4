#include "teaselhitch/Config/Publisher.h"

#include "teaselhitch/Support/Hash.h"

#include <cassert>
#include <set>
#include <utility>

namespace teaselhitch {

namespace {

/// The value of an operation or its error.
template <typename T> struct ValueOrError {
  std::optional<T> Value;
  Error Failure;

  explicit operator bool() const { return Value.has_value(); }
};

/// Runs Operation, which returns Result<T>, once and captures its error.
template <typename OperationT> auto runOnce(OperationT &&Operation) {
  using T = typename detail::ResultValue<decltype(Operation())>::Type;
  return handleError(
      [&]() -> Result<ValueOrError<T>> {
        Result<T> R = Operation();
        if (!R)
          return R.error();
        return ValueOrError<T>{std::move(*R), {}};
      },
      [](const Error &E) {
        return ValueOrError<T>{std::nullopt, E};
      });
}

/// Whether the operation may succeed if it is retried.
bool isTransient(const Error &E) {
  return E.Code == ErrorCode::Unavailable || E.Code == ErrorCode::Timeout;
}

} // namespace

const char *publishStatusName(PublishStatus Status) {
  switch (Status) {
  case PublishStatus::Published:
    return "published";
  case PublishStatus::Unchanged:
    return "unchanged";
  case PublishStatus::LostRace:
    return "lost-race";
  case PublishStatus::UnknownBase:
    return "unknown-base";
  case PublishStatus::InvalidRequest:
    return "invalid-request";
  case PublishStatus::StoreUnavailable:
    return "store-unavailable";
  case PublishStatus::StoreFault:
    return "store-fault";
  }
  return "store-fault";
}

/// The state of one publication.
struct ConfigPublisher::Attempt {
  Attempt(ConfigPublisher &Owner, const PublishRequest &Request, PieceSet Set)
      : Owner(Owner), Request(Request), Set(std::move(Set)) {}

  ConfigPublisher &Owner;
  const PublishRequest &Request;
  PieceSet Set;
  PublishOutcome Outcome;
  /// The head at the start, which is the parent of the publication; nullopt for
  /// the first publication.
  std::optional<HeadRow> ParentRow;

  PublishOutcome run();

private:
  enum class Step { Done, Continue };

  /// Runs Operation up to MaxTries times while it fails with a transient error.
  template <typename OperationT> auto retry(OperationT &&Operation) {
    auto R = runOnce(Operation);
    for (unsigned Try = 1; Try < MaxTries && !R && isTransient(R.Failure);
         ++Try) {
      backOff(Try);
      R = runOnce(Operation);
    }
    return R;
  }

  /// Waits before retry number Try, which starts at 1.
  void backOff(unsigned Try) {
    Owner.Sleep(InitialBackoff * static_cast<double>(1U << (Try - 1)));
  }

  Step fail(const Error &E);
  Step reportLostRace(const PublishedHead &Winner);
  Step checkBase();
  bool readPiece(const PieceHash &Hash,
                 std::map<PieceHash, std::string> &Contents);
  std::set<PieceHash> storedPieces();
  Step writePieces();
  bool writePiece(const PieceHash &Hash, const std::string &Bytes);
  Step writeHead();
  Step resolveWrite(const PublishedHead &Next);
  Step succeed(const PublishedHead &Next);
  bool writeHistory(const PublishedHead &Head);
  PublishedHead nextHead() const;
  std::optional<ObjectSet> readSet(PublishedSetReader &Reader,
                                   const PieceHash &Manifest);
  std::optional<PieceHash> baseManifest();
};

PublishOutcome ConfigPublisher::Attempt::run() {
  // Strings that cannot be parsed back, such as invalid UTF-8, must not reach
  // the row that all nodes read.
  if (auto Parsed = runOnce([&] { return parseHead(toJsonText(nextHead())); });
      !Parsed) {
    Outcome.Status = PublishStatus::InvalidRequest;
    Outcome.Detail = "who and message must be UTF-8";
    return Outcome;
  }
  auto Head = retry([&] { return readHead(Owner.Table); });
  if (!Head) {
    fail(Head.Failure);
    return Outcome;
  }
  ParentRow = *Head.Value;
  if (checkBase() == Step::Continue && writePieces() == Step::Continue)
    writeHead();
  return Outcome;
}

ConfigPublisher::Attempt::Step ConfigPublisher::Attempt::fail(const Error &E) {
  Outcome.Status = isTransient(E) ? PublishStatus::StoreUnavailable
                                  : PublishStatus::StoreFault;
  Outcome.Detail = E.Message;
  return Step::Done;
}

ConfigPublisher::Attempt::Step ConfigPublisher::Attempt::checkBase() {
  std::uint64_t Current = 0;
  if (ParentRow) {
    Outcome.Head = ParentRow->Head;
    Current = ParentRow->Head.Version;
    if (ParentRow->Head.Manifest == Set.ManifestHash) {
      Outcome.Status = PublishStatus::Unchanged;
      return Step::Done;
    }
  }
  if (!Request.Base || *Request.Base == Current)
    return Step::Continue;
  if (*Request.Base < Current)
    return reportLostRace(ParentRow->Head);
  Outcome.Status = PublishStatus::UnknownBase;
  return Step::Done;
}

/// The manifest hash of the base version; nullopt if it cannot be read.
std::optional<PieceHash> ConfigPublisher::Attempt::baseManifest() {
  if (!Request.Base || (ParentRow && *Request.Base == ParentRow->Head.Version))
    return ParentRow ? ParentRow->Head.Manifest : PieceHash();
  if (*Request.Base == 0)
    return PieceHash();
  auto Publication =
      retry([&] { return readPublication(Owner.Table, *Request.Base); });
  if (!Publication)
    return std::nullopt;
  return Publication.Value->Manifest;
}

std::optional<ObjectSet>
ConfigPublisher::Attempt::readSet(PublishedSetReader &Reader,
                                  const PieceHash &Manifest) {
  return retry([&] { return Reader.read(Manifest); }).Value;
}

ConfigPublisher::Attempt::Step
ConfigPublisher::Attempt::reportLostRace(const PublishedHead &Winner) {
  Outcome.Status = PublishStatus::LostRace;
  Outcome.Head = Winner;
  std::optional<PieceHash> Base = baseManifest();
  if (!Base)
    return Step::Done;
  PublishedSetReader Reader(Owner.Objects);
  std::optional<ObjectSet> Before = readSet(Reader, *Base);
  std::optional<ObjectSet> After = readSet(Reader, Winner.Manifest);
  if (!Before || !After)
    return Step::Done;
  Outcome.BaseToWinner = diffObjects(*Before, *After);
  Outcome.DifferencesKnown = true;
  return Step::Done;
}

bool ConfigPublisher::Attempt::writePiece(const PieceHash &Hash,
                                          const std::string &Bytes) {
  // Repeating a write is harmless, because a key always holds the same bytes.
  auto Written = retry([&]() -> Result<bool> {
    Result<void> R = Owner.Objects.write(pieceObjectKey(Hash), Bytes);
    if (!R)
      return R.error();
    return true;
  });
  if (!Written) {
    fail(Written.Failure);
    return false;
  }
  ++Outcome.PiecesWritten;
  Outcome.BytesWritten += Bytes.size();
  return true;
}

/// Reads a piece of the parent's set into Contents. Returns false if the read
/// fails or the bytes do not match the hash.
bool ConfigPublisher::Attempt::readPiece(
    const PieceHash &Hash, std::map<PieceHash, std::string> &Contents) {
  auto Read = retry([&] { return Owner.Objects.read(pieceObjectKey(Hash)); });
  if (!Read || !*Read.Value || sha256Hex(**Read.Value) != Hash)
    return false;
  Contents.emplace(Hash, std::move(**Read.Value));
  return true;
}

/// The hashes of the parent's set, which was stored before its head was
/// written. Empty if the set cannot be read; all pieces are then written again.
std::set<PieceHash> ConfigPublisher::Attempt::storedPieces() {
  std::set<PieceHash> Stored;
  std::map<PieceHash, std::string> Contents;
  if (!ParentRow || !readPiece(ParentRow->Head.Manifest, Contents))
    return Stored;
  auto Find = [&](const PieceHash &Hash) -> const std::string * {
    for (const auto *Source : {&Set.Pieces, &Contents})
      if (auto It = Source->find(Hash); It != Source->end())
        return &It->second;
    return nullptr;
  };
  auto WalkParent = [&] { return walkPieces(ParentRow->Head.Manifest, Find); };
  auto IndexWalk = runOnce(WalkParent);
  if (!IndexWalk)
    return Stored;
  for (const PieceHash &Index : IndexWalk.Value->Missing)
    if (!readPiece(Index, Contents))
      return Stored;
  if (auto FullWalk = runOnce(WalkParent))
    for (const auto *Hashes :
         {&FullWalk.Value->Present, &FullWalk.Value->Missing})
      Stored.insert(Hashes->begin(), Hashes->end());
  return Stored;
}

ConfigPublisher::Attempt::Step ConfigPublisher::Attempt::writePieces() {
  std::set<PieceHash> Stored = storedPieces();
  for (const auto &[Hash, Bytes] : Set.Pieces)
    if (Stored.count(Hash) == 0 && !writePiece(Hash, Bytes))
      return Step::Done;
  // After this write each version up to the parent has a history row. Every
  // publisher does this, so resolveWrite() can look up who published a version
  // that is no longer the head.
  if (ParentRow && !writeHistory(ParentRow->Head))
    return Step::Done;
  return Step::Continue;
}

PublishedHead ConfigPublisher::Attempt::nextHead() const {
  PublishedHead Next;
  if (ParentRow) {
    Next.ParentVersion = ParentRow->Head.Version;
    Next.ParentManifest = ParentRow->Head.Manifest;
  }
  Next.Version = Next.ParentVersion + 1;
  Next.Manifest = Set.ManifestHash;
  Next.PublishId = Request.PublishId;
  Next.Author = Request.Author;
  Next.TimeMs = Request.TimeMs;
  Next.Message = Request.Message;
  return Next;
}

ConfigPublisher::Attempt::Step ConfigPublisher::Attempt::writeHead() {
  PublishedHead Next = nextHead();
  std::string Json = toJsonText(Next);
  Error LastError;
  for (unsigned Try = 0; Try != MaxTries; ++Try) {
    if (Try != 0)
      backOff(Try);
    // All tries expect the same row version, so at most one takes effect.
    auto Written = runOnce([&] {
      return ParentRow ? Owner.Table.replace(ConfigTable, ConfigHeadKey, Json,
                                             ParentRow->RowVersion)
                       : Owner.Table.insert(ConfigTable, ConfigHeadKey, Json);
    });
    if (Written)
      return succeed(Next);
    LastError = Written.Failure;
    if (LastError.Code == ErrorCode::InvalidInput)
      return fail(LastError);
    if (LastError.Code == ErrorCode::Unavailable)
      continue;
    // A Conflict may be caused by an earlier try of this publication.
    if (LastError.Code != ErrorCode::Conflict)
      Outcome.MayHaveTakenEffect = true;
    if (resolveWrite(Next) == Step::Done)
      return Step::Done;
    if (LastError.Code == ErrorCode::Conflict)
      LastError = {ErrorCode::Unavailable,
                   "the head was changed but cannot be read back"};
  }
  return fail(LastError);
}

/// Reads the head back to determine the result of writing Next. Returns
/// Step::Continue if the result is still unknown or the write has not taken
/// effect.
ConfigPublisher::Attempt::Step
ConfigPublisher::Attempt::resolveWrite(const PublishedHead &Next) {
  auto Row = runOnce([&] { return readHead(Owner.Table); });
  if (!Row || !*Row.Value)
    return Step::Continue;
  const HeadRow &Current = **Row.Value;
  if (Current.Head.PublishId == Next.PublishId)
    return succeed(Next);
  if (ParentRow && Current.RowVersion == ParentRow->RowVersion)
    return Step::Continue;
  if (Current.Head.Version <= Next.Version || !Outcome.MayHaveTakenEffect)
    return reportLostRace(Current.Head);
  auto HistoryEntry =
      runOnce([&] { return readPublication(Owner.Table, Next.Version); });
  if (!HistoryEntry)
    return Step::Continue;
  return HistoryEntry.Value->PublishId == Next.PublishId
             ? succeed(Next)
             : reportLostRace(Current.Head);
}

ConfigPublisher::Attempt::Step
ConfigPublisher::Attempt::succeed(const PublishedHead &Next) {
  Outcome.Status = PublishStatus::Published;
  Outcome.MayHaveTakenEffect = false;
  Outcome.Head = Next;
  Outcome.HistoryWritten = writeHistory(Next);
  return Step::Done;
}

/// Inserts the history row if it is missing. Returns false on failure.
bool ConfigPublisher::Attempt::writeHistory(const PublishedHead &Head) {
  auto Written = retry([&] {
    return Owner.Table.insert(ConfigHistoryTable, historyKey(Head.Version),
                              toJsonText(Head));
  });
  if (Written || Written.Failure.Code == ErrorCode::Conflict)
    return true;
  if (Outcome.Status != PublishStatus::Published)
    fail(Written.Failure);
  return false;
}

ConfigPublisher::ConfigPublisher(TableStore &Table, ObjectStore &Objects,
                                 std::function<void(Duration)> Sleep)
    : Table(Table), Objects(Objects), Sleep(std::move(Sleep)) {}

PublishOutcome ConfigPublisher::publish(const ObjectSet &Set,
                                        const PublishRequest &Request) {
  assert(!Request.PublishId.empty() &&
         "publications are distinguished by their id");
  return Attempt(*this, Request, splitIntoPieces(Set)).run();
}

} // namespace teaselhitch

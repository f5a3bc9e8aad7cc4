#include "teaselhitch/Config/Publisher.h"

#include "teaselhitch/Support/Hash.h"

#include <cassert>
#include <set>
#include <utility>

namespace teaselhitch {

namespace {

/// The value of an operation, or its error as a value.
template <typename T> struct Answer {
  std::optional<T> Value;
  Error Failure;

  explicit operator bool() const { return Value.has_value(); }
};

/// Runs Operation, which returns Result<T>, once.
template <typename OperationT> auto runOnce(OperationT &&Operation) {
  using T = typename detail::ResultValue<decltype(Operation())>::Type;
  return handleError(
      [&]() -> Result<Answer<T>> {
        Result<T> R = Operation();
        if (!R)
          return R.error();
        return Answer<T>{std::move(*R), {}};
      },
      [](const Error &E) {
        return Answer<T>{std::nullopt, E};
      });
}

/// True if the same operation may succeed later.
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

/// One publication.
struct ConfigPublisher::Attempt {
  Attempt(ConfigPublisher &Owner, const PublishRequest &Request, PieceSet Set)
      : Owner(Owner), Request(Request), Set(std::move(Set)) {}

  ConfigPublisher &Owner;
  const PublishRequest &Request;
  PieceSet Set;
  PublishOutcome Outcome;
  /// The head found at the start, which the publication goes on top of.
  std::optional<HeadRow> Found;

  PublishOutcome run();

private:
  enum class Step { Done, Next };

  /// Runs Operation up to MaxTries times while its error is transient.
  template <typename OperationT> auto retry(OperationT &&Operation) {
    auto R = runOnce(Operation);
    for (unsigned Try = 1; Try < MaxTries && !R && isTransient(R.Failure);
         ++Try) {
      pause(Try);
      R = runOnce(Operation);
    }
    return R;
  }

  /// Waits before the try with this number, from 1.
  void pause(unsigned Try) {
    Owner.Pause(FirstPause * static_cast<double>(1U << (Try - 1)));
  }

  Step fail(const Error &E);
  Step loseTo(const PublishedHead &Winner);
  Step checkBase();
  bool readText(const PieceHash &Hash, std::map<PieceHash, std::string> &Texts);
  std::set<PieceHash> storedPieces();
  Step writePieces();
  bool writePiece(const PieceHash &Hash, const std::string &Bytes);
  Step writeHead();
  Step settle(const PublishedHead &Next);
  Step published(const PublishedHead &Next);
  bool writeHistory(const PublishedHead &Head);
  PublishedHead nextHead() const;
  std::optional<ObjectSet> readSet(PublishedSetReader &Reader,
                                   const PieceHash &Manifest);
  std::optional<PieceHash> baseManifest();
};

PublishOutcome ConfigPublisher::Attempt::run() {
  // Text that does not parse again, such as invalid UTF-8, must not reach the
  // row that all nodes read.
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
  Found = *Head.Value;
  if (checkBase() == Step::Next && writePieces() == Step::Next)
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
  if (Found) {
    Outcome.Head = Found->Head;
    Current = Found->Head.Version;
    if (Found->Head.Manifest == Set.ManifestHash) {
      Outcome.Status = PublishStatus::Unchanged;
      return Step::Done;
    }
  }
  if (!Request.Base || *Request.Base == Current)
    return Step::Next;
  if (*Request.Base < Current)
    return loseTo(Found->Head);
  Outcome.Status = PublishStatus::UnknownBase;
  return Step::Done;
}

/// The manifest that the operator started from, if it can be read.
std::optional<PieceHash> ConfigPublisher::Attempt::baseManifest() {
  if (!Request.Base || (Found && *Request.Base == Found->Head.Version))
    return Found ? Found->Head.Manifest : PieceHash();
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
ConfigPublisher::Attempt::loseTo(const PublishedHead &Winner) {
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
  // A repeated write is harmless, because a key always has the same bytes.
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

/// Reads a text of the head's set into Texts; false if that fails or the bytes
/// are wrong.
bool ConfigPublisher::Attempt::readText(
    const PieceHash &Hash, std::map<PieceHash, std::string> &Texts) {
  auto Read = retry([&] { return Owner.Objects.read(pieceObjectKey(Hash)); });
  if (!Read || !*Read.Value || sha256Hex(**Read.Value) != Hash)
    return false;
  Texts.emplace(Hash, std::move(**Read.Value));
  return true;
}

/// The hashes of the head's set, which were written before the head. Empty if
/// they cannot be read; then everything is written.
std::set<PieceHash> ConfigPublisher::Attempt::storedPieces() {
  std::set<PieceHash> Stored;
  std::map<PieceHash, std::string> Texts;
  if (!Found || !readText(Found->Head.Manifest, Texts))
    return Stored;
  auto Find = [&](const PieceHash &Hash) -> const std::string * {
    for (const auto *Known : {&Set.Pieces, &Texts})
      if (auto It = Known->find(Hash); It != Known->end())
        return &It->second;
    return nullptr;
  };
  auto Walk = [&] { return walkPieces(Found->Head.Manifest, Find); };
  auto ToIndexes = runOnce(Walk);
  if (!ToIndexes)
    return Stored;
  for (const PieceHash &Index : ToIndexes.Value->Missing)
    if (!readText(Index, Texts))
      return Stored;
  if (auto ToPieces = runOnce(Walk))
    for (const auto *Hashes :
         {&ToPieces.Value->Present, &ToPieces.Value->Missing})
      Stored.insert(Hashes->begin(), Hashes->end());
  return Stored;
}

ConfigPublisher::Attempt::Step ConfigPublisher::Attempt::writePieces() {
  std::set<PieceHash> Stored = storedPieces();
  for (const auto &[Hash, Bytes] : Set.Pieces)
    if (Stored.count(Hash) == 0 && !writePiece(Hash, Bytes))
      return Step::Done;
  // From here on each version below the head has a history row, so settle()
  // can tell who published a version that is no longer the head.
  if (Found && !writeHistory(Found->Head))
    return Step::Done;
  return Step::Next;
}

PublishedHead ConfigPublisher::Attempt::nextHead() const {
  PublishedHead Next;
  if (Found) {
    Next.ParentVersion = Found->Head.Version;
    Next.ParentManifest = Found->Head.Manifest;
  }
  Next.Version = Next.ParentVersion + 1;
  Next.Manifest = Set.ManifestHash;
  Next.PublishId = Request.PublishId;
  Next.Who = Request.Who;
  Next.TimeMs = Request.TimeMs;
  Next.Message = Request.Message;
  return Next;
}

ConfigPublisher::Attempt::Step ConfigPublisher::Attempt::writeHead() {
  PublishedHead Next = nextHead();
  std::string Json = toJsonText(Next);
  Error Last;
  for (unsigned Try = 0; Try != MaxTries; ++Try) {
    if (Try != 0)
      pause(Try);
    // Each try expects the same row version, so at most one takes effect.
    auto Written = runOnce([&] {
      return Found ? Owner.Table.replace(ConfigTable, ConfigHeadKey, Json,
                                         Found->RowVersion)
                   : Owner.Table.insert(ConfigTable, ConfigHeadKey, Json);
    });
    if (Written)
      return published(Next);
    Last = Written.Failure;
    if (Last.Code == ErrorCode::InvalidInput)
      return fail(Last);
    if (Last.Code == ErrorCode::Unavailable)
      continue;
    // A Conflict may come from an earlier try of this publication.
    if (Last.Code != ErrorCode::Conflict)
      Outcome.MayHaveTakenEffect = true;
    if (settle(Next) == Step::Done)
      return Step::Done;
    if (Last.Code == ErrorCode::Conflict)
      Last = {ErrorCode::Unavailable,
              "the head was changed but cannot be read back"};
  }
  return fail(Last);
}

/// Reads back what became of the write of Next. Next means that it is not
/// known yet or did not happen yet.
ConfigPublisher::Attempt::Step
ConfigPublisher::Attempt::settle(const PublishedHead &Next) {
  auto Row = runOnce([&] { return readHead(Owner.Table); });
  if (!Row || !*Row.Value)
    return Step::Next;
  const HeadRow &Current = **Row.Value;
  if (Current.Head.PublishId == Next.PublishId)
    return published(Next);
  if (Found && Current.RowVersion == Found->RowVersion)
    return Step::Next;
  if (Current.Head.Version <= Next.Version || !Outcome.MayHaveTakenEffect)
    return loseTo(Current.Head);
  auto Own =
      runOnce([&] { return readPublication(Owner.Table, Next.Version); });
  if (!Own)
    return Step::Next;
  return Own.Value->PublishId == Next.PublishId ? published(Next)
                                                : loseTo(Current.Head);
}

ConfigPublisher::Attempt::Step
ConfigPublisher::Attempt::published(const PublishedHead &Next) {
  Outcome.Status = PublishStatus::Published;
  Outcome.MayHaveTakenEffect = false;
  Outcome.Head = Next;
  Outcome.HistoryWritten = writeHistory(Next);
  return Step::Done;
}

/// Inserts the history row unless it is there.
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
                                 std::function<void(Duration)> Pause)
    : Table(Table), Objects(Objects), Pause(std::move(Pause)) {}

PublishOutcome ConfigPublisher::publish(const ObjectSet &Set,
                                        const PublishRequest &Request) {
  assert(!Request.PublishId.empty() && "publications are told apart by it");
  return Attempt(*this, Request, splitIntoPieces(Set)).run();
}

} // namespace teaselhitch

#include "teaselhitch/Config/Pieces.h"

#include "ObjectJson.h"
#include "teaselhitch/Support/Hash.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

namespace teaselhitch {

namespace {

/// Format version of the manifest and the pieces; incremented when either
/// format changes.
constexpr std::uint64_t FormatVersion = 2;

/// The keys of the manifest in the order of ObjectSet.
constexpr const char *Kinds[] = {"service",      "group", "rule",
                                 "organisation", "limit", "listener"};

/// A half-open range of positions in a vector.
using Range = std::pair<std::size_t, std::size_t>;

/// Splits a sequence of objects or pieces, given by their name hashes, into
/// ranges of at most MaxObjectsPerPiece.
///
/// A range that is too long is split before the object with the smallest hash.
/// The boundaries depend on names, not on positions, so inserting or removing
/// an object leaves the boundaries in other ranges unchanged.
std::vector<Range> splitRanges(const std::vector<std::uint64_t> &Hashes) {
  std::vector<Range> Ranges;
  std::vector<Range> Pending;
  if (!Hashes.empty())
    Pending.emplace_back(0, Hashes.size());
  while (!Pending.empty()) {
    auto [First, Last] = Pending.back();
    Pending.pop_back();
    if (Last - First <= MaxObjectsPerPiece) {
      Ranges.emplace_back(First, Last);
      continue;
    }
    const std::uint64_t *Smallest =
        std::min_element(Hashes.data() + First + 1, Hashes.data() + Last);
    std::size_t Boundary = Smallest - Hashes.data();
    Pending.emplace_back(Boundary, Last);
    Pending.emplace_back(First, Boundary);
  }
  return Ranges;
}

template <typename IteratorT>
std::string serializePiece(IteratorT First, IteratorT Last) {
  boost::json::array Objects;
  for (auto It = First; It != Last; ++It)
    Objects.push_back(detail::toJson(*It));
  return boost::json::serialize(boost::json::object{
      {"kind", detail::kindName(*First)}, {"objects", std::move(Objects)}});
}

/// Adds a piece, an index or a manifest to Set and returns its hash.
PieceHash addPiece(std::string Text, PieceSet &Set) {
  PieceHash Hash = sha256Hex(Text);
  Set.Pieces.insert_or_assign(Hash, std::move(Text));
  return Hash;
}

boost::json::array hashArray(const PieceHash *First, const PieceHash *Last) {
  boost::json::array Array;
  for (const PieceHash *Hash = First; Hash != Last; ++Hash)
    Array.emplace_back(*Hash);
  return Array;
}

std::string serializeIndex(const char *Kind, const PieceHash *First,
                           const PieceHash *Last) {
  return boost::json::serialize(
      boost::json::object{{"kind", Kind}, {"pieces", hashArray(First, Last)}});
}

/// The hashes of the indexes of each kind.
using IndexLists = std::vector<std::vector<PieceHash>>;

std::string serializeManifest(const IndexLists &Indexes) {
  boost::json::object Manifest{{"format", FormatVersion}};
  const char *const *Kind = Kinds;
  for (const std::vector<PieceHash> &KindIndexes : Indexes)
    Manifest[*Kind++] =
        hashArray(KindIndexes.data(), KindIndexes.data() + KindIndexes.size());
  return boost::json::serialize(Manifest);
}

/// Adds the pieces and indexes of one kind to Set and returns the hashes of the
/// indexes.
template <typename T>
std::vector<PieceHash> addKind(const std::vector<T> &Objects, PieceSet &Set) {
  std::vector<std::uint64_t> NameHashes;
  NameHashes.reserve(Objects.size());
  for (const T &Object : Objects)
    NameHashes.push_back(hash64(Object.Name.str()));
  // A piece is represented by the name of its first object, so that the
  // boundaries between indexes do not depend on the contents of pieces either.
  std::vector<PieceHash> Pieces;
  std::vector<std::uint64_t> FirstNameHashes;
  for (auto [First, Last] : splitRanges(NameHashes)) {
    Pieces.push_back(addPiece(
        serializePiece(Objects.data() + First, Objects.data() + Last), Set));
    FirstNameHashes.push_back(NameHashes[First]);
  }
  std::vector<PieceHash> Indexes;
  for (auto [First, Last] : splitRanges(FirstNameHashes))
    Indexes.push_back(
        addPiece(serializeIndex(detail::kindName(T()), Pieces.data() + First,
                                Pieces.data() + Last),
                 Set));
  return Indexes;
}

/// Returns the hashes in the array at Key; empty if the array is missing or any
/// element is not a hash.
std::vector<PieceHash> parseHashArray(const boost::json::value &Root,
                                      const char *Key) {
  std::vector<PieceHash> Hashes;
  const boost::json::object *Object = Root.if_object();
  const boost::json::value *Entry = Object ? Object->if_contains(Key) : nullptr;
  if (!Entry || !Entry->is_array())
    return Hashes;
  for (const boost::json::value &Hash : Entry->get_array()) {
    if (!Hash.is_string() || !isSha256Digest(Hash.get_string()))
      return {};
    Hashes.emplace_back(Hash.get_string().data(), Hash.get_string().size());
  }
  return Hashes;
}

/// Returns nullopt unless Text is exactly the output of serializeManifest().
std::optional<IndexLists> parseManifest(const std::string &Text) {
  boost::system::error_code Failure;
  boost::json::value Root = boost::json::parse(Text, Failure);
  IndexLists Indexes;
  for (const char *Kind : Kinds)
    Indexes.push_back(parseHashArray(Root, Kind));
  if (Failure || serializeManifest(Indexes) != Text)
    return std::nullopt;
  return Indexes;
}

/// Returns nullopt unless Text is exactly the output of serializeIndex() for
/// Kind.
std::optional<std::vector<PieceHash>> parseIndex(const char *Kind,
                                                 const std::string &Text) {
  boost::system::error_code Failure;
  boost::json::value Root = boost::json::parse(Text, Failure);
  std::vector<PieceHash> Pieces = parseHashArray(Root, "pieces");
  if (Failure || Pieces.empty() || Pieces.size() > MaxObjectsPerPiece ||
      serializeIndex(Kind, Pieces.data(), Pieces.data() + Pieces.size()) !=
          Text)
    return std::nullopt;
  return Pieces;
}

boost::leaf::error_id corruptPiece(const PieceHash &Hash, const char *Reason) {
  return makeError(ErrorCode::Corrupt,
                   "piece " + Hash + " of the configuration " + Reason);
}

/// Finds a piece and verifies that its bytes match its hash.
Result<const std::string *>
verifiedPiece(const PieceHash &Hash,
              const std::map<PieceHash, std::string> &Pieces) {
  auto It = Pieces.find(Hash);
  if (It == Pieces.end())
    return makeError(ErrorCode::NotFound,
                     "piece " + Hash + " of the configuration is missing");
  if (sha256Hex(It->second) != Hash)
    return corruptPiece(Hash, "does not match its hash");
  return &It->second;
}

/// Appends the objects of a piece. Returns false unless Text is exactly the
/// output of serializePiece() for them and their names continue the order of
/// Objects.
template <typename T>
bool appendObjects(const std::string &Text, std::vector<T> &Objects) {
  std::size_t Before = Objects.size();
  try {
    boost::json::value Piece = boost::json::parse(Text);
    for (const boost::json::value &Object : Piece.at("objects").as_array())
      detail::fromJson(Object, Objects.emplace_back());
  } catch (const std::exception &) {
    return false;
  }
  std::size_t Count = Objects.size() - Before;
  if (Count == 0 || Count > MaxObjectsPerPiece ||
      serializePiece(Objects.data() + Before,
                     Objects.data() + Objects.size()) != Text)
    return false;
  for (std::size_t I = std::max<std::size_t>(Before, 1); I < Objects.size();
       ++I)
    if (!(Objects[I - 1].Name.str() < Objects[I].Name.str()))
      return false;
  return true;
}

/// Appends the objects of all pieces of one kind.
template <typename T>
Result<void> joinKind(const std::vector<PieceHash> &Indexes,
                      const std::map<PieceHash, std::string> &Pieces,
                      std::vector<T> &Objects) {
  for (const PieceHash &IndexHash : Indexes) {
    Result<const std::string *> Index = verifiedPiece(IndexHash, Pieces);
    if (!Index)
      return Index.error();
    auto Hashes = parseIndex(detail::kindName(T()), **Index);
    if (!Hashes)
      return corruptPiece(IndexHash, "is not an index");
    for (const PieceHash &Hash : *Hashes) {
      Result<const std::string *> Piece = verifiedPiece(Hash, Pieces);
      if (!Piece)
        return Piece.error();
      if (!appendObjects(**Piece, Objects))
        return corruptPiece(Hash, "cannot be parsed");
    }
  }
  return {};
}

} // namespace

PieceSet splitIntoPieces(const ObjectSet &Objects) {
  PieceSet Set;
  IndexLists Indexes;
  detail::forEachKind(
      [&](const auto &KindObjects) {
        Indexes.push_back(addKind(KindObjects, Set));
      },
      Objects);
  Set.ManifestHash = addPiece(serializeManifest(Indexes), Set);
  return Set;
}

Result<PieceWalk> walkPieces(const PieceHash &ManifestHash,
                             const PieceLookup &Find) {
  PieceWalk Walk;
  auto Visit = [&](const PieceHash &Hash) {
    const std::string *Text = Find(Hash);
    (Text ? Walk.Present : Walk.Missing).push_back(Hash);
    return Text;
  };
  const std::string *Manifest = Visit(ManifestHash);
  if (!Manifest)
    return Walk;
  std::optional<IndexLists> Indexes = parseManifest(*Manifest);
  if (!Indexes)
    return corruptPiece(ManifestHash, "is not a manifest");
  const char *const *Kind = Kinds;
  for (const std::vector<PieceHash> &KindIndexes : *Indexes) {
    for (const PieceHash &IndexHash : KindIndexes) {
      const std::string *Index = Visit(IndexHash);
      if (!Index)
        continue;
      auto Hashes = parseIndex(*Kind, *Index);
      if (!Hashes)
        return corruptPiece(IndexHash, "is not an index");
      std::for_each(Hashes->begin(), Hashes->end(), Visit);
    }
    ++Kind;
  }
  return Walk;
}

Result<ObjectSet> joinPieces(const PieceHash &ManifestHash,
                             const std::map<PieceHash, std::string> &Pieces) {
  Result<const std::string *> Manifest = verifiedPiece(ManifestHash, Pieces);
  if (!Manifest)
    return Manifest.error();
  std::optional<IndexLists> Indexes = parseManifest(**Manifest);
  if (!Indexes)
    return corruptPiece(ManifestHash, "is not a manifest");
  ObjectSet Objects;
  Result<void> Joined;
  auto KindIndexes = Indexes->begin();
  detail::forEachKind(
      [&](auto &KindObjects) {
        if (Joined)
          Joined = joinKind(*KindIndexes, Pieces, KindObjects);
        ++KindIndexes;
      },
      Objects);
  if (!Joined)
    return Joined.error();
  return Objects;
}

} // namespace teaselhitch

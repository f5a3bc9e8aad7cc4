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

/// Format of manifest and pieces; raised when one of them changes.
constexpr std::uint64_t FormatVersion = 2;

/// The keys of the manifest in the order of ObjectSet.
constexpr const char *Kinds[] = {"service",      "group", "rule",
                                 "organisation", "limit", "listener"};

/// A range of object indexes.
using Range = std::pair<std::size_t, std::size_t>;

/// Splits objects, or pieces, with these name hashes into ranges of at most
/// MaxObjectsPerPiece.
///
/// A range that is too long is split before the object with the least hash.
/// The cuts depend on names, not on positions, so an inserted or removed object
/// leaves the cuts in other ranges where they are.
std::vector<Range> cutRanges(const std::vector<std::uint64_t> &Hashes) {
  std::vector<Range> Ranges;
  std::vector<Range> Open;
  if (!Hashes.empty())
    Open.emplace_back(0, Hashes.size());
  while (!Open.empty()) {
    auto [First, Last] = Open.back();
    Open.pop_back();
    if (Last - First <= MaxObjectsPerPiece) {
      Ranges.emplace_back(First, Last);
      continue;
    }
    const std::uint64_t *Least =
        std::min_element(Hashes.data() + First + 1, Hashes.data() + Last);
    std::size_t Cut = Least - Hashes.data();
    Open.emplace_back(Cut, Last);
    Open.emplace_back(First, Cut);
  }
  return Ranges;
}

template <typename IteratorT>
std::string pieceText(IteratorT First, IteratorT Last) {
  boost::json::array Objects;
  for (auto It = First; It != Last; ++It)
    Objects.push_back(detail::toJson(*It));
  return boost::json::serialize(boost::json::object{
      {"kind", detail::kindName(*First)}, {"objects", std::move(Objects)}});
}

/// Adds Text to Set and returns its hash.
PieceHash addText(std::string Text, PieceSet &Set) {
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

std::string indexText(const char *Kind, const PieceHash *First,
                      const PieceHash *Last) {
  return boost::json::serialize(
      boost::json::object{{"kind", Kind}, {"pieces", hashArray(First, Last)}});
}

/// The hashes of the indexes of each kind.
using Listed = std::vector<std::vector<PieceHash>>;

std::string manifestText(const Listed &Indexes) {
  boost::json::object Manifest{{"format", FormatVersion}};
  const char *const *Kind = Kinds;
  for (const std::vector<PieceHash> &OfKind : Indexes)
    Manifest[*Kind++] = hashArray(OfKind.data(), OfKind.data() + OfKind.size());
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
  // A piece counts by the name of its first object, so that the cuts between
  // indexes do not depend on the contents of pieces either.
  std::vector<PieceHash> Pieces;
  std::vector<std::uint64_t> FirstHashes;
  for (auto [First, Last] : cutRanges(NameHashes)) {
    Pieces.push_back(
        addText(pieceText(Objects.data() + First, Objects.data() + Last), Set));
    FirstHashes.push_back(NameHashes[First]);
  }
  std::vector<PieceHash> Indexes;
  for (auto [First, Last] : cutRanges(FirstHashes))
    Indexes.push_back(
        addText(indexText(detail::kindName(T()), Pieces.data() + First,
                          Pieces.data() + Last),
                Set));
  return Indexes;
}

bool isPieceHash(std::string_view Text) {
  return Text.size() == 64 && std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

/// The list of hashes at Key; empty unless all are hashes.
std::vector<PieceHash> hashesAt(const boost::json::value &Root,
                                const char *Key) {
  std::vector<PieceHash> Hashes;
  const boost::json::object *Object = Root.if_object();
  const boost::json::value *Entry = Object ? Object->if_contains(Key) : nullptr;
  if (!Entry || !Entry->is_array())
    return Hashes;
  for (const boost::json::value &Hash : Entry->get_array()) {
    if (!Hash.is_string() || !isPieceHash(Hash.get_string()))
      return {};
    Hashes.emplace_back(Hash.get_string().data(), Hash.get_string().size());
  }
  return Hashes;
}

/// Nothing unless Text is exactly what manifestText writes.
std::optional<Listed> parseManifest(const std::string &Text) {
  boost::system::error_code Failure;
  boost::json::value Root = boost::json::parse(Text, Failure);
  Listed Indexes;
  for (const char *Kind : Kinds)
    Indexes.push_back(hashesAt(Root, Kind));
  if (Failure || manifestText(Indexes) != Text)
    return std::nullopt;
  return Indexes;
}

/// Nothing unless Text is exactly what indexText writes for Kind.
std::optional<std::vector<PieceHash>> parseIndex(const char *Kind,
                                                 const std::string &Text) {
  boost::system::error_code Failure;
  boost::json::value Root = boost::json::parse(Text, Failure);
  std::vector<PieceHash> Pieces = hashesAt(Root, "pieces");
  if (Failure || Pieces.empty() || Pieces.size() > MaxObjectsPerPiece ||
      indexText(Kind, Pieces.data(), Pieces.data() + Pieces.size()) != Text)
    return std::nullopt;
  return Pieces;
}

boost::leaf::error_id corrupt(const PieceHash &Hash, const char *Why) {
  return makeError(ErrorCode::Corrupt,
                   "piece " + Hash + " of the configuration " + Why);
}

/// A piece whose bytes match its hash.
Result<const std::string *>
verifiedPiece(const PieceHash &Hash,
              const std::map<PieceHash, std::string> &Pieces) {
  auto It = Pieces.find(Hash);
  if (It == Pieces.end())
    return makeError(ErrorCode::NotFound,
                     "piece " + Hash + " of the configuration is missing");
  if (sha256Hex(It->second) != Hash)
    return corrupt(Hash, "does not match its hash");
  return &It->second;
}

/// Appends the objects of a piece; false unless the text is exactly what
/// pieceText writes for them and the names go on in order.
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
      pieceText(Objects.data() + Before, Objects.data() + Objects.size()) !=
          Text)
    return false;
  for (std::size_t I = std::max<std::size_t>(Before, 1); I < Objects.size();
       ++I)
    if (!(Objects[I - 1].Name.str() < Objects[I].Name.str()))
      return false;
  return true;
}

/// Appends the objects of one kind.
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
      return corrupt(IndexHash, "is no index");
    for (const PieceHash &Hash : *Hashes) {
      Result<const std::string *> Piece = verifiedPiece(Hash, Pieces);
      if (!Piece)
        return Piece.error();
      if (!appendObjects(**Piece, Objects))
        return corrupt(Hash, "does not parse");
    }
  }
  return {};
}

} // namespace

PieceSet splitIntoPieces(const ObjectSet &Objects) {
  PieceSet Set;
  Listed Indexes;
  detail::forEachKind(
      [&](const auto &OfKind) { Indexes.push_back(addKind(OfKind, Set)); },
      Objects);
  Set.ManifestHash = addText(manifestText(Indexes), Set);
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
  std::optional<Listed> Indexes = parseManifest(*Manifest);
  if (!Indexes)
    return corrupt(ManifestHash, "is no manifest");
  const char *const *Kind = Kinds;
  for (const std::vector<PieceHash> &OfKind : *Indexes) {
    for (const PieceHash &IndexHash : OfKind) {
      const std::string *Index = Visit(IndexHash);
      if (!Index)
        continue;
      auto Hashes = parseIndex(*Kind, *Index);
      if (!Hashes)
        return corrupt(IndexHash, "is no index");
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
  std::optional<Listed> Indexes = parseManifest(**Manifest);
  if (!Indexes)
    return corrupt(ManifestHash, "is no manifest");
  ObjectSet Objects;
  Result<void> Joined;
  auto OfKind = Indexes->begin();
  detail::forEachKind(
      [&](auto &Kind) {
        if (Joined)
          Joined = joinKind(*OfKind, Pieces, Kind);
        ++OfKind;
      },
      Objects);
  if (!Joined)
    return Joined.error();
  return Objects;
}

} // namespace teaselhitch

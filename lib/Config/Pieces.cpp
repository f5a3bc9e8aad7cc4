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
constexpr std::uint64_t FormatVersion = 1;

/// The keys of the manifest in the order of ObjectSet.
constexpr const char *Kinds[] = {"service", "group", "rule", "organisation",
                                 "limit"};

/// A range of object indexes.
using Range = std::pair<std::size_t, std::size_t>;

/// Splits objects with these name hashes into ranges of at most
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
    auto Least =
        std::min_element(Hashes.begin() + First + 1, Hashes.begin() + Last);
    std::size_t Cut = Least - Hashes.begin();
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

/// Adds the pieces of one kind to Set and returns their hashes.
template <typename T>
boost::json::array addPieces(const std::vector<T> &Objects, PieceSet &Set) {
  std::vector<std::uint64_t> NameHashes;
  NameHashes.reserve(Objects.size());
  for (const T &Object : Objects)
    NameHashes.push_back(hash64(Object.Name.str()));
  boost::json::array Hashes;
  for (auto [First, Last] : cutRanges(NameHashes)) {
    std::string Text =
        pieceText(Objects.begin() + First, Objects.begin() + Last);
    PieceHash Hash = sha256Hex(Text);
    Hashes.emplace_back(Hash);
    Set.Pieces.insert_or_assign(std::move(Hash), std::move(Text));
  }
  return Hashes;
}

/// The hashes that a manifest lists for each kind.
using Listed = std::vector<std::vector<PieceHash>>;

bool isPieceHash(std::string_view Text) {
  return Text.size() == 64 && std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

/// Nothing unless Text is a manifest in exactly the form that is written.
std::optional<Listed> parseManifest(const std::string &Text) {
  boost::system::error_code Failure;
  boost::json::value Manifest = boost::json::parse(Text, Failure);
  const boost::json::object *Root = Failure ? nullptr : Manifest.if_object();
  if (!Root || Root->size() != 1 + std::size(Kinds))
    return std::nullopt;
  const boost::json::value *Format = Root->if_contains("format");
  if (!Format || *Format != FormatVersion)
    return std::nullopt;
  Listed Hashes;
  for (const char *Kind : Kinds) {
    const boost::json::value *Entry = Root->if_contains(Kind);
    if (!Entry || !Entry->is_array())
      return std::nullopt;
    std::vector<PieceHash> &Of = Hashes.emplace_back();
    for (const boost::json::value &Hash : Entry->get_array()) {
      if (!Hash.is_string() || !isPieceHash(Hash.get_string()))
        return std::nullopt;
      Of.emplace_back(Hash.get_string().data(), Hash.get_string().size());
    }
  }
  return Hashes;
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
      pieceText(Objects.begin() + Before, Objects.end()) != Text)
    return false;
  for (std::size_t I = std::max<std::size_t>(Before, 1); I < Objects.size();
       ++I)
    if (!(Objects[I - 1].Name.str() < Objects[I].Name.str()))
      return false;
  return true;
}

template <typename T>
Result<void> joinKind(const std::vector<PieceHash> &Hashes,
                      const std::map<PieceHash, std::string> &Pieces,
                      std::vector<T> &Objects) {
  for (const PieceHash &Hash : Hashes) {
    Result<const std::string *> Piece = verifiedPiece(Hash, Pieces);
    if (!Piece)
      return Piece.error();
    if (!appendObjects(**Piece, Objects))
      return corrupt(Hash, "does not parse");
  }
  return {};
}

} // namespace

PieceSet splitIntoPieces(const ObjectSet &Objects) {
  PieceSet Set;
  boost::json::object Manifest{{"format", FormatVersion}};
  const char *const *Kind = Kinds;
  detail::forEachKind(
      [&](const auto &OfKind) { Manifest[*Kind++] = addPieces(OfKind, Set); },
      Objects);
  std::string Text = boost::json::serialize(Manifest);
  Set.ManifestHash = sha256Hex(Text);
  Set.Pieces.insert_or_assign(Set.ManifestHash, std::move(Text));
  return Set;
}

Result<std::vector<PieceHash>> piecesOfManifest(const std::string &Manifest) {
  std::optional<Listed> Hashes = parseManifest(Manifest);
  if (!Hashes)
    return makeError(ErrorCode::Corrupt,
                     "the manifest of the configuration does not parse");
  std::vector<PieceHash> All;
  for (const std::vector<PieceHash> &OfKind : *Hashes)
    All.insert(All.end(), OfKind.begin(), OfKind.end());
  return All;
}

Result<ObjectSet> joinPieces(const PieceHash &ManifestHash,
                             const std::map<PieceHash, std::string> &Pieces) {
  Result<const std::string *> Manifest = verifiedPiece(ManifestHash, Pieces);
  if (!Manifest)
    return Manifest.error();
  std::optional<Listed> Hashes = parseManifest(**Manifest);
  if (!Hashes)
    return corrupt(ManifestHash, "is no manifest");
  ObjectSet Objects;
  Result<void> Joined;
  auto OfKind = Hashes->begin();
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

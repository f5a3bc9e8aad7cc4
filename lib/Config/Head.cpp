#include "teaselhitch/Config/Head.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <exception>

namespace teaselhitch {

namespace {

/// Enough digits for one version per second over thirty years.
constexpr std::size_t HistoryKeyDigits = 10;

/// Number of rows read in one request.
constexpr unsigned HistoryPageSize = 100;

std::string stringField(const boost::json::value &V, const char *Key) {
  const boost::json::string &Text = V.at(Key).as_string();
  return {Text.data(), Text.size()};
}

/// Parses a head. Throws a standard library exception if Json is not a valid
/// head.
PublishedHead headFromJson(const std::string &Json) {
  boost::json::value V = boost::json::parse(Json);
  PublishedHead Head;
  Head.Version = V.at("version").to_number<std::uint64_t>();
  Head.Manifest = stringField(V, "manifest");
  Head.ParentVersion = V.at("parent_version").to_number<std::uint64_t>();
  Head.ParentManifest = stringField(V, "parent_manifest");
  Head.PublishId = stringField(V, "publish_id");
  Head.Author = stringField(V, "who");
  Head.TimeMs = V.at("time_ms").to_number<std::uint64_t>();
  Head.Message = stringField(V, "message");
  return Head;
}

} // namespace

std::string toJsonText(const PublishedHead &Head) {
  return boost::json::serialize(
      boost::json::object{{"version", Head.Version},
                          {"manifest", Head.Manifest},
                          {"parent_version", Head.ParentVersion},
                          {"parent_manifest", Head.ParentManifest},
                          {"publish_id", Head.PublishId},
                          {"who", Head.Author},
                          {"time_ms", Head.TimeMs},
                          {"message", Head.Message}});
}

Result<PublishedHead> parseHead(const std::string &Json) {
  try {
    PublishedHead Head = headFromJson(Json);
    if (Head.Version != 0 && Head.ParentVersion < Head.Version)
      return Head;
  } catch (const std::exception &) {
    return makeError(ErrorCode::Corrupt,
                     "cannot parse the published head of the configuration");
  }
  return makeError(ErrorCode::Corrupt,
                   "the version of the published head of the configuration is "
                   "not above its parent version");
}

std::string historyKey(std::uint64_t Version) {
  std::string Digits = std::to_string(Version);
  std::size_t Zeros =
      HistoryKeyDigits - std::min(HistoryKeyDigits, Digits.size());
  return std::string(Zeros, '0') + Digits;
}

std::string pieceObjectKey(const PieceHash &Hash) { return Hash; }

Result<std::optional<HeadRow>> readHead(TableStore &Table) {
  Result<std::optional<TableRow>> Row = Table.read(ConfigTable, ConfigHeadKey);
  if (!Row)
    return Row.error();
  if (!*Row)
    return std::optional<HeadRow>();
  Result<PublishedHead> Head = parseHead((*Row)->Value);
  if (!Head)
    return Head.error();
  return std::optional<HeadRow>(HeadRow{*Head, (*Row)->Version});
}

Result<PublishedHead> readPublication(TableStore &Table,
                                      std::uint64_t Version) {
  Result<std::optional<TableRow>> Row =
      Table.read(ConfigHistoryTable, historyKey(Version));
  if (!Row)
    return Row.error();
  if (*Row)
    return parseHead((*Row)->Value);
  Result<std::optional<HeadRow>> Head = readHead(Table);
  if (!Head)
    return Head.error();
  if (*Head && (*Head)->Head.Version == Version)
    return (*Head)->Head;
  return makeError(ErrorCode::NotFound,
                   "there is no published version " + std::to_string(Version));
}

Result<std::vector<PublishedHead>> readHistory(TableStore &Table,
                                               unsigned Limit) {
  Result<std::optional<HeadRow>> Head = readHead(Table);
  if (!Head)
    return Head.error();
  std::vector<PublishedHead> Publications;
  if (!*Head || Limit == 0)
    return Publications;
  const PublishedHead &Newest = (*Head)->Head;
  // Versions are contiguous, so the key before the last Limit rows is known.
  std::uint64_t AfterVersion =
      Newest.Version - std::min<std::uint64_t>(Limit, Newest.Version);
  while (AfterVersion < Newest.Version) {
    Result<std::vector<TableRow>> Rows = Table.range(
        ConfigHistoryTable, "", historyKey(AfterVersion), HistoryPageSize);
    if (!Rows)
      return Rows.error();
    if (Rows->empty())
      break;
    for (const TableRow &Row : *Rows) {
      Result<PublishedHead> Publication = parseHead(Row.Value);
      if (!Publication)
        return Publication.error();
      AfterVersion = std::max(AfterVersion + 1, Publication->Version);
      if (Publication->Version < Newest.Version)
        Publications.push_back(std::move(*Publication));
    }
  }
  Publications.push_back(Newest);
  std::reverse(Publications.begin(), Publications.end());
  return Publications;
}

Result<void> PublishedSetReader::fetch(const PieceHash &Hash) {
  Result<std::optional<std::string>> Piece = Objects.read(pieceObjectKey(Hash));
  if (!Piece)
    return Piece.error();
  if (!*Piece)
    return makeError(ErrorCode::Corrupt, "piece " + Hash +
                                             " of the configuration is not in "
                                             "the object store");
  Pieces.emplace(Hash, std::move(**Piece));
  return {};
}

Result<std::vector<PieceHash>>
PublishedSetReader::fetchAll(const PieceHash &Manifest) {
  while (true) {
    Result<PieceWalk> Walk =
        walkPieces(Manifest, [this](const PieceHash &Hash) {
          auto It = Pieces.find(Hash);
          return It == Pieces.end() ? nullptr : &It->second;
        });
    if (!Walk)
      return Walk.error();
    if (Walk->Missing.empty())
      return std::move(Walk->Present);
    for (const PieceHash &Hash : Walk->Missing)
      if (Result<void> Fetched = fetch(Hash); !Fetched)
        return Fetched.error();
  }
}

Result<ObjectSet> PublishedSetReader::read(const PieceHash &Manifest) {
  if (Manifest.empty())
    return ObjectSet();
  Result<std::vector<PieceHash>> Hashes = fetchAll(Manifest);
  if (!Hashes)
    return Hashes.error();
  return joinPieces(Manifest, Pieces);
}

} // namespace teaselhitch

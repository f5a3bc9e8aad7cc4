#ifndef TEASELHITCH_CONFIG_HEAD_H
#define TEASELHITCH_CONFIG_HEAD_H

/// \file
/// The published head and the version history in the platform's table service,
/// and the reader of published sets in the object store.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Config/Pieces.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/Stores.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

/// Table and key of the row that holds the published head.
inline constexpr const char *ConfigTable = "config";
inline constexpr const char *ConfigHeadKey = "head";
/// Table with one row for each version. The key is historyKey().
inline constexpr const char *ConfigHistoryTable = "config-history";

/// A publication as stored in the head row and in the history.
struct PublishedHead {
  /// Incremented by one with each publication.
  std::uint64_t Version = 0;
  PieceHash Manifest;
  /// 0 for the first publication.
  std::uint64_t ParentVersion = 0;
  /// Empty for the first publication.
  PieceHash ParentManifest;
  /// Random id by which a publisher distinguishes its own write of the head
  /// from those of other publishers.
  std::string PublishId;
  std::string Author;
  /// Wall clock time of the publisher in milliseconds since the Unix epoch.
  /// Informational; it does not order publications.
  std::uint64_t TimeMs = 0;
  std::string Message;

  auto operator<=>(const PublishedHead &) const = default;

  /// The part of the publication that nodes need.
  ConfigHead configHead() const { return {Version, Manifest}; }
};

/// Serializes a head as JSON with the keys version, manifest, parent_version,
/// parent_manifest, publish_id, who, time_ms and message.
std::string toJsonText(const PublishedHead &Head);

/// Parses the output of toJsonText(); fails with Corrupt for any other text.
Result<PublishedHead> parseHead(const std::string &Json);

/// The version in decimal, padded with zeros so that keys sort by version.
std::string historyKey(std::uint64_t Version);

/// The key of a piece in the object store.
std::string pieceObjectKey(const PieceHash &Hash);

/// The published head and the table version of its row.
struct HeadRow {
  PublishedHead Head;
  std::uint64_t RowVersion = 0;
};

/// Reads the head row; nullopt before the first publication.
Result<std::optional<HeadRow>> readHead(TableStore &Table);

/// Reads the publication of Version from the history or, if its history row is
/// missing, from the head. Fails with NotFound if there is none.
Result<PublishedHead> readPublication(TableStore &Table, std::uint64_t Version);

/// Reads at most Limit publications, newest first. The head is included even if
/// its history row is missing.
Result<std::vector<PublishedHead>> readHistory(TableStore &Table,
                                               unsigned Limit);

/// Reads sets from the object store. The reader caches pieces, so reading a
/// second set fetches only the pieces that differ from the first one.
class PublishedSetReader {
public:
  explicit PublishedSetReader(ObjectStore &Objects) : Objects(Objects) {}

  /// Reads the set with the given manifest hash. An empty hash denotes the
  /// empty set.
  Result<ObjectSet> read(const PieceHash &Manifest);

private:
  Result<void> fetch(const PieceHash &Hash);
  /// Fetches all missing pieces and returns the hashes of the whole set.
  Result<std::vector<PieceHash>> fetchAll(const PieceHash &Manifest);

  ObjectStore &Objects;
  std::map<PieceHash, std::string> Pieces;
};

} // namespace teaselhitch

#endif

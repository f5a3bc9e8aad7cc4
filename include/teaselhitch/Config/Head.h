#ifndef TEASELHITCH_CONFIG_HEAD_H
#define TEASELHITCH_CONFIG_HEAD_H

/// \file
/// The published head and the history of versions in the platform's table.

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

/// The row that names the published configuration.
inline constexpr const char *ConfigTable = "config";
inline constexpr const char *ConfigHeadKey = "head";
/// One row for each version; the key is historyKey.
inline constexpr const char *ConfigHistoryTable = "config-history";

/// A publication, as it stands in the head row and in the history.
struct PublishedHead {
  /// Grows by one with each publication.
  std::uint64_t Version = 0;
  PieceHash Manifest;
  /// 0 for the first publication.
  std::uint64_t ParentVersion = 0;
  /// Empty for the first publication.
  PieceHash ParentManifest;
  /// Chosen at random by the publisher; tells its own write from others.
  std::string PublishId;
  std::string Who;
  /// Wall clock time of the publisher in milliseconds since the Unix epoch.
  /// For people only.
  std::uint64_t TimeMs = 0;
  std::string Message;

  auto operator<=>(const PublishedHead &) const = default;

  /// What nodes need of it.
  ConfigHead configHead() const { return {Version, Manifest}; }
};

/// JSON with the keys version, manifest, parent_version, parent_manifest,
/// publish_id, who, time_ms and message.
std::string toJsonText(const PublishedHead &Head);

/// Reads what toJsonText wrote; Corrupt for anything else.
Result<PublishedHead> parseHead(const std::string &Json);

/// The version in decimal with leading zeros, so that keys sort by version.
std::string historyKey(std::uint64_t Version);

/// Key of a piece in the object store.
std::string pieceObjectKey(const PieceHash &Hash);

/// The head with the version of its row.
struct HeadRow {
  PublishedHead Head;
  std::uint64_t RowVersion = 0;
};

/// The head row, or nothing before the first publication.
Result<std::optional<HeadRow>> readHead(TableStore &Table);

/// The publication of Version, from the history or else from the head.
/// NotFound if there is none.
Result<PublishedHead> readPublication(TableStore &Table, std::uint64_t Version);

/// At most Limit publications, the newest first. The head is among them even if
/// its history row is missing.
Result<std::vector<PublishedHead>> readHistory(TableStore &Table,
                                               unsigned Limit);

/// Reads sets from the object store and keeps the pieces, so that a second set
/// costs only the pieces in which it differs.
class PublishedSetReader {
public:
  explicit PublishedSetReader(ObjectStore &Objects) : Objects(Objects) {}

  /// The set of a manifest; an empty hash is the empty set.
  Result<ObjectSet> read(const PieceHash &Manifest);

private:
  Result<void> fetch(const PieceHash &Hash);
  /// Fetches what is missing and returns the hashes of the whole set.
  Result<std::vector<PieceHash>> fetchAll(const PieceHash &Manifest);

  ObjectStore &Objects;
  std::map<PieceHash, std::string> Pieces;
};

} // namespace teaselhitch

#endif

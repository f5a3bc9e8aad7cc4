#ifndef TEASELHITCH_PLATFORM_TABLEREQUESTS_H
#define TEASELHITCH_PLATFORM_TABLEREQUESTS_H

/// \file
/// Table operations as messages, for code that must not block. The platform
/// thread runs each request on a TableStore and returns the reply.

#include "teaselhitch/Platform/Stores.h"

#include <compare>
#include <cstdint>
#include <string>

namespace teaselhitch {

enum class TableOperation : std::uint8_t { Read, Insert, Replace };

struct TableRequest {
  /// Chosen by the sender and copied into the reply.
  std::uint64_t Token = 0;
  TableOperation Operation = TableOperation::Read;
  std::string Table;
  std::string Key;
  /// JSON text that Insert and Replace write.
  std::string Value;
  /// Version that the row must have for Replace to succeed.
  std::uint64_t ExpectedVersion = 0;
  /// TableReply::StoreIncarnation of the last reply that the sender had handled
  /// when it made the request.
  std::uint64_t StoreIncarnation = 0;

  auto operator<=>(const TableRequest &) const = default;
};

enum class TableStatus : std::uint8_t {
  /// Read: the row exists. Write: the write took effect.
  Ok,
  /// Read: the row does not exist.
  NotFound,
  /// The condition of a write was not met.
  Conflict,
  /// The operation had no effect.
  Unavailable,
  /// Write: it may have taken effect.
  Unknown,
  /// No reply to a request (the token is 0), but a notice: the store was
  /// restored from an older copy. Rows may be lost, and versions that were read
  /// before mean nothing. Replies that follow are from the restored store;
  /// those to requests from before the notice should be ignored.
  StoreRestored,
};

struct TableReply {
  std::uint64_t Token = 0;
  TableStatus Status = TableStatus::Unknown;
  /// Read: the row. Write: the key, the value and the new version.
  TableRow Row;
  /// See TableStore::incarnation().
  std::uint64_t StoreIncarnation = 0;

  auto operator<=>(const TableReply &) const = default;
};

/// Runs Request on Store. Blocks until the store operation returns.
TableReply runTableRequest(TableStore &Store, const TableRequest &Request);

} // namespace teaselhitch

#endif

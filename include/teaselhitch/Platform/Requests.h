#ifndef TEASELHITCH_PLATFORM_REQUESTS_H
#define TEASELHITCH_PLATFORM_REQUESTS_H

/// \file
/// Table operations as messages, for decisions that must not block. The
/// platform thread runs them on a TableStore and sends the reply back.

#include "teaselhitch/Platform/Stores.h"

#include <compare>
#include <cstdint>
#include <string>

namespace teaselhitch {

enum class TableOperation : std::uint8_t { Read, Insert, Replace };

struct TableRequest {
  /// Chosen by the sender; the reply carries it.
  std::uint64_t Token = 0;
  TableOperation Operation = TableOperation::Read;
  std::string Table;
  std::string Key;
  /// JSON text to write.
  std::string Value;
  /// Version that Replace expects.
  std::uint64_t Expected = 0;

  auto operator<=>(const TableRequest &) const = default;
};

enum class TableStatus : std::uint8_t {
  /// Read: the row is there. Write: it took effect.
  Ok,
  /// Read: there is no such row.
  NotFound,
  /// A conditional write lost.
  Conflict,
  /// The operation had no effect.
  Unavailable,
  /// A write may have taken effect.
  Unknown,
};

struct TableReply {
  std::uint64_t Token = 0;
  TableStatus Status = TableStatus::Unknown;
  /// The row read, or the key and version written.
  TableRow Row;

  auto operator<=>(const TableReply &) const = default;
};

/// Runs Request on Store. Blocks as long as the store does.
TableReply runTableRequest(TableStore &Store, const TableRequest &Request);

} // namespace teaselhitch

#endif

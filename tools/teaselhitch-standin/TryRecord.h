#ifndef TEASELHITCH_STANDIN_TRYRECORD_H
#define TEASELHITCH_STANDIN_TRYRECORD_H

/// \file
/// What the load client records: one JSON line for each try of a request.

#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhitch::standin {

struct TryRecord {
  /// Number of the request within its file; its tries share it.
  std::uint64_t Request = 0;
  /// 1 or 2; 0 for a failed attempt to get a key, after which nothing is sent.
  std::uint64_t Try = 1;
  /// Wall clock time of the start in milliseconds since the Unix epoch.
  double TimeMs = 0;
  /// "get" or "paid".
  std::string Kind;
  std::string Path;
  std::string Node;
  std::string Organisation;
  /// Value of `Idempotency-Key`, or "".
  std::string Key;
  /// HTTP status; 0 when there was no answer.
  unsigned Status = 0;
  /// Value of `Teaselhitch-Outcome`, or "".
  std::string Outcome;
  /// Value of `Teaselhitch-Reason`, or "".
  std::string Reason;
  /// Value of `Teaselhitch-Request-Id`, or "".
  std::string RequestId;
  /// Name of the backend server in the body, or "".
  std::string Server;
  /// Whether the answer belongs to the request; nothing when the body does not
  /// tell.
  std::optional<bool> Matches;
  double LatencyMs = 0;
  /// Why there is no answer: "connect-failed", "cut", "timed-out", "malformed"
  /// or "client-overloaded"; "" when there is one.
  std::string Problem;
  /// The connection had carried an earlier request.
  bool Reused = false;

  auto operator<=>(const TryRecord &) const = default;
};

/// The record as one line of JSON, without the end of the line.
std::string toJsonLine(const TryRecord &Record);

/// Corrupt if the line is not a record.
Result<TryRecord> parseTryRecord(std::string_view Line);

} // namespace teaselhitch::standin

#endif

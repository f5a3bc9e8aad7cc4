#ifndef TEASELHITCH_STANDIN_TRYRECORD_H
#define TEASELHITCH_STANDIN_TRYRECORD_H

/// \file
/// Record of one try of a request, which the load client writes as a line of
/// JSON.

#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselhitch::standin {

struct TryRecord {
  /// Number of the request within its file, shared by all tries of the request.
  std::uint64_t Request = 0;
  /// 1 or 2. 0 if no key could be obtained, in which case the request is not
  /// sent.
  std::uint64_t Try = 1;
  /// Wall-clock time of the start in milliseconds since the Unix epoch.
  double TimeMs = 0;
  /// "get" or "paid".
  std::string Kind;
  std::string Path;
  std::string Node;
  std::string Organisation;
  /// Value of `Idempotency-Key`, or "".
  std::string Key;
  /// HTTP status. 0 if there was no answer.
  unsigned Status = 0;
  /// Value of `Teaselhitch-Outcome`, or "".
  std::string Outcome;
  /// Value of `Teaselhitch-Reason`, or "".
  std::string Reason;
  /// Value of `Teaselhitch-Request-Id`, or "".
  std::string RequestId;
  /// Name of the backend server from the answer body, or "".
  std::string Server;
  /// Whether the answer belongs to the request. Empty if the answer body has no
  /// request id.
  std::optional<bool> Matches;
  double LatencyMs = 0;
  /// Why there is no answer: "connect-failed", "cut", "timed-out", "malformed"
  /// or "client-overloaded". "" if there is an answer.
  std::string Problem;
  /// Whether the connection had been used by an earlier request.
  bool Reused = false;

  auto operator<=>(const TryRecord &) const = default;
};

/// Returns the record as one line of JSON, without the newline.
std::string toJsonLine(const TryRecord &Record);

/// Fails with Corrupt if the line is not a record.
Result<TryRecord> parseTryRecord(std::string_view Line);

} // namespace teaselhitch::standin

#endif

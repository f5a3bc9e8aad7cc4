#ifndef TEASELHITCH_AUDIT_AUDITTRAIL_H
#define TEASELHITCH_AUDIT_AUDITTRAIL_H

/// \file
/// The trail of changes and decisions of a node: ejections, readmissions,
/// quarantines, drains, adopted configurations. Bounded in memory.

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace teaselhitch {

/// One change or decision.
struct AuditEvent {
  /// Numbers the events of one node incarnation from 1.
  std::uint64_t Sequence = 0;
  /// Wall clock, milliseconds since the Unix epoch.
  std::int64_t TimeMs = 0;
  /// Stable identifier, e.g. "backend-server-ejected".
  std::string Kind;
  /// What changed, e.g. the name of a backend server.
  std::string Subject;
  /// The evidence or cause.
  std::string Detail;

  auto operator<=>(const AuditEvent &) const = default;
};

/// Keeps the newest events. Safe to use from any thread.
class AuditTrail {
public:
  static constexpr std::size_t MaxEvents = 4096;

  void record(std::string Kind, std::string Subject, std::string Detail);

  /// Events with a sequence above After, oldest first, at most Limit.
  std::vector<AuditEvent> events(std::uint64_t After, std::size_t Limit) const;

  /// Events that were dropped because the trail was full.
  std::uint64_t dropped() const;

private:
  mutable std::mutex Mutex;
  std::deque<AuditEvent> Events;
  std::uint64_t NextSequence = 1;
  std::uint64_t Dropped = 0;
};

/// The events as JSON, one object a line.
std::string toJsonLines(const std::vector<AuditEvent> &Events);

/// Key of the object with the events of a node from First on:
/// `audit/<node>/<incarnation>/<first>` with the numbers in 20 digits, so that
/// keys sort by time.
std::string auditObjectKey(const std::string &Node, std::uint64_t Incarnation,
                           std::uint64_t First);

} // namespace teaselhitch

#endif

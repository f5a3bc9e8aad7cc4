#ifndef TEASELHITCH_AUDIT_AUDITTRAIL_H
#define TEASELHITCH_AUDIT_AUDITTRAIL_H

/// \file
/// The audit trail of a node: a bounded in-memory record of its state changes
/// and decisions, such as ejections, readmissions, quarantines, drains and
/// adopted configurations.

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace teaselhitch {

/// One recorded state change or decision.
struct AuditEvent {
  /// Counts the events of one node incarnation, starting at 1.
  std::uint64_t Sequence = 0;
  /// Wall clock, milliseconds since the Unix epoch.
  std::int64_t TimeMs = 0;
  /// Stable identifier of the type of event, e.g. "backend-server-ejected".
  std::string Kind;
  /// Name of the object that changed, e.g. of a backend server.
  std::string Subject;
  /// Evidence for the decision, or its cause.
  std::string Detail;

  auto operator<=>(const AuditEvent &) const = default;
};

/// Bounded queue of the newest MaxEvents events. Thread-safe.
class AuditTrail {
public:
  static constexpr std::size_t MaxEvents = 4096;

  /// Appends an event and logs it; drops the oldest event if the trail is full.
  void record(std::string Kind, std::string Subject, std::string Detail);

  /// Returns up to \p Limit events whose sequence is greater than \p After,
  /// oldest first.
  std::vector<AuditEvent> events(std::uint64_t After, std::size_t Limit) const;

  /// Number of events that were dropped because the trail was full.
  std::uint64_t dropped() const;

private:
  mutable std::mutex Mutex;
  std::deque<AuditEvent> Events;
  std::uint64_t NextSequence = 1;
  std::uint64_t Dropped = 0;
};

/// Serializes events as JSON Lines, one object per line.
std::string toJsonLines(const std::vector<AuditEvent> &Events);

/// Key in the object store for the events of a node that start with sequence
/// \p First: `audit/<node>/<incarnation>/<first>`. Numbers are padded to 20
/// digits so that the keys of a node sort chronologically.
std::string auditObjectKey(const std::string &Node, std::uint64_t Incarnation,
                           std::uint64_t First);

} // namespace teaselhitch

#endif

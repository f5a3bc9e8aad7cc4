#ifndef TEASELHITCH_LIB_NODE_PLATFORMDUTY_H
#define TEASELHITCH_LIB_NODE_PLATFORMDUTY_H

/// \file
/// The thread that makes the blocking calls to the platform.

#include "Channels.h"
#include "Duty.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <memory>
#include <optional>
#include <string>

namespace teaselhitch {

class PlatformDuty final : public Duty {
public:
  static Result<std::unique_ptr<PlatformDuty>>
  create(const NodeSettings &Settings, std::uint64_t Incarnation,
         Channels &Rings);

private:
  PlatformDuty(const NodeSettings &Settings, std::uint64_t Incarnation,
               Channels &Rings)
      : Settings(Settings), Incarnation(Incarnation), Rings(Rings) {}

  TableReply runTable(const TableRequest &Request);
  PieceRead readPiece(const ReadPiece &Request);
  bool isSuspended() const { return now() < SuspendedUntil; }
  void noteResult(bool Answered);
  /// Writes the audit events since the last object to the object store.
  void uploadAudit();

  /// Audit events that may not be in the object store yet. Objects are
  /// immutable, so a write is repeated with the same bytes.
  struct AuditBatch {
    std::string Key;
    std::string Bytes;
    std::uint64_t LastSequence = 0;
  };

  NodeSettings Settings;
  std::uint64_t Incarnation;
  Channels &Rings;
  std::unique_ptr<TableStore> Table;
  std::unique_ptr<ObjectStore> Objects;
  Time SuspendedUntil;
  std::optional<AuditBatch> Pending;
  std::uint64_t UploadedSequence = 0;
};

} // namespace teaselhitch

#endif

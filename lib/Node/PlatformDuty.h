#ifndef TEASELHITCH_LIB_NODE_PLATFORMDUTY_H
#define TEASELHITCH_LIB_NODE_PLATFORMDUTY_H

/// \file
/// The thread that makes the blocking calls to the platform.

#include "Channels.h"
#include "Duty.h"
#include "teaselhitch/Integration/PlatformAdapter.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <memory>
#include <optional>
#include <string>

namespace teaselhitch {

class PlatformDuty final : public Duty {
public:
  static Result<std::unique_ptr<PlatformDuty>>
  create(const NodeSettings &Settings, const PlatformAdapter &Platform,
         std::uint64_t Incarnation, Channels &Rings);

  /// Removes the own entry from the node directory, on the thread of the duty.
  void leave();

private:
  PlatformDuty(const NodeSettings &Settings, std::uint64_t Incarnation,
               Channels &Rings)
      : Settings(Settings), Incarnation(Incarnation), Rings(Rings) {}

  TableReply runTable(const TableRequest &Request);
  PieceRead readPiece(const ReadPiece &Request);
  bool isSuspended() const { return now() < SuspendedUntil; }
  void noteResult(bool Answered);
  /// Enters the own address into the node directory and reads the others, and
  /// repeats both until they have worked.
  void joinDirectory();
  bool enterDirectory();
  bool readDirectory();
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
  /// Null if first contacts come from the settings.
  std::unique_ptr<NodeDirectory> Directory;
  NodeRecord Self;
  bool HasEntered = false;
  Time SuspendedUntil;
  std::optional<AuditBatch> Pending;
  std::uint64_t UploadedSequence = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_NODE_PLATFORMTHREAD_H
#define TEASELHITCH_LIB_NODE_PLATFORMTHREAD_H

/// \file
/// The thread that makes the blocking calls to the platform: table store,
/// object store and node directory.

#include "EventLoopThread.h"
#include "SharedState.h"
#include "teaselhitch/Integration/PlatformAdapter.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <memory>
#include <optional>
#include <string>

namespace teaselhitch {

class PlatformThread final : public EventLoopThread {
public:
  static Result<std::unique_ptr<PlatformThread>>
  create(const NodeSettings &Settings, const PlatformAdapter &Platform,
         std::uint64_t Incarnation, SharedState &Shared);

  /// Removes this node from the node directory. The call runs on this thread,
  /// not on the thread of the caller.
  void leave();

private:
  PlatformThread(const NodeSettings &Settings, std::uint64_t Incarnation,
                 SharedState &Shared)
      : Settings(Settings), Incarnation(Incarnation), Shared(Shared) {}

  TableReply runTableOperation(const TableRequest &Request);
  PieceReadResult readPiece(const PieceReadRequest &Request);
  /// Returns true while calls are refused because an earlier one got no answer.
  bool isSuspended() const { return now() < SuspendedUntil; }
  /// Suspends calls if the platform did not answer.
  void updateSuspension(bool Answered);
  /// Registers this node in the node directory and reads the addresses of the
  /// other nodes. Each step is retried until it succeeds.
  void joinDirectory();
  bool registerNode();
  bool readDirectory();
  /// Writes the audit events that follow the last uploaded batch to the object
  /// store.
  void uploadAudit();

  /// Audit events that may not be in the object store yet. Objects are
  /// immutable, so a write is retried with the same key and bytes.
  struct AuditBatch {
    std::string Key;
    std::string Bytes;
    std::uint64_t LastSequence = 0;
  };

  NodeSettings Settings;
  std::uint64_t Incarnation;
  SharedState &Shared;
  std::unique_ptr<TableStore> Table;
  std::unique_ptr<ObjectStore> Objects;
  /// Null if the addresses of the first contacts are taken from the settings.
  std::unique_ptr<NodeDirectory> Directory;
  NodeRecord SelfRecord;
  bool IsRegistered = false;
  Time SuspendedUntil;
  std::optional<AuditBatch> PendingBatch;
  std::uint64_t UploadedSequence = 0;
};

} // namespace teaselhitch

#endif

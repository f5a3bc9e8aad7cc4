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
#include "teaselhitch/Support/Random.h"

#include <atomic>
#include <memory>
#include <optional>
#include <random>
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

  /// Checks whether the store was restored from an older copy. The owners of
  /// rows have been sent the notice of a restore when isStoreChecked() becomes
  /// true.
  void checkStore();
  bool isStoreChecked() const { return IsStoreChecked; }

private:
  PlatformThread(const NodeSettings &Settings, std::uint64_t Incarnation,
                 SharedState &Shared)
      : Settings(Settings), Incarnation(Incarnation), Shared(Shared),
        Random(std::random_device()()),
        Restores(Shared.Metrics.counter(
            "teaselhitch_store_restores_total",
            "restores of the store from an older copy that were noticed")) {}

  TableReply runTableOperation(const TableRequest &Request);
  PieceReadResult readPiece(const PieceReadRequest &Request);
  /// Returns true while calls are refused because an earlier one got no answer.
  bool isSuspended() const { return now() < SuspendedUntil; }
  /// Suspends calls if the platform did not answer.
  void updateSuspension(bool Answered);
  /// Sends a reply; requesters treat one that is dropped as unknown after their
  /// own time limit.
  void send(Channel<TableReply> &To, bool &IsNoticeDue, TableReply Reply);
  /// Sends the notice of a restore if it is due. Returns false if it still is.
  bool sendNotice(Channel<TableReply> &To, bool &IsNoticeDue);
  /// Checks whether a call has shown that the store was restored from an older
  /// copy. The other threads are then told before they get any reply from the
  /// restored store.
  void updateStoreIncarnation();
  /// Checks whether the store was restored, since a node without changes makes
  /// no other calls.
  void probeDirectory();
  void sendNotices();
  void scheduleProbe();

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
  bool IsLeaving = false;
  std::atomic<bool> IsStoreChecked{false};
  /// See TableStore::incarnation().
  std::uint64_t StoreIncarnation = 0;
  bool IsCallersNoticeDue = false;
  bool IsBackendsNoticeDue = false;
  SeededRandom Random;
  Time SuspendedUntil;
  std::optional<AuditBatch> PendingBatch;
  std::uint64_t UploadedSequence = 0;
  Counter &Restores;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_LIB_NODE_PLATFORMDUTY_H
#define TEASELHITCH_LIB_NODE_PLATFORMDUTY_H

/// \file
/// The thread that makes the blocking calls to the platform.

#include "Channels.h"
#include "Duty.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <memory>

namespace teaselhitch {

class PlatformDuty final : public Duty {
public:
  static Result<std::unique_ptr<PlatformDuty>>
  create(const NodeSettings &Settings, Channels &Rings);

private:
  PlatformDuty(const NodeSettings &Settings, Channels &Rings)
      : Settings(Settings), Rings(Rings) {}

  TableReply runTable(const TableRequest &Request);
  PieceRead readPiece(const ReadPiece &Request);
  bool isSuspended() const { return now() < SuspendedUntil; }
  void noteResult(bool Answered);

  NodeSettings Settings;
  Channels &Rings;
  std::unique_ptr<TableStore> Table;
  std::unique_ptr<ObjectStore> Objects;
  Time SuspendedUntil;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_INTEGRATION_PLATFORMADAPTER_H
#define TEASELHITCH_INTEGRATION_PLATFORMADAPTER_H

/// \file
/// Interface between a node and the platform on which it runs. Adapters are
/// plug-ins, selected by `platform.kind` in the settings.

#include "teaselhitch/Integration/BackendProtocol.h"
#include "teaselhitch/Integration/CallerProtocol.h"
#include "teaselhitch/Integration/ConfigSource.h"
#include "teaselhitch/Integration/NodeDirectory.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Settings/NodeSettings.h"
#include "teaselhitch/Support/Registry.h"

#include <memory>

namespace teaselhitch {

/// Factory for the platform-specific stores, protocols and sources of a node.
class PlatformAdapter {
public:
  virtual ~PlatformAdapter() = default;

  virtual Result<std::unique_ptr<TableStore>> tableStore() const = 0;
  virtual Result<std::unique_ptr<ObjectStore>> objectStore() const = 0;
  virtual std::unique_ptr<CallerProtocol> callerProtocol() const = 0;
  virtual std::unique_ptr<BackendProtocol> backendProtocol() const = 0;
  /// Null if configurations are published with `teaselhitch config`.
  virtual Result<std::unique_ptr<ConfigSource>> configSource() const = 0;
  /// Null if seed nodes come only from the settings.
  virtual Result<std::unique_ptr<NodeDirectory>> nodeDirectory() const = 0;
};

/// The settings that are passed to an adapter must outlive it.
using PlatformRegistry = Registry<PlatformAdapter, const NodeSettings &>;

} // namespace teaselhitch

#endif

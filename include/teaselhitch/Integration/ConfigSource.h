#ifndef TEASELHITCH_INTEGRATION_CONFIGSOURCE_H
#define TEASELHITCH_INTEGRATION_CONFIGSOURCE_H

/// \file
/// Interface to an external source of configurations, used on platforms that do
/// not keep them in the object store of this system.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Result.h"

#include <cstdint>
#include <optional>

namespace teaselhitch {

/// A configuration as read from its source. A version identifies the same set
/// of objects on every node.
struct SourcedConfig {
  std::uint64_t Version = 0;
  ObjectSet Objects;
};

/// Calls block; each source is used by one dedicated thread.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;

  /// Waits up to \p Wait for a configuration that no earlier call returned.
  /// Returns nullopt if there is none. Fails with Unavailable or Timeout if the
  /// source does not answer, and with Corrupt if the configuration cannot be
  /// decoded.
  virtual Result<std::optional<SourcedConfig>> next(Duration Wait) = 0;

  /// Interrupts a blocked call of next(). May be called from any thread.
  virtual void cancel() = 0;
};

} // namespace teaselhitch

#endif

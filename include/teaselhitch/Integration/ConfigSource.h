#ifndef TEASELHITCH_INTEGRATION_CONFIGSOURCE_H
#define TEASELHITCH_INTEGRATION_CONFIGSOURCE_H

/// \file
/// A configuration that is kept outside of the project's own object store.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Result.h"

#include <cstdint>
#include <optional>

namespace teaselhitch {

/// A configuration as read from its source. Equal versions hold equal objects,
/// at each node.
struct SourcedConfig {
  std::uint64_t Version = 0;
  ObjectSet Objects;
};

/// Blocks; used by one thread of its own.
class ConfigSource {
public:
  virtual ~ConfigSource() = default;

  /// Waits up to \p Wait for a configuration that this call has not returned
  /// before; nothing if there is none. Unavailable and Timeout if the source
  /// does not answer, Corrupt if the configuration cannot be read.
  virtual Result<std::optional<SourcedConfig>> next(Duration Wait) = 0;

  /// Ends a waiting call of next; safe to call from any thread.
  virtual void cancel() = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_SUPPORT_PUBLISHEDSNAPSHOT_H
#define TEASELHITCH_SUPPORT_PUBLISHEDSNAPSHOT_H

/// \file
/// Immutable snapshots that one thread publishes and other threads read.

#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace teaselhitch {

/// Holds the latest snapshot of a T. The lock is held only while a pointer is
/// copied or replaced.
template <typename T> class PublishedSnapshot {
public:
  void publish(std::shared_ptr<const T> Snapshot) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Value = std::move(Snapshot);
    ++Generation;
  }

  /// Returns the latest snapshot, or null before the first call of publish().
  std::shared_ptr<const T> current() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Value;
  }

  /// Returns the number of calls of publish(), so that a reader can tell
  /// whether there is a new snapshot.
  std::uint64_t generation() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Generation;
  }

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const T> Value;
  std::uint64_t Generation = 0;
};

} // namespace teaselhitch

#endif

#ifndef TEASELHITCH_SUPPORT_PUBLISHED_H
#define TEASELHITCH_SUPPORT_PUBLISHED_H

/// \file
/// Immutable snapshots that one thread publishes and others read.

#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace teaselhitch {

/// The newest snapshot of a T. The lock is held only to copy a pointer.
template <typename T> class Published {
public:
  void publish(std::shared_ptr<const T> Snapshot) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Value = std::move(Snapshot);
    ++Generation;
  }

  /// The newest snapshot, or null before the first.
  std::shared_ptr<const T> current() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Value;
  }

  /// Counts the publications.
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

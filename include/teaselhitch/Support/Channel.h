#ifndef TEASELHITCH_SUPPORT_CHANNEL_H
#define TEASELHITCH_SUPPORT_CHANNEL_H

/// \file
/// Bounded rings between the threads of a process.

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace teaselhitch {

/// A bounded ring with one sending and one receiving thread. The receiver is
/// woken by a function that it supplies, at most once until it drains.
template <typename T> class Channel {
public:
  /// \param Capacity the greatest number of messages in the ring.
  explicit Channel(std::size_t Capacity) : Queue(Capacity) {}

  ~Channel() {
    drain([](T &&) {});
  }
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  /// Sets the function that wakes the receiver. Call before the first send.
  void setWake(std::function<void()> Function) { Wake = std::move(Function); }

  /// Puts a message into the ring; false when the ring is full, in which case
  /// Message is unchanged.
  [[nodiscard]] bool trySend(T &Message) {
    if (Queue.write_available() == 0)
      return false;
    Queue.push(new T(std::move(Message)));
    if (Wake && !WakePending.exchange(true))
      Wake();
    return true;
  }
  [[nodiscard]] bool trySend(T &&Message) { return trySend(Message); }

  /// Passes all waiting messages to Function, in order of sending. Call from
  /// the receiving thread only.
  template <typename FunctionT> void drain(FunctionT &&Function) {
    // Cleared before reading: a message sent from here on wakes again.
    WakePending.store(false);
    Queue.consume_all([&](T *Pointer) {
      std::unique_ptr<T> Message(Pointer);
      Function(std::move(*Message));
    });
  }

private:
  /// Holds pointers, because spsc_queue copies its elements.
  boost::lockfree::spsc_queue<T *> Queue;
  std::function<void()> Wake;
  std::atomic<bool> WakePending{false};
};

} // namespace teaselhitch

#endif

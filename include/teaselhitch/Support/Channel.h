#ifndef TEASELHITCH_SUPPORT_CHANNEL_H
#define TEASELHITCH_SUPPORT_CHANNEL_H

/// \file
/// Bounded queues that pass messages between the threads of a process.

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace teaselhitch {

/// A bounded ring buffer with a single producer and a single consumer. The
/// consumer supplies a callback that wakes it; the callback is called at most
/// once between two calls of drain().
template <typename T> class Channel {
public:
  /// \param Capacity the maximum number of queued messages.
  explicit Channel(std::size_t Capacity) : Queue(Capacity) {}

  ~Channel() {
    drain([](T &&) {});
  }
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  /// Sets the callback that wakes the consumer. Must be called before the first
  /// trySend().
  void setWakeCallback(std::function<void()> Function) {
    Wake = std::move(Function);
  }

  /// Enqueues Message by moving from it. Returns false and leaves Message
  /// unchanged if the ring buffer is full.
  [[nodiscard]] bool trySend(T &Message) {
    if (Queue.write_available() == 0)
      return false;
    Queue.push(new T(std::move(Message)));
    wake();
    return true;
  }
  [[nodiscard]] bool trySend(T &&Message) { return trySend(Message); }

  /// Dequeues all messages and passes them to Function in the order in which
  /// they were sent. Must be called from the consumer thread only. If Function
  /// throws, the rest of the messages stays, and another wake-up follows.
  template <typename FunctionT> void drain(FunctionT &&Function) {
    // Cleared before the queue is read, so that a message that is sent during
    // or after the read triggers another wake-up.
    WakePending.store(false);
    // Each message leaves the queue before it is handled, so that a handler
    // that throws does not make the next call handle it again.
    for (std::size_t Left = Queue.read_available(); Left != 0; --Left) {
      T *Pointer = nullptr;
      Queue.pop(Pointer);
      std::unique_ptr<T> Message(Pointer);
      try {
        Function(std::move(*Message));
      } catch (...) {
        if (Left > 1)
          wake();
        throw;
      }
    }
  }

private:
  void wake() {
    if (Wake && !WakePending.exchange(true))
      Wake();
  }

  /// Stores pointers because spsc_queue copies its elements.
  boost::lockfree::spsc_queue<T *> Queue;
  std::function<void()> Wake;
  std::atomic<bool> WakePending{false};
};

} // namespace teaselhitch

#endif

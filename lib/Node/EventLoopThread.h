#ifndef TEASELHITCH_LIB_NODE_EVENTLOOPTHREAD_H
#define TEASELHITCH_LIB_NODE_EVENTLOOPTHREAD_H

/// \file
/// Base class of the threads of a node that run an event loop.

#include "teaselhitch/Net/EventLoop.h"
#include "teaselhitch/Support/Channel.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Log.h"

#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace teaselhitch {

/// A thread that runs an event loop. The owner calls start() after it has
/// created all threads of the node, and stop() on all of them before it
/// destroys any of them.
class EventLoopThread {
public:
  EventLoopThread() = default;
  virtual ~EventLoopThread() { stop(); }
  EventLoopThread(const EventLoopThread &) = delete;
  EventLoopThread &operator=(const EventLoopThread &) = delete;

  void start() {
    Thread = std::thread([this] { Loop.run(); });
  }
  void stop() {
    if (!Thread.joinable())
      return;
    Loop.stop();
    Thread.join();
  }

  EventLoop &loop() { return Loop; }

protected:
  Time now() const { return SteadyTime.now(); }

  /// Makes Function run on this thread for each message of a channel.
  template <typename T, typename FunctionT>
  void subscribe(Channel<T> &Source, FunctionT Function) {
    Source.setWakeCallback([this, &Source, Function] {
      Loop.post([&Source, Function] { Source.drain(Function); });
    });
  }

  EventLoop Loop;

private:
  SteadyClock SteadyTime;
  std::thread Thread;
};

/// Combines lambdas into one overloaded visitor for std::visit.
template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace teaselhitch

#endif

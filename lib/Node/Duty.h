#ifndef TEASELHITCH_LIB_NODE_DUTY_H
#define TEASELHITCH_LIB_NODE_DUTY_H

/// \file
/// A thread of a node with its event loop.

#include "teaselhitch/Net/EventLoop.h"
#include "teaselhitch/Support/Channel.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Log.h"

#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace teaselhitch {

/// Base of the duties. The owner calls start() after all duties are made, and
/// stop() before it destroys any of them.
class Duty {
public:
  Duty() = default;
  virtual ~Duty() { stop(); }
  Duty(const Duty &) = delete;
  Duty &operator=(const Duty &) = delete;

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
  Time now() const { return Wall.now(); }

  /// Calls Function on this thread for each message of a channel.
  template <typename T, typename FunctionT>
  void receive(Channel<T> &From, FunctionT Function) {
    From.setWake([this, &From, Function] {
      Loop.post([&From, Function] { From.drain(Function); });
    });
  }

  EventLoop Loop;

private:
  SteadyClock Wall;
  std::thread Thread;
};

/// Runs Function with each alternative of a variant by overloaded lambdas.
template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace teaselhitch

#endif

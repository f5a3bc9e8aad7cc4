#ifndef TEASELHITCH_NET_EVENTLOOP_H
#define TEASELHITCH_NET_EVENTLOOP_H

/// \file
/// The loop that one thread runs: network events, timers and posted functions.

#include "teaselhitch/Support/Clock.h"

#include <functional>
#include <memory>
#include <string>

namespace teaselhitch {

class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs Function on the thread of the loop. Safe to call from any thread.
  void post(std::function<void()> Function);

  /// Calls Function again and again with this pause between the calls, until
  /// the loop stops.
  void every(Duration Interval, std::function<void()> Function);

  /// Calls Function once after a delay.
  void after(Duration Delay, std::function<void()> Function);

  /// Calls Function with the signal number on SIGINT, SIGTERM and SIGHUP.
  void onSignal(std::function<void(int)> Function);

  /// Runs until stop() is called.
  void run();
  /// Safe to call from any thread.
  void stop();

  /// Asio state, for the sources of this module.
  struct Impl;
  Impl &impl() { return *State; }

private:
  std::unique_ptr<Impl> State;
};

} // namespace teaselhitch

#endif

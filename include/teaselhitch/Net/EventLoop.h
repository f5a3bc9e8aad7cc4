#ifndef TEASELHITCH_NET_EVENTLOOP_H
#define TEASELHITCH_NET_EVENTLOOP_H

/// \file
/// Event loop of one thread: network events, timers and posted functions.

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

  /// Queues Function to run on the thread of the loop. Safe to call from any
  /// thread.
  void post(std::function<void()> Function);

  /// Calls Function repeatedly until the loop stops. Interval is the pause
  /// between the end of one call and the start of the next; the first call
  /// follows after one Interval.
  void schedulePeriodic(Duration Interval, std::function<void()> Function);

  /// Calls Function once after Delay.
  void schedule(Duration Delay, std::function<void()> Function);

  /// Calls Function with the signal number on each SIGINT, SIGTERM and SIGHUP.
  void onSignal(std::function<void(int)> Function);

  /// Processes events on the calling thread until stop() is called.
  void run();
  /// Safe to call from any thread.
  void stop();

  /// Asio state; only the sources of this module use it.
  struct Impl;
  Impl &impl() { return *State; }

private:
  std::unique_ptr<Impl> State;
};

} // namespace teaselhitch

#endif

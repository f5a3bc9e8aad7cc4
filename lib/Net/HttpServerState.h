#ifndef TEASELHITCH_LIB_NET_HTTPSERVERSTATE_H
#define TEASELHITCH_LIB_NET_HTTPSERVERSTATE_H

/// \file
/// State shared by all sessions of an HTTP server, and the decisions that
/// compare sessions.

#include "Asio.h"
#include "HangupWatcher.h"
#include "teaselhitch/Net/HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <unordered_set>

namespace teaselhitch {

class HttpSession;

/// Outlives the server until the last session ends.
class HttpServerState {
public:
  HttpServerState(asio::io_context &Context, HttpServerSettings Settings)
      : Settings(std::move(Settings)), Hangups(Context), Timer(Context) {}

  MemoryBudget::Reservation openReservation() const {
    return Settings.Memory ? Settings.Memory->open()
                           : MemoryBudget::Reservation();
  }
  void notify(HttpServerEvent Event) const {
    if (Settings.Notify)
      Settings.Notify(Event);
  }

  /// Closes the connection whose unfinished request has made no progress for
  /// the longest time. Returns false if every request makes progress.
  /// \param Except is not closed.
  /// \param MinBytes requests that hold less are not closed.
  bool evictStalled(HttpServerEvent Event, const HttpSession *Except,
                    std::uint64_t MinBytes);
  /// Calls Session->tryResume() repeatedly, in the order of these calls, until
  /// it returns true.
  void delay(std::shared_ptr<HttpSession> Session);
  /// Closes idle sessions repeatedly from now on.
  void drain();
  void close();

  HttpServerSettings Settings;
  HttpServer::Handler Handle;
  HttpServer::RefusalHandler Refuse;
  std::unordered_set<HttpSession *> Sessions;
  HangupWatcher Hangups;
  bool Draining = false;

private:
  void startTimer();
  void sweep();
  void resumeDelayed();

  asio::steady_timer Timer;
  std::deque<std::shared_ptr<HttpSession>> Delayed;
  SteadyClock Monotonic;
  bool IsTimerRunning = false;
};

} // namespace teaselhitch

#endif

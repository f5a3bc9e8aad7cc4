#include "teaselhitch/Net/EventLoop.h"

#include "Asio.h"
#include "teaselhitch/Support/Log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <exception>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace teaselhitch {

namespace {

/// A connection is closed if sent data stays unacknowledged for this time, in
/// milliseconds.
constexpr int UserTimeoutMs = 10000;
/// Idle time before the first keepalive probe and interval between probes, in
/// seconds.
constexpr int KeepaliveIdleS = 15;
constexpr int KeepaliveIntervalS = 5;
constexpr int KeepaliveProbes = 3;

void setOption(int Socket, int Level, int Name, int Value) {
  ::setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

/// A timer that restarts itself after each call.
class RepeatingTimer : public std::enable_shared_from_this<RepeatingTimer> {
public:
  RepeatingTimer(asio::io_context &Context, Duration Interval,
                 std::function<void()> Function)
      : Timer(Context), Interval(Interval), Function(std::move(Function)) {}

  void start() {
    Timer.expires_after(toChrono(Interval));
    Timer.async_wait([Self = shared_from_this()](ErrorCodeT EC) {
      if (EC)
        return;
      // An error does not end the repetition.
      try {
        Self->Function();
      } catch (...) {
        Self->start();
        throw;
      }
      Self->start();
    });
  }

private:
  asio::steady_timer Timer;
  Duration Interval;
  std::function<void()> Function;
};

void waitForSignal(asio::signal_set &Signals,
                   std::function<void(int)> Function) {
  Signals.async_wait(
      [&Signals, Function = std::move(Function)](ErrorCodeT EC, int Number) {
        if (EC)
          return;
        Function(Number);
        waitForSignal(Signals, Function);
      });
}

} // namespace

EventLoop::EventLoop() : State(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() = default;

void EventLoop::post(std::function<void()> Function) {
  asio::post(State->Context, std::move(Function));
}

void EventLoop::schedulePeriodic(Duration Interval,
                                 std::function<void()> Function) {
  std::make_shared<RepeatingTimer>(State->Context, Interval,
                                   std::move(Function))
      ->start();
}

void EventLoop::schedule(Duration Delay, std::function<void()> Function) {
  auto Timer = std::make_shared<asio::steady_timer>(State->Context);
  Timer->expires_after(toChrono(Delay));
  Timer->async_wait([Timer, Function = std::move(Function)](ErrorCodeT EC) {
    if (!EC)
      Function();
  });
}

void EventLoop::onSignal(std::function<void(int)> Function) {
  State->Signals.emplace(State->Context, SIGINT, SIGTERM, SIGHUP);
  waitForSignal(*State->Signals, std::move(Function));
}

// An error in the handler of one event, such as a message that needs more
// memory than there is, must not end the process and with it all other
// requests.
void EventLoop::run() {
  for (;;) {
    try {
      State->Context.run();
      return;
    } catch (const std::exception &E) {
      logEvent(LogLevel::Error, "net", "handler-failed", {{"error", E.what()}});
    }
  }
}
void EventLoop::stop() { State->Context.stop(); }

ErrorCodeT listenOn(Tcp::acceptor &Acceptor, const Tcp::endpoint &Address) {
  ErrorCodeT EC;
  Acceptor.open(Address.protocol(), EC);
  if (!EC)
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), EC);
  if (!EC)
    Acceptor.bind(Address, EC);
  if (!EC)
    Acceptor.listen(asio::socket_base::max_listen_connections, EC);
  return EC;
}

void configureSocket(Tcp::socket &Socket) {
  int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepaliveIdleS);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepaliveIntervalS);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, KeepaliveProbes);
}

} // namespace teaselhitch

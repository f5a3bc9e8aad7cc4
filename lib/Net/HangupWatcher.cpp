#include "HangupWatcher.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>

namespace teaselhitch {

bool HangupWatcher::open() {
  if (Epoll.is_open())
    return true;
  int Handle = ::epoll_create1(EPOLL_CLOEXEC);
  if (Handle < 0)
    return false;
  ErrorCodeT EC;
  Epoll.assign(Handle, EC);
  if (!EC)
    waitForEvents();
  return !EC;
}

void HangupWatcher::watch(int Socket, std::function<void()> Function) {
  // Without a descriptor for the epoll instance, the close is detected when the
  // connection is read again.
  if (!open())
    return;
  epoll_event Event{};
  Event.events = EPOLLRDHUP | EPOLLONESHOT;
  Event.data.fd = Socket;
  Functions[Socket] = std::move(Function);
  if (::epoll_ctl(Epoll.native_handle(), EPOLL_CTL_ADD, Socket, &Event) != 0 &&
      errno == EEXIST)
    ::epoll_ctl(Epoll.native_handle(), EPOLL_CTL_MOD, Socket, &Event);
}

void HangupWatcher::forget(int Socket) {
  if (Functions.erase(Socket) == 0)
    return;
  epoll_event Unused{};
  ::epoll_ctl(Epoll.native_handle(), EPOLL_CTL_DEL, Socket, &Unused);
}

void HangupWatcher::waitForEvents() {
  Epoll.async_wait(asio::posix::stream_descriptor::wait_read,
                   [this](ErrorCodeT EC) {
                     if (EC)
                       return;
                     handleEvents();
                     waitForEvents();
                   });
}

void HangupWatcher::handleEvents() {
  constexpr int MaxEvents = 64;
  std::array<epoll_event, MaxEvents> Events{};
  int Count =
      ::epoll_wait(Epoll.native_handle(), Events.data(), MaxEvents, /*ms=*/0);
  for (int I = 0; I < Count; ++I) {
    auto It = Functions.find(Events.at(static_cast<std::size_t>(I)).data.fd);
    if (It == Functions.end())
      continue;
    std::function<void()> Function = std::move(It->second);
    // The socket stays registered without events; forget() removes it.
    It->second = nullptr;
    if (Function)
      Function();
  }
}

} // namespace teaselhitch

#ifndef TEASELHITCH_UNITTESTS_PLATFORM_STANDINPLATFORM_H
#define TEASELHITCH_UNITTESTS_PLATFORM_STANDINPLATFORM_H

#include "../../tools/teaselhitch-standin/PlatformServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>

namespace teaselhitch {

/// The stand-in's platform server, run by a thread of its own on a free
/// loopback port.
class StandInPlatform {
public:
  StandInPlatform() : Server(Context, /*Seed=*/1) {
    Address = handleError(
        [&] {
          return Server.listen({"127.0.0.1", 0});
        },
        [](const Error &) { return Endpoint(); });
    Thread = std::thread([this] { Context.run(); });
  }
  ~StandInPlatform() {
    Context.stop();
    Thread.join();
  }
  StandInPlatform(const StandInPlatform &) = delete;
  StandInPlatform &operator=(const StandInPlatform &) = delete;

  void setFaults(const standin::PlatformFaults &Faults) {
    std::promise<void> Done;
    boost::asio::post(Context, [&] {
      Server.setFaults(Faults);
      Done.set_value();
    });
    Done.get_future().wait();
  }

  const Endpoint &address() const { return Address; }

private:
  boost::asio::io_context Context{1};
  standin::PlatformServer Server;
  Endpoint Address;
  std::thread Thread;
};

} // namespace teaselhitch

#endif

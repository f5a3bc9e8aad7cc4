/// \file
/// `teaselhitch-standin platform`: a simulated platform with in-memory stores.

#include "CommandLine.h"
#include "Commands.h"
#include "PlatformServer.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace teaselhitch::standin {

namespace {

Result<int> servePlatform(const Endpoint &Address, long Seed) {
  boost::asio::io_context Context(1);
  PlatformServer Server(Context, static_cast<std::uint64_t>(Seed));
  BOOST_LEAF_AUTO(Bound, Server.listen(Address));
  std::cout << "listening on " << toString(Bound) << std::endl;
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Context.stop(); });
  Context.run();
  return int(ExitSuccess);
}

} // namespace

int runPlatform(int Argc, const char **Argv) {
  std::string Listen;
  long Seed = 1;
  CommandLine Options("teaselhitch-standin platform");
  Options.add("listen", Listen,
              "address to listen on; port 0 selects a free port",
              "ADDRESS:PORT");
  Options.add("seed", Seed, "seed of the random number generator");
  return handleError(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(Options.parse(Argc, Argv));
        BOOST_LEAF_AUTO(Address, parseEndpoint(Listen));
        return servePlatform(Address, Seed);
      },
      reportError);
}

} // namespace teaselhitch::standin

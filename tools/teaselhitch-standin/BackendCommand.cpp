/// \file
/// `teaselhitch-standin backend`: a simulated backend server with fault
/// injection.

#include "BackendServer.h"
#include "CommandLine.h"
#include "Commands.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace teaselhitch::standin {

namespace {

/// Values of the command-line options.
struct BackendOptions {
  std::string Listen;
  std::string Announce;
  std::string Name;
  std::string Service;
  std::string Label;
  std::string RunsFile;
  long Slots = 1;
  long ColdStartMs = 0;
  long WorkMs = 5;
  long DrainMs = 1000;
  long Seed = 1;
};

void addOptions(CommandLine &Line, BackendOptions &O) {
  Line.add("listen", O.Listen,
           "address to listen on; port 0 selects a free port", "ADDRESS:PORT");
  Line.add("announce", O.Announce,
           "address of the announcement listener of the node", "ADDRESS:PORT");
  Line.add("name", O.Name, "name of the backend server", "NAME");
  Line.add("service", O.Service, "service of the backend server", "NAME");
  Line.add("label", O.Label, "label by which groups select backend servers",
           "TEXT");
  Line.add("slots", O.Slots, "maximum number of concurrent requests");
  Line.add("cold-start-ms", O.ColdStartMs,
           "time after the start during which requests are refused");
  Line.add("work-ms", O.WorkMs, "work time of a request");
  Line.add("drain-ms", O.DrainMs,
           "minimum time from the announcement of draining to the exit");
  Line.add("runs-out", O.RunsFile, "file to which each run is appended",
           "FILE");
  Line.add("seed", O.Seed, "seed of the random number generator");
}

Result<BackendSettings> checkOptions(const BackendOptions &O) {
  BackendSettings S;
  BOOST_LEAF_ASSIGN(S.Listen, parseEndpoint(O.Listen));
  BOOST_LEAF_ASSIGN(S.Announce, parseEndpoint(O.Announce));
  if (!isValidName(O.Name) || !isValidName(O.Service))
    return makeError(ErrorCode::InvalidInput,
                     "--name and --service must be valid names");
  if (O.Slots < 1 || O.ColdStartMs < 0 || O.WorkMs < 0 || O.DrainMs < 0)
    return makeError(ErrorCode::InvalidInput,
                     "--slots must be positive and times must not be negative");
  S.Name = O.Name;
  S.Service = O.Service;
  S.Label = O.Label;
  S.RunsFile = O.RunsFile;
  S.Slots = static_cast<unsigned>(O.Slots);
  S.ColdStart = Duration(static_cast<double>(O.ColdStartMs));
  S.Work = Duration(static_cast<double>(O.WorkMs));
  S.MinimumDrain = Duration(static_cast<double>(O.DrainMs));
  S.Seed = static_cast<std::uint64_t>(O.Seed);
  S.Incarnation = static_cast<std::uint64_t>(wallClockMs());
  return S;
}

Result<int> serveBackend(const BackendSettings &Settings) {
  boost::asio::io_context Context(1);
  BackendServer Server(Context, Settings);
  BOOST_LEAF_AUTO(Bound, Server.start());
  std::cout << "listening on " << toString(Bound) << std::endl;
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Server.drain(); });
  Context.run();
  return int(ExitSuccess);
}

} // namespace

int runBackend(int Argc, const char **Argv) {
  BackendOptions Options;
  CommandLine Line("teaselhitch-standin backend");
  addOptions(Line, Options);
  return handleError(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(Line.parse(Argc, Argv));
        BOOST_LEAF_AUTO(Settings, checkOptions(Options));
        return serveBackend(Settings);
      },
      reportError);
}

} // namespace teaselhitch::standin

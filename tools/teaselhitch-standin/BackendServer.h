#ifndef TEASELHITCH_STANDIN_BACKENDSERVER_H
#define TEASELHITCH_STANDIN_BACKENDSERVER_H

/// \file
/// Simulated backend server with slots, work time, cold start, draining and
/// gray failures.

#include "Announcer.h"
#include "BackendFaults.h"
#include "HttpServer.h"
#include "Runs.h"
#include "Timer.h"

#include <cstdint>
#include <memory>
#include <string>

namespace teaselhitch::standin {

struct BackendSettings {
  Endpoint Listen;
  /// Address of the announcement listener of the node.
  Endpoint Announce;
  std::string Name;
  std::string Service;
  std::string Label;
  unsigned Slots = 1;
  /// Increases with each start of the process.
  std::uint64_t Incarnation = 0;
  /// How long the server refuses requests after its start.
  Duration ColdStart;
  Duration Work;
  /// Minimum time between the announcement of draining and the exit.
  Duration MinimumDrain;
  std::uint64_t Seed = 1;
  /// File to which runs are appended. If empty, no file is written.
  std::string RunsFile;
};

/// Exit status of a process that was crashed by a request.
constexpr int ExitCrashed = 70;

/// All calls must be made on the thread of Context. Stops Context when the
/// server has drained.
class BackendServer {
public:
  BackendServer(boost::asio::io_context &Context, BackendSettings Settings);

  /// Starts listening and announcing. Returns the bound address.
  Result<Endpoint> start();

  /// Announces draining, completes the requests in progress and stops Context.
  void drain();

private:
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;

  void handle(const ExchangePtr &Current);
  void handleControl(const ExchangePtr &Current);
  void handleFaults(const ExchangePtr &Current);
  void handleWork(const ExchangePtr &Current);
  void startWork(const ExchangePtr &Current, Duration Remaining);
  void finishWork(const WorkPtr &Job);
  void cancelWork(const WorkPtr &Job);
  void releaseSlot();
  void exitWhenDrained();
  [[noreturn]] void crash(const HttpRequest &Request);

  std::string announcement() const;
  std::string statistics() const;

  boost::asio::io_context &Context;
  BackendSettings Settings;
  HttpServer Server;
  Announcer Announcements;
  SteadyClock Clock;
  SeededRandom Random;
  RunRecorder Runs;
  BackendFaults Faults;
  BackendServerState State = BackendServerState::Starting;
  unsigned InProgress = 0;
  unsigned MaxInProgress = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Cancelled = 0;
  /// Requests whose deadline passed before their work was complete.
  std::uint64_t Expired = 0;
  std::uint64_t Failed = 0;
  /// Requests that arrived after draining was announced.
  std::uint64_t LateRequests = 0;
  bool MinimumDrainPassed = false;
};

} // namespace teaselhitch::standin

#endif

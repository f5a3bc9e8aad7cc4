#ifndef TEASELHITCH_STANDIN_PLATFORMSERVER_H
#define TEASELHITCH_STANDIN_PLATFORMSERVER_H

/// \file
/// Simulated platform: an in-memory table service and object store with fault
/// injection.

#include "HttpServer.h"
#include "teaselhitch/Platform/MemoryStores.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Random.h"

#include <cstdint>

namespace teaselhitch::standin {

enum class PlatformFaultMode {
  Ok,
  /// Answers with status 503 or closes the connection, each with probability
  /// 1/2.
  Down,
  /// The operation is executed and answered after a delay.
  Slow,
  /// Writes are executed and the connection is closed without an answer. Reads
  /// are answered.
  LostAnswer,
};

struct PlatformFaults {
  PlatformFaultMode Mode = PlatformFaultMode::Ok;
  Duration Delay;
  /// Probability that the fault affects an operation, 0 to 1.
  double Probability = 1;
};

/// Parses the body of `PUT /standin/faults`. Fails with InvalidInput, whose
/// message names the invalid member.
Result<PlatformFaults> parsePlatformFaults(const std::string &Body);

/// Serves `/table`, `/objects`, `PUT /standin/faults` and
/// `GET /standin/statistics`. All calls must be made on the thread of Context.
class PlatformServer {
public:
  PlatformServer(boost::asio::io_context &Context, std::uint64_t Seed);

  /// Starts listening. Port 0 selects a free port.
  Result<Endpoint> listen(const Endpoint &Address);

  void setFaults(const PlatformFaults &NewFaults) { Faults = NewFaults; }

private:
  void handle(const ExchangePtr &Current);
  void handleControl(const ExchangePtr &Current);
  void handleWithFaults(const ExchangePtr &Current);
  void answerDelayed(const ExchangePtr &Current);
  /// Executes the operation and returns the response.
  HttpResponse execute(const HttpRequest &Request);

  boost::asio::io_context &Context;
  HttpServer Server;
  SeededRandom Random;
  PlatformFaults Faults;
  MemoryTableStore Table;
  MemoryObjectStore Objects;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Number of operations affected by a fault.
  std::uint64_t Faulted = 0;
};

} // namespace teaselhitch::standin

#endif

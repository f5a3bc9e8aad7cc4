#ifndef TEASELHITCH_STANDIN_PLATFORMSERVER_H
#define TEASELHITCH_STANDIN_PLATFORMSERVER_H

/// \file
/// Stand-in for the platform: table service and object store in memory, with
/// faults.

#include "HttpServer.h"
#include "teaselhitch/Platform/MemoryStores.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Random.h"

#include <cstdint>

namespace teaselhitch::standin {

enum class PlatformFaultMode {
  Ok,
  /// Answers 503 or closes the connection, each half of the time.
  Down,
  /// The operation takes effect, and is answered, after a delay.
  Slow,
  /// Writes take effect and the connection closes without an answer.
  LostAnswer,
};

struct PlatformFaults {
  PlatformFaultMode Mode = PlatformFaultMode::Ok;
  Duration Delay;
  /// Share of the operations that the fault hits, 0 to 1.
  double Probability = 1;
};

/// Parses the body of `PUT /standin/faults`; InvalidInput names the wrong
/// member.
Result<PlatformFaults> parsePlatformFaults(const std::string &Body);

/// Serves `/table`, `/objects`, `PUT /standin/faults` and
/// `GET /standin/statistics`. All calls on the thread of Context.
class PlatformServer {
public:
  PlatformServer(boost::asio::io_context &Context, std::uint64_t Seed);

  /// Starts listening; port 0 chooses a free port.
  Result<Endpoint> listen(const Endpoint &Address);

  void setFaults(const PlatformFaults &New) { Faults = New; }

private:
  void handle(const ExchangePtr &Current);
  void handleControl(const ExchangePtr &Current);
  void handleWithFaults(const ExchangePtr &Current);
  void delay(const ExchangePtr &Current);
  /// Executes the operation and gives its answer.
  HttpResponse execute(const HttpRequest &Request);

  boost::asio::io_context &Context;
  HttpServer Server;
  SeededRandom Random;
  PlatformFaults Faults;
  MemoryTableStore Table;
  MemoryObjectStore Objects;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  /// Operations that a fault hit.
  std::uint64_t Faulted = 0;
};

} // namespace teaselhitch::standin

#endif

#ifndef TEASELHITCH_TOOLS_BENCH_LIMITSBENCH_H
#define TEASELHITCH_TOOLS_BENCH_LIMITSBENCH_H

/// \file
/// Simulates one guard under overload in virtual time. The results are a
/// function of the options.

#include "teaselhitch/Support/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch {

/// Distribution of the offered load over the organisations.
enum class LoadMix : std::uint8_t {
  /// All organisations send the same load.
  Even,
  /// All organisations but one send exactly their shares. The noisy
  /// organisation sends the rest of the load.
  OneNoisy,
};

struct OverloadOptions {
  std::uint64_t Seed = 1;
  unsigned Servers = 4;
  /// Slots of each server.
  std::uint32_t Slots = 3;
  /// Number of organisations, which have equal shares.
  unsigned Organisations = 11;
  /// Run times are uniformly distributed between 0.25 and 1.75 times this mean.
  Duration MeanRunTime = Duration(20);
  /// Measured time. A warm-up of a tenth of this time precedes the measurement.
  Duration Length = Duration::seconds(60);
  /// Whether the organisations are in the guard's configuration. If not, all of
  /// them use one common share.
  bool KnownOrganisations = true;
};

/// Result of one run.
struct OverloadRow {
  LoadMix Mix = LoadMix::Even;
  /// Offered load in multiples of the capacity.
  double Load = 0;
  /// Slot time of the requests that were answered before their deadlines, as a
  /// share of the total slot time.
  double Goodput = 0;
  std::uint64_t Answered = 0;
  /// Failed requests, by reason.
  std::uint64_t QueueFull = 0;
  std::uint64_t OverShare = 0;
  std::uint64_t Expired = 0;
  std::uint64_t ExpiredRunning = 0;
  /// Longest time from the arrival of a request to its refusal. Expired
  /// requests are not included.
  Duration SlowestRefusal;
  /// Smallest share of answered requests of any organisation that sends at most
  /// its share of the load; 1 if there is no such organisation.
  double WorstServed = 1;
  /// Load of the noisy organisation in multiples of its share.
  double NoisyShares = 0;
};

/// Runs one simulation. \p Load is the offered load in multiples of the
/// capacity.
OverloadRow runOverload(LoadMix Mix, double Load,
                        const OverloadOptions &Options);

/// Runs both mixes at 1, 2, 5 and 10 times the capacity, and the mix OneNoisy
/// with the noisy organisation at 20 times its share.
std::vector<OverloadRow> runOverloadTable(const OverloadOptions &Options);

/// Formats the rows as a Markdown table.
std::string overloadTableText(const std::vector<OverloadRow> &Rows);

} // namespace teaselhitch

#endif

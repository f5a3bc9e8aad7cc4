#ifndef TEASELHITCH_TOOLS_BENCH_LIMITSBENCH_H
#define TEASELHITCH_TOOLS_BENCH_LIMITSBENCH_H

/// \file
/// Runs one guard under overload in virtual time. Results depend on the options
/// only.

#include "teaselhitch/Support/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch {

/// Who sends the load above the shares.
enum class LoadMix : std::uint8_t {
  /// All organisations send the same.
  Even,
  /// All but one send exactly their share; one sends the rest.
  OneNoisy,
};

struct OverloadOptions {
  std::uint64_t Seed = 1;
  unsigned Servers = 4;
  std::uint32_t Slots = 3;
  /// Organisations of equal share.
  unsigned Organisations = 11;
  /// Run times are uniform between a quarter and seven quarters of it.
  Duration MeanRunTime = Duration(20);
  /// Counted time; a tenth of it runs before, uncounted.
  Duration Length = Duration::seconds(60);
  /// Whether the guard knows the organisations; if not, all use one share.
  bool KnownOrganisations = true;
};

/// What one run showed.
struct OverloadRow {
  LoadMix Mix = LoadMix::Even;
  /// Offered load in multiples of the capacity.
  double Load = 0;
  /// Slot time of requests answered in time, as a share of all slot time.
  double Goodput = 0;
  std::uint64_t Answered = 0;
  /// Refusals by reason.
  std::uint64_t QueueFull = 0;
  std::uint64_t OverShare = 0;
  std::uint64_t Expired = 0;
  std::uint64_t ExpiredRunning = 0;
  /// Longest time from arrival to a refusal, expired requests left out.
  Duration SlowestRefusal;
  /// Of the organisations that send at most their share: the smallest part of
  /// requests that was answered. 1 if there are none.
  double WorstServed = 1;
  /// What the noisy organisation sends, in multiples of its share.
  double NoisyShares = 0;
};

OverloadRow runOverload(LoadMix Mix, double Load,
                        const OverloadOptions &Options);

/// Both mixes at 1, 2, 5 and 10 times the capacity, and one organisation at 20
/// times its share.
std::vector<OverloadRow> runOverloadTable(const OverloadOptions &Options);

/// The rows as a Markdown table.
std::string overloadTableText(const std::vector<OverloadRow> &Rows);

} // namespace teaselhitch

#endif

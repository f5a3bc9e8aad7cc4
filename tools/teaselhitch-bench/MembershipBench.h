#ifndef TEASELHITCH_TOOLS_BENCH_MEMBERSHIPBENCH_H
#define TEASELHITCH_TOOLS_BENCH_MEMBERSHIPBENCH_H

/// \file
/// Measures the costs of Membership per node (network traffic, processor time
/// and memory) and the delays of detection and dissemination. Many Membership
/// objects run in one thread in virtual time. All messages are encoded and
/// decoded.

#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch {

struct MembershipBenchOptions {
  /// Fleet sizes to measure, in nodes.
  std::vector<std::size_t> Sizes = {50, 100, 200, 400};
  std::size_t ServersPerNode = 13;
  /// Minimum virtual time of a measurement in seconds. A measurement is
  /// extended until the expected number of restarts is at least MinRestarts.
  double MinSeconds = 120;
  double MinRestarts = 6;
  /// Share of datagrams that are lost.
  double LossRate = 0;
  /// Number of node kills and of record changes, from which the detection and
  /// dissemination times are measured.
  unsigned Samples = 10;
  std::uint64_t Seed = 1;
};

/// Costs per node and second at one fleet size. All byte counts include
/// headers.
struct MembershipCostRow {
  std::size_t Nodes = 0;
  /// Whether nodes restart and new configuration heads are published during the
  /// measurement. The restart rate of the target size is scaled by the number
  /// of nodes; the rate of configuration heads is that of the target size.
  bool HasChanges = false;
  double VirtualSeconds = 0;
  std::uint64_t Restarts = 0;
  /// Bytes sent in datagrams, including 28 bytes of IP and UDP headers for each
  /// datagram.
  double DatagramBytes = 0;
  double Datagrams = 0;
  /// Bytes of digests and deltas sent over TCP.
  double SyncBytes = 0;
  /// Processor time of Membership and the codec in percent of a core.
  double CpuPercent = 0;
  /// Number of times that a running node was declared dead.
  std::uint64_t FalseDeaths = 0;

  double sentBytes() const { return DatagramBytes + SyncBytes; }
};

/// Time until the last node learns of a change, in virtual milliseconds:
/// detection of the death of a node, and dissemination of a changed record.
struct MembershipDelayRow {
  std::size_t Nodes = 0;
  double DetectionMedianMs = 0;
  double DetectionMaxMs = 0;
  double DisseminationMedianMs = 0;
  double DisseminationMaxMs = 0;
};

/// Costs of one Membership object at the target size.
struct MembershipSizeResult {
  std::size_t Nodes = 1400;
  std::size_t Servers = 0;
  std::size_t Services = 0;
  /// Allocated bytes of the Membership object and its snapshot.
  double Bytes = 0;
  /// Wall-clock time to build a snapshot after one backend server has changed.
  double SnapshotMedianMs = 0;
  double SnapshotMaxMs = 0;
  /// Encoded size in bytes of the full set of records, which a new node
  /// receives.
  double WholeSetBytes = 0;
};

/// Costs per node and second, extrapolated to 1,400 nodes by linear regression
/// over the rows with changes.
struct MembershipProjection {
  double SentBytes = 0;
  double CpuPercent = 0;
};

struct MembershipBenchResult {
  std::vector<MembershipCostRow> Costs;
  std::vector<MembershipDelayRow> Delays;
  MembershipSizeResult Size;
  MembershipProjection Projection;
};

MembershipBenchResult runMembershipBench(const MembershipBenchOptions &Options);

/// Formats the results as text tables.
std::string membershipBenchText(const MembershipBenchResult &Results);
/// Formats the results as one JSON object.
std::string membershipBenchJson(const MembershipBenchResult &Results);

} // namespace teaselhitch

#endif

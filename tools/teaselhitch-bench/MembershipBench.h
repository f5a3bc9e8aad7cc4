#ifndef TEASELHITCH_TOOLS_BENCH_MEMBERSHIPBENCH_H
#define TEASELHITCH_TOOLS_BENCH_MEMBERSHIPBENCH_H

/// \file
/// Measures what Membership costs each node: network, processor, memory, and
/// how long news take. Many memberships run in one thread in virtual time;
/// all messages pass through the codec.

#include <cstdint>
#include <string>
#include <vector>

namespace teaselhitch {

struct MembershipBenchOptions {
  /// Numbers of nodes to measure with.
  std::vector<std::size_t> Sizes = {50, 100, 200, 400};
  std::size_t ServersPerNode = 13;
  /// Least virtual time of a measurement in seconds. It is longer when fewer
  /// restarts than MinRestarts fall into it.
  double MinSeconds = 120;
  double MinRestarts = 6;
  /// Share of datagrams that get lost.
  double Loss = 0;
  /// Measured kills and changes for detection and dissemination time.
  unsigned Samples = 10;
  std::uint64_t Seed = 1;
};

/// Costs per node and second at one size. All bytes include headers.
struct MembershipCostRow {
  std::size_t Nodes = 0;
  /// With restarts and configuration heads at the rate of the target size,
  /// scaled by the number of nodes; otherwise nothing changes.
  bool HasChanges = false;
  double VirtualSeconds = 0;
  std::uint64_t Restarts = 0;
  /// Datagrams sent, with 28 bytes of IP and UDP headers each.
  double DatagramBytes = 0;
  double Datagrams = 0;
  /// Digests and deltas sent by TCP.
  double SyncBytes = 0;
  /// Time in Membership and the codec in percent of a core.
  double CpuPercent = 0;
  /// Declarations of death of running nodes.
  std::uint64_t FalseDeaths = 0;

  double sentBytes() const { return DatagramBytes + SyncBytes; }
};

/// How long news take to reach the last node, in virtual milliseconds.
struct MembershipDelayRow {
  std::size_t Nodes = 0;
  double DetectionMedianMs = 0;
  double DetectionMaxMs = 0;
  double DisseminationMedianMs = 0;
  double DisseminationMaxMs = 0;
};

/// One membership at the target size.
struct MembershipSizeResult {
  std::size_t Nodes = 1400;
  std::size_t Servers = 0;
  std::size_t Services = 0;
  /// Allocated bytes of the membership and its snapshot.
  double Bytes = 0;
  /// Wall clock time of one snapshot after the change of one backend server.
  double SnapshotMedianMs = 0;
  double SnapshotMaxMs = 0;
  /// Encoded bytes of the whole set, which a new node receives.
  double WholeSetBytes = 0;
};

/// Linear fits of the rows with changes, at 1,400 nodes.
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

/// Tables for people.
std::string membershipBenchText(const MembershipBenchResult &Measured);
/// The same as one JSON object.
std::string membershipBenchJson(const MembershipBenchResult &Measured);

} // namespace teaselhitch

#endif

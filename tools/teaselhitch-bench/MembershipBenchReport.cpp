#include "MembershipBench.h"

#include <boost/json.hpp>

#include <iomanip>
#include <sstream>

namespace teaselhitch {

namespace {

constexpr double BytesPerMebibyte = 1024.0 * 1024.0;

void writeCosts(std::ostream &Out, const MembershipBenchResult &Results) {
  Out << "costs per node and second\n"
      << "  nodes changes restarts virtual-s datagrams udp-B tcp-B sent-B "
         "core-% false-deaths\n";
  for (const MembershipCostRow &Row : Results.Costs)
    Out << std::setw(7) << Row.Nodes << std::setw(8)
        << (Row.HasChanges ? "yes" : "no") << std::setw(9) << Row.Restarts
        << std::setw(10) << Row.VirtualSeconds << std::setw(10) << Row.Datagrams
        << std::setw(6) << Row.DatagramBytes << std::setw(6) << Row.SyncBytes
        << std::setw(7) << Row.sentBytes() << std::setw(7)
        << std::setprecision(3) << Row.CpuPercent << std::setprecision(1)
        << std::setw(13) << Row.FalseDeaths << "\n";
  Out << "  linear fit at 1400 nodes with changes: "
      << Results.Projection.SentBytes << " B sent, " << std::setprecision(3)
      << Results.Projection.CpuPercent << std::setprecision(1) << " % core\n";
}

void writeDelays(std::ostream &Out, const MembershipBenchResult &Results) {
  Out << "time until the last node knows, ms (median, maximum)\n"
      << "  nodes        death   max     leaving   max\n";
  for (const MembershipDelayRow &Row : Results.Delays)
    Out << std::setw(7) << Row.Nodes << std::setw(13) << Row.DetectionMedianMs
        << std::setw(8) << Row.DetectionMaxMs << std::setw(10)
        << Row.DisseminationMedianMs << std::setw(8) << Row.DisseminationMaxMs
        << "\n";
}

void writeSize(std::ostream &Out, const MembershipSizeResult &Size) {
  Out << "one membership of " << Size.Nodes << " nodes, " << Size.Servers
      << " backend servers, " << Size.Services << " services\n"
      << "  memory " << Size.Bytes / BytesPerMebibyte
      << " MiB with snapshot\n  snapshot after one change "
      << std::setprecision(3) << Size.SnapshotMedianMs << " ms median, "
      << Size.SnapshotMaxMs << " ms maximum\n  whole set "
      << std::setprecision(0) << Size.WholeSetBytes << " B encoded\n";
}

} // namespace

std::string membershipBenchText(const MembershipBenchResult &Results) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(1);
  writeCosts(Out, Results);
  writeDelays(Out, Results);
  writeSize(Out, Results.Size);
  return Out.str();
}

std::string membershipBenchJson(const MembershipBenchResult &Results) {
  boost::json::array Costs, Delays;
  for (const MembershipCostRow &Row : Results.Costs)
    Costs.push_back({{"nodes", Row.Nodes},
                     {"has_changes", Row.HasChanges},
                     {"virtual_seconds", Row.VirtualSeconds},
                     {"restarts", Row.Restarts},
                     {"datagrams_per_second", Row.Datagrams},
                     {"datagram_bytes_per_second", Row.DatagramBytes},
                     {"sync_bytes_per_second", Row.SyncBytes},
                     {"sent_bytes_per_second", Row.sentBytes()},
                     {"cpu_percent", Row.CpuPercent},
                     {"false_deaths", Row.FalseDeaths}});
  for (const MembershipDelayRow &Row : Results.Delays)
    Delays.push_back({{"nodes", Row.Nodes},
                      {"detection_median_ms", Row.DetectionMedianMs},
                      {"detection_max_ms", Row.DetectionMaxMs},
                      {"dissemination_median_ms", Row.DisseminationMedianMs},
                      {"dissemination_max_ms", Row.DisseminationMaxMs}});
  const MembershipSizeResult &Size = Results.Size;
  boost::json::object Root = {
      {"costs", Costs},
      {"delays", Delays},
      {"size",
       {{"nodes", Size.Nodes},
        {"servers", Size.Servers},
        {"services", Size.Services},
        {"bytes", Size.Bytes},
        {"snapshot_median_ms", Size.SnapshotMedianMs},
        {"snapshot_max_ms", Size.SnapshotMaxMs},
        {"whole_set_bytes", Size.WholeSetBytes}}},
      {"projection_1400",
       {{"sent_bytes_per_second", Results.Projection.SentBytes},
        {"cpu_percent", Results.Projection.CpuPercent}}}};
  return boost::json::serialize(Root);
}

} // namespace teaselhitch

#include "teaselhitch/Support/Metrics.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdio>

namespace teaselhitch {

namespace {

namespace bh = boost::histogram;

constexpr double LowestEdgeMs = 0.05;
constexpr double HighestEdgeMs = 60000;
/// The upper edge of a bin is about 16% above its lower edge.
constexpr unsigned BinCount = 96;
/// Number of bins that are merged into a rendered bucket.
constexpr int BinsPerBucket = 4;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using AtomicCount = bh::accumulators::count<std::uint64_t, true>;
using Storage = bh::dense_storage<AtomicCount>;
using LatencyData = bh::histogram<std::tuple<LogAxis>, Storage>;

std::string formatNumber(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.9g", Value);
  return Text;
}

std::string seriesName(const std::string &Name, const std::string &Labels) {
  return Labels.empty() ? Name : Name + "{" + Labels + "}";
}

void renderHeader(const std::string &Name, const std::string &Help,
                  const char *Type, std::string &Out) {
  Out += "# HELP " + Name + " " + Help + "\n# TYPE " + Name + " " + Type + "\n";
}

} // namespace

struct LatencyHistogram::Impl {
  LatencyData Bins = bh::make_histogram_with(
      Storage(), LogAxis(BinCount, LowestEdgeMs, HighestEdgeMs));
  std::atomic<double> SumMs{0};

  std::uint64_t total() const {
    std::uint64_t N = 0;
    for (int I = -1; I <= static_cast<int>(BinCount); ++I)
      N += Bins.at(I).value();
    return N;
  }
};

LatencyHistogram::LatencyHistogram() : Data(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration D) {
  Data->Bins(D.ms());
  Data->SumMs.fetch_add(D.ms(), std::memory_order_relaxed);
}

Duration LatencyHistogram::quantile(double Q) const {
  std::uint64_t Total = Data->total();
  if (Total == 0)
    return Duration();
  double TargetRank = Q * static_cast<double>(Total);
  std::uint64_t Cumulative = 0;
  for (int I = -1; I < static_cast<int>(BinCount); ++I) {
    Cumulative += Data->Bins.at(I).value();
    if (static_cast<double>(Cumulative) >= TargetRank)
      return Duration(I < 0 ? LowestEdgeMs : Data->Bins.axis().bin(I).upper());
  }
  return Duration(HighestEdgeMs);
}

void LatencyHistogram::render(const std::string &Name,
                              const std::string &Labels,
                              std::string &Out) const {
  std::string Prefix = Labels.empty() ? "" : Labels + ",";
  std::uint64_t Cumulative = Data->Bins.at(-1).value();
  for (int I = 0; I < static_cast<int>(BinCount); ++I) {
    Cumulative += Data->Bins.at(I).value();
    if ((I + 1) % BinsPerBucket != 0)
      continue;
    double UpperMs = Data->Bins.axis().bin(I).upper();
    Out += Name + "_bucket{" + Prefix + "le=\"" + formatNumber(UpperMs / 1000) +
           "\"} " + std::to_string(Cumulative) + "\n";
  }
  std::uint64_t Total = Data->total();
  Out += Name + "_bucket{" + Prefix + "le=\"+Inf\"} " + std::to_string(Total) +
         "\n";
  Out += seriesName(Name + "_sum", Labels) + " " +
         formatNumber(Data->SumMs.load() / 1000) + "\n";
  Out +=
      seriesName(Name + "_count", Labels) + " " + std::to_string(Total) + "\n";
}

template <typename T>
T &MetricRegistry::findOrCreate(std::map<std::string, Family<T>> &Families,
                                const std::string &Name,
                                const std::string &Help,
                                const std::string &Labels) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Family<T> &F = Families[Name];
  F.Help = Help;
  std::unique_ptr<T> &Metric = F.ByLabels[Labels];
  if (!Metric)
    Metric = std::make_unique<T>();
  return *Metric;
}

Counter &MetricRegistry::counter(const std::string &Name,
                                 const std::string &Help,
                                 const std::string &Labels) {
  return findOrCreate(Counters, Name, Help, Labels);
}

Gauge &MetricRegistry::gauge(const std::string &Name, const std::string &Help,
                             const std::string &Labels) {
  return findOrCreate(Gauges, Name, Help, Labels);
}

LatencyHistogram &MetricRegistry::latency(const std::string &Name,
                                          const std::string &Help,
                                          const std::string &Labels) {
  return findOrCreate(Latencies, Name, Help, Labels);
}

std::string MetricRegistry::render() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::string Out;
  for (const auto &[Name, F] : Counters) {
    renderHeader(Name, F.Help, "counter", Out);
    for (const auto &[Labels, Metric] : F.ByLabels)
      Out += seriesName(Name, Labels) + " " + std::to_string(Metric->value()) +
             "\n";
  }
  for (const auto &[Name, F] : Gauges) {
    renderHeader(Name, F.Help, "gauge", Out);
    for (const auto &[Labels, Metric] : F.ByLabels)
      Out +=
          seriesName(Name, Labels) + " " + formatNumber(Metric->value()) + "\n";
  }
  for (const auto &[Name, F] : Latencies) {
    renderHeader(Name, F.Help, "histogram", Out);
    for (const auto &[Labels, Metric] : F.ByLabels)
      Metric->render(Name, Labels, Out);
  }
  return Out;
}

} // namespace teaselhitch

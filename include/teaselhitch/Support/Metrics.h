#ifndef TEASELHITCH_SUPPORT_METRICS_H
#define TEASELHITCH_SUPPORT_METRICS_H

/// \file
/// Metrics of the process and their output in the Prometheus text format.

#include "teaselhitch/Support/Clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace teaselhitch {

/// A monotonically increasing value. Thread-safe.
class Counter {
public:
  void add(std::uint64_t N = 1) {
    Value.fetch_add(N, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// A value that can increase and decrease. Thread-safe.
class Gauge {
public:
  void set(double V) { Value.store(V, std::memory_order_relaxed); }
  double value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value{0};
};

/// A histogram of durations from 0.05 ms to 60 s with logarithmic bins.
/// Thread-safe.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  void record(Duration D);

  /// Returns the upper edge of the bin that contains the quantile Q in [0, 1],
  /// or 0 ms if there are no samples.
  Duration quantile(double Q) const;

  /// Appends the buckets, sum and count of the metric Name with the given
  /// labels to Out in the Prometheus text format.
  void render(const std::string &Name, const std::string &Labels,
              std::string &Out) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

/// The metrics of a process, by name. The returned references stay valid for
/// the lifetime of the registry. Labels use the syntax of the text format, e.g.
/// `reason="queue-full"`.
class MetricRegistry {
public:
  Counter &counter(const std::string &Name, const std::string &Help,
                   const std::string &Labels = "");
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const std::string &Labels = "");
  LatencyHistogram &latency(const std::string &Name, const std::string &Help,
                            const std::string &Labels = "");

  /// Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string render() const;

private:
  template <typename T> struct Family {
    std::string Help;
    std::map<std::string, std::unique_ptr<T>> ByLabels;
  };
  template <typename T>
  T &findOrCreate(std::map<std::string, Family<T>> &Families,
                  const std::string &Name, const std::string &Help,
                  const std::string &Labels);

  mutable std::mutex Mutex;
  std::map<std::string, Family<Counter>> Counters;
  std::map<std::string, Family<Gauge>> Gauges;
  std::map<std::string, Family<LatencyHistogram>> Latencies;
};

} // namespace teaselhitch

#endif

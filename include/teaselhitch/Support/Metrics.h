#ifndef TEASELHITCH_SUPPORT_METRICS_H
#define TEASELHITCH_SUPPORT_METRICS_H

/// \file
/// Metrics of the process, rendered in the Prometheus text format.

#include "teaselhitch/Support/Clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace teaselhitch {

/// A value that only grows. Safe to use from any thread.
class Counter {
public:
  void add(std::uint64_t N = 1) {
    Value.fetch_add(N, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// A value that goes up and down. Safe to use from any thread.
class Gauge {
public:
  void set(double V) { Value.store(V, std::memory_order_relaxed); }
  double value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value{0};
};

/// A distribution of durations between 0.05 ms and 60 s in logarithmic bins.
/// Safe to use from any thread.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  void record(Duration D);

  /// The upper edge of the bin that holds the quantile Q in [0, 1]; 0 ms
  /// without samples.
  Duration quantile(double Q) const;

  /// Appends the Prometheus buckets of the metric Name with the given labels.
  void render(const std::string &Name, const std::string &Labels,
              std::string &Out) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

/// The metrics of one process by name. References stay valid for the life of
/// the registry. Labels are written as in the text format, e.g.
/// `reason="queue-full"`.
class MetricRegistry {
public:
  Counter &counter(const std::string &Name, const std::string &Help,
                   const std::string &Labels = "");
  Gauge &gauge(const std::string &Name, const std::string &Help,
               const std::string &Labels = "");
  LatencyHistogram &latency(const std::string &Name, const std::string &Help,
                            const std::string &Labels = "");

  /// All metrics in the Prometheus text format, version 0.0.4.
  std::string render() const;

private:
  template <typename T> struct Family {
    std::string Help;
    std::map<std::string, std::unique_ptr<T>> ByLabels;
  };
  template <typename T>
  T &find(std::map<std::string, Family<T>> &Families, const std::string &Name,
          const std::string &Help, const std::string &Labels);

  mutable std::mutex Mutex;
  std::map<std::string, Family<Counter>> Counters;
  std::map<std::string, Family<Gauge>> Gauges;
  std::map<std::string, Family<LatencyHistogram>> Latencies;
};

} // namespace teaselhitch

#endif

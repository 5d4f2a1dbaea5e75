//===- Metrics.h - Counters, gauges and histograms ------------------------===//
//
// A registry of named series that are exported as Prometheus text. Series are
// created on first use and then updated without a lock.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_OBSERVE_METRICS_H
#define RAGWORT_OBSERVE_METRICS_H

#include "ragwort/base/Time.h"
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace ragwort {

/// A value that only increases.
class Counter {
public:
  void add(uint64_t Amount = 1) {
    Total.fetch_add(Amount, std::memory_order_relaxed);
  }
  uint64_t value() const { return Total.load(std::memory_order_relaxed); }

private:
  std::atomic<uint64_t> Total = 0;
};

/// A value that can increase and decrease.
class Gauge {
public:
  void set(int64_t Value) { Current.store(Value, std::memory_order_relaxed); }
  void add(int64_t Amount) {
    Current.fetch_add(Amount, std::memory_order_relaxed);
  }
  int64_t value() const { return Current.load(std::memory_order_relaxed); }

private:
  std::atomic<int64_t> Current = 0;
};

/// Durations in logarithmic bins from 10 us to 1000 s, about 12% wide. Several
/// threads may record and read concurrently.
///
/// \code
///   DurationHistogram Latency;
///   Latency.record(Clock.now() - Start);
///   Duration P99 = Latency.quantile(0.99);
/// \endcode
class DurationHistogram {
public:
  DurationHistogram();
  ~DurationHistogram();
  DurationHistogram(const DurationHistogram &) = delete;
  DurationHistogram &operator=(const DurationHistogram &) = delete;

  void record(Duration Value);
  uint64_t count() const;
  Duration sum() const;
  /// Upper edge of the bin that contains quantile \p Q (0 to 1), at most
  /// 1000 s; zero if empty.
  Duration quantile(double Q) const;
  /// Calls \p Visit for each non-empty bin with its upper edge in seconds and
  /// the count of all values up to it.
  template <class Visitor> void forEachBin(Visitor Visit) const;

private:
  struct Impl;
  uint64_t binCount(size_t Bin) const;
  double binUpperSeconds(size_t Bin) const;
  size_t bins() const;

  std::unique_ptr<Impl> State;
};

template <class Visitor>
void DurationHistogram::forEachBin(Visitor Visit) const {
  uint64_t Cumulative = 0;
  for (size_t Bin = 0; Bin < bins(); ++Bin) {
    uint64_t InBin = binCount(Bin);
    if (InBin == 0)
      continue;
    Cumulative += InBin;
    Visit(binUpperSeconds(Bin), Cumulative);
  }
}

/// Owns all series of a process.
///
/// \code
///   Counter &Sent = Metrics.counter("ragwort_frames_total", "dir=\"out\"");
/// \endcode
class MetricsRegistry {
public:
  /// The series with that name and label set, created on first use. References
  /// stay valid for the lifetime of the registry.
  Counter &counter(std::string_view Name, std::string_view Labels = "");
  Gauge &gauge(std::string_view Name, std::string_view Labels = "");
  DurationHistogram &histogram(std::string_view Name,
                               std::string_view Labels = "");

  /// All series in the Prometheus text format.
  std::string prometheusText() const;

private:
  template <class T>
  using Family =
      std::map<std::string, std::map<std::string, std::unique_ptr<T>>,
               std::less<>>;
  template <class T>
  T &find(Family<T> &Series, std::string_view Name, std::string_view Labels);

  // Guards the maps, not the series. No other lock is taken while it is held.
  mutable std::mutex Mutex;
  Family<Counter> Counters;
  Family<Gauge> Gauges;
  Family<DurationHistogram> Histograms;
};

} // namespace ragwort

#endif

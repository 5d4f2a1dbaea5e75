//===- Metrics.cpp - Metrics with histograms from Boost.Histogram ---------===//
#include "ragwort/observe/Metrics.h"
#include <boost/histogram.hpp>
#include <sstream>

namespace ragwort {

namespace {

namespace bh = boost::histogram;

constexpr double MinSeconds = 1e-5;
constexpr double MaxSeconds = 1e3;
constexpr unsigned BinCount = 160;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;
using Histogram = bh::histogram<std::tuple<LogAxis>, Storage>;

std::string labelBlock(const std::string &Labels) {
  return Labels.empty() ? std::string() : "{" + Labels + "}";
}

void printHistogram(std::ostream &Out, const std::string &Name,
                    const std::string &Labels,
                    const DurationHistogram &Series) {
  std::string Prefix = Labels.empty() ? "" : Labels + ",";
  Series.forEachBin([&](double UpperSeconds, uint64_t Cumulative) {
    Out << Name << "_bucket{" << Prefix << "le=\"" << UpperSeconds << "\"} "
        << Cumulative << '\n';
  });
  Out << Name << "_bucket{" << Prefix << "le=\"+Inf\"} " << Series.count()
      << '\n';
  Out << Name << "_sum" << labelBlock(Labels) << ' '
      << std::chrono::duration<double>(Series.sum()).count() << '\n';
  Out << Name << "_count" << labelBlock(Labels) << ' ' << Series.count()
      << '\n';
}

} // namespace

struct DurationHistogram::Impl {
  Histogram Bins{std::make_tuple(LogAxis(BinCount, MinSeconds, MaxSeconds))};
  std::atomic<uint64_t> Count = 0;
  std::atomic<int64_t> SumMicros = 0;
};

DurationHistogram::DurationHistogram() : State(std::make_unique<Impl>()) {}
DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::record(Duration Value) {
  State->Bins(
      std::max(std::chrono::duration<double>(Value).count(), MinSeconds));
  State->Count.fetch_add(1, std::memory_order_relaxed);
  State->SumMicros.fetch_add(Value.count(), std::memory_order_relaxed);
}

uint64_t DurationHistogram::count() const { return State->Count.load(); }

Duration DurationHistogram::sum() const {
  return Duration(State->SumMicros.load());
}

// One more than the axis has: the overflow bin for values above the range.
size_t DurationHistogram::bins() const { return BinCount + 1; }

uint64_t DurationHistogram::binCount(size_t Bin) const {
  return State->Bins.at(static_cast<int>(Bin));
}

double DurationHistogram::binUpperSeconds(size_t Bin) const {
  return State->Bins.axis(0).bin(static_cast<int>(Bin)).upper();
}

Duration DurationHistogram::quantile(double Q) const {
  auto TargetCount = static_cast<uint64_t>(Q * static_cast<double>(count()));
  double Upper = 0;
  bool IsFound = false;
  forEachBin([&](double UpperSeconds, uint64_t Cumulative) {
    if (IsFound)
      return;
    Upper = UpperSeconds;
    IsFound = Cumulative > TargetCount || Cumulative == count();
  });
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Upper, MaxSeconds)));
}

template <class T>
T &MetricsRegistry::find(Family<T> &Series, std::string_view Name,
                         std::string_view Labels) {
  std::lock_guard Lock(Mutex);
  auto &ByLabels = Series[std::string(Name)];
  std::unique_ptr<T> &Slot = ByLabels[std::string(Labels)];
  if (!Slot)
    Slot = std::make_unique<T>();
  return *Slot;
}

Counter &MetricsRegistry::counter(std::string_view Name,
                                  std::string_view Labels) {
  return find(Counters, Name, Labels);
}

Gauge &MetricsRegistry::gauge(std::string_view Name, std::string_view Labels) {
  return find(Gauges, Name, Labels);
}

DurationHistogram &MetricsRegistry::histogram(std::string_view Name,
                                              std::string_view Labels) {
  return find(Histograms, Name, Labels);
}

std::string MetricsRegistry::prometheusText() const {
  std::lock_guard Lock(Mutex);
  std::ostringstream Out;
  for (const auto &[Name, ByLabels] : Counters) {
    Out << "# TYPE " << Name << " counter\n";
    for (const auto &[Labels, Series] : ByLabels)
      Out << Name << labelBlock(Labels) << ' ' << Series->value() << '\n';
  }
  for (const auto &[Name, ByLabels] : Gauges) {
    Out << "# TYPE " << Name << " gauge\n";
    for (const auto &[Labels, Series] : ByLabels)
      Out << Name << labelBlock(Labels) << ' ' << Series->value() << '\n';
  }
  for (const auto &[Name, ByLabels] : Histograms) {
    Out << "# TYPE " << Name << " histogram\n";
    for (const auto &[Labels, Series] : ByLabels)
      printHistogram(Out, Name, Labels, *Series);
  }
  return Out.str();
}

} // namespace ragwort

#include "bambootack/health/latency_profile.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bambootack::health {
namespace {

// Bucket widths grow by a factor of 1.26 from 0.1 ms to 1000 s.
constexpr unsigned kBuckets = 70;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 1e6;

/// Responses of the peers required for quantiles. With fewer, the 99% quantile
/// depends on a single response.
constexpr double kMinResponses = 100.0;

// A high quantile depends on the few responses above it. It is raised by this
// many standard deviations of their number; otherwise its limit could be
// exceeded far more often than stated.
constexpr double kSamplingDeviations = 2.0;
/// Tolerance for rounding, so that the sum of all weights reaches the total.
constexpr double kRoundingTolerance = 1.0 - 1e-9;

constexpr double kMedian = 0.50;
constexpr double kSlowQuantile = 0.90;
constexpr double kVerySlowQuantile = 0.99;

// Servers of one group may differ in hardware. Responses faster than this
// multiple of the peers' median are not slow, however narrow the distribution.
constexpr double kMinSlowFactor = 3.0;

// A hang has to exceed both multiples, so that neither a heavy tail nor a
// narrow distribution causes one in normal operation.
constexpr double kHangMedianFactor = 10.0;
constexpr double kHangTailFactor = 3.0;

double ToMs(core::Duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

core::Duration FromMs(double value) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, std::milli>(value));
}

template <typename Histogram>
double TotalWeight(const Histogram& histogram) {
  double sum = 0.0;
  for (const double it : histogram) {
    sum += it;
  }
  return sum;
}

/// Upper edge of the bucket that contains the quantile, raised by the margin
/// for the sampling error.
template <typename Histogram>
double Quantile(const Histogram& histogram, double q, double total) {
  const auto& axis = histogram.axis();
  const double above = 1.0 - q;
  q = 1.0 -
      std::max(0.0, above - kSamplingDeviations * std::sqrt(above / total));
  double sum = histogram.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    sum += histogram.at(i);
    if (sum >= q * total * kRoundingTolerance) {
      return axis.bin(i).upper();
    }
  }
  return kMaxMs;
}

template <typename Histogram>
std::optional<LatencyLimits> DeriveLimits(const Histogram& peers) {
  const double total = TotalWeight(peers);
  if (total < kMinResponses) {
    return std::nullopt;
  }
  const double median = Quantile(peers, kMedian, total);
  const double tail = Quantile(peers, kVerySlowQuantile, total);
  const double lower_bound = kMinSlowFactor * median;
  return LatencyLimits{
      FromMs(std::max(Quantile(peers, kSlowQuantile, total), lower_bound)),
      FromMs(std::max(tail, lower_bound)),
      FromMs(std::max(kHangTailFactor * tail, kHangMedianFactor * median))};
}

}  // namespace

LatencyProfile::Histogram LatencyProfile::MakeHistogram() {
  return boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<double>(),
      Axis(kBuckets, kMinMs, kMaxMs));
}

void LatencyProfile::Add() { cells_.emplace_back(); }

void LatencyProfile::Remove(ServerIndex server) {
  cells_.erase(cells_.begin() + static_cast<std::ptrdiff_t>(server));
}

void LatencyProfile::Record(ServerIndex server, RouteIndex route,
                            core::Duration elapsed) {
  auto& row = cells_[server];
  while (row.size() <= route) {
    row.push_back({MakeHistogram(), std::nullopt});
  }
  row[route].times(ToMs(elapsed));
}

LatencyProfile::Histogram LatencyProfile::PeerHistogram(
    ServerIndex server, RouteIndex route) const {
  Histogram sum = MakeHistogram();
  for (ServerIndex i = 0; i < cells_.size(); ++i) {
    if (i != server && route < cells_[i].size()) {
      sum += cells_[i][route].times;
    }
  }
  return sum;
}

void LatencyProfile::Refresh(double factor) {
  std::size_t routes = 0;
  for (auto& row : cells_) {
    routes = std::max(routes, row.size());
    for (Cell& cell : row) {
      cell.times *= factor;
    }
  }
  for (ServerIndex i = 0; i < cells_.size(); ++i) {
    while (cells_[i].size() < routes) {
      cells_[i].push_back({MakeHistogram(), std::nullopt});
    }
    for (RouteIndex route = 0; route < routes; ++route) {
      cells_[i][route].limits = DeriveLimits(PeerHistogram(i, route));
    }
  }
}

std::optional<LatencyLimits> LatencyProfile::Limits(
    ServerIndex server, RouteIndex route) const noexcept {
  const auto& row = cells_[server];
  return route < row.size() ? row[route].limits : std::nullopt;
}

}  // namespace bambootack::health

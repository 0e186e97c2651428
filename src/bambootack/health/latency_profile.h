#ifndef BAMBOOTACK_HEALTH_LATENCY_PROFILE_H_
#define BAMBOOTACK_HEALTH_LATENCY_PROFILE_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <optional>
#include <tuple>
#include <vector>

#include "bambootack/core/time.h"
#include "bambootack/health/evidence.h"

namespace bambootack::health {

/// @brief Latencies above which a request counts as slow, derived from the
/// other servers of the group on the same route.
struct LatencyLimits {
  core::Duration slow{};       ///< At most 10% of peer responses are slower.
  core::Duration very_slow{};  ///< At most 1% of peer responses are slower.
  core::Duration hanging{};    ///< Far outside the peers' distribution.
};

/// @brief Latencies by server and route, older ones with less weight.
class LatencyProfile {
 public:
  /// @brief Adds a server, with the next index.
  void Add();

  /// @brief Removes a server; the indices of later ones decrease by one.
  void Remove(ServerIndex server);

  /// @brief Records the latency of a response.
  void Record(ServerIndex server, RouteIndex route, core::Duration elapsed);

  /// @brief Multiplies the weights of earlier responses by a factor and
  /// recalculates the limits.
  void Refresh(double factor);

  /// @return The limits as of the last refresh, or nothing while the peers have
  /// fewer than 100 responses (by weight).
  [[nodiscard]] std::optional<LatencyLimits> Limits(
      ServerIndex server, RouteIndex route) const noexcept;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<double>>;

  struct Cell {
    Histogram times;
    std::optional<LatencyLimits> limits;
  };

  static Histogram MakeHistogram();
  [[nodiscard]] Histogram PeerHistogram(ServerIndex server,
                                        RouteIndex route) const;

  std::vector<std::vector<Cell>> cells_;  ///< By server, then route.
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_LATENCY_PROFILE_H_

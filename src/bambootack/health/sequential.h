#ifndef BAMBOOTACK_HEALTH_SEQUENTIAL_H_
#define BAMBOOTACK_HEALTH_SEQUENTIAL_H_

#include <array>
#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "bambootack/core/time.h"
#include "bambootack/health/evidence.h"
#include "bambootack/health/latency_profile.h"

namespace bambootack::health {

/// @brief Binary property of a request that is compared between servers.
enum class Signal : std::uint8_t { kFailure, kSlow, kVerySlow, kHang };

/// @brief Number of signals.
inline constexpr std::size_t kSignalCount = 4;

/// @brief Number of alternative hypotheses tested in parallel.
inline constexpr std::size_t kHypothesisCount = 6;

/// @brief Upper bound of false ejections per request that the decision
/// thresholds allow while the servers of a group behave alike.
inline constexpr double kFalseEjectionRate = 1e-7;

/// @brief Alternative hypothesis on a server and the threshold of its score.
struct SequentialHypothesis {
  Signal signal;
  double probability;  ///< Rate of the signal on a faulty server.
  double threshold;    ///< Cumulative log-likelihood ratio to reach.
};

/// @brief Ejection policy that runs Page's CUSUM of log-likelihood ratios for
/// each server against its peers, and confirms a decision by a two-sample
/// likelihood-ratio test against the peers over the same time, so that a fault
/// that all servers share ejects none.
///
/// With the rate `p0` of a signal on the peers and the rate `p1` of the
/// hypothesis, a hit adds `weight * ln(p1 / p0)` to the score and a miss adds
/// `ln((1 - p1) / (1 - p0))`. The score does not fall below 0.
class Sequential {
 public:
  /// @brief Adds a server that is evaluated, with the next index.
  void Add();

  /// @brief Removes a server; the indices of later ones decrease by one.
  void Remove(ServerIndex server);

  /// @brief Starts to evaluate a server, without its earlier evidence.
  void Activate(ServerIndex server);

  /// @brief Stops evaluating a server and using it as a peer.
  void Deactivate(ServerIndex server, core::Time now);

  /// @brief Records the result of a request.
  void Observe(const Evidence& evidence);

  /// @brief Records a request in flight if its elapsed time is evidence
  /// already.
  /// @return Bit set of the signals counted so far, to be passed back in
  /// `Evidence::counted_signals`.
  [[nodiscard]] std::uint8_t ObserveInFlight(const InFlightRequest& request,
                                             core::Time now);

  /// @return True if the elapsed time exceeds the 99% quantile of the peers'
  /// latencies, with margins as in `LatencyLimits::very_slow`.
  [[nodiscard]] bool IsOverdue(const InFlightRequest& request) const noexcept;

  /// @brief Decays earlier evidence.
  void OnTimer(core::Time now);

  /// @brief Evaluates a single result, for probes.
  /// @return True for a failure or a very slow response.
  [[nodiscard]] bool IndicatesFault(const Evidence& evidence) const noexcept;

  /// @param exempt Servers that are not to be ejected.
  /// @return The unhealthy server with the highest normalized score. None if
  /// more than half of the servers are affected: the dispatcher's own network
  /// link is the likely cause then.
  [[nodiscard]] std::optional<ServerIndex> NextToEject(
      core::Time now, const std::vector<bool>& exempt) const;

  /// @return Highest score of the server relative to its threshold: 0 without
  /// evidence against it, 1 or more if a threshold is reached.
  [[nodiscard]] double NormalizedScore(ServerIndex server) const noexcept;

  /// @return The hypotheses tested in parallel.
  [[nodiscard]] static std::span<const SequentialHypothesis>
  Hypotheses() noexcept;

  /// @return Lower bound of the rate of a signal assumed on a healthy server.
  [[nodiscard]] static double MinHealthyRate(Signal signal) noexcept;

 private:
  struct Rate {
    double trials = 0.0;
    double hits = 0.0;
  };
  using Rates = std::array<Rate, kSignalCount>;

  /// Score of one hypothesis. The time at which it last left zero is the
  /// estimated onset of the fault.
  struct Score {
    double value = 0.0;
    core::Time onset{};
  };

  /// Value of one signal for one request.
  struct Observation {
    ServerIndex server;
    RouteIndex route;
    Signal signal;
    bool hit;
    double weight;
    core::Time at;
    /// Results arrive in the order in which requests end. Counting from the
    /// start of a slow request includes the fast ones of the same period.
    core::Time started;
  };

  struct Sample {
    core::Time at;
    bool hit;
  };
  using Samples = boost::circular_buffer<Sample>;

  struct ServerData {
    bool active = true;
    std::optional<core::Time> deactivated;
    std::vector<Rates> routes;  ///< Counts by route, decaying with time.
    Rates recent_rates;         ///< Counts decaying with each request.
    std::array<Score, kHypothesisCount> scores;
    std::array<Samples, kSignalCount> samples;
  };

  [[nodiscard]] static ServerData MakeServerData();
  void RecordObservation(const Observation& observation);
  void UpdateScores(const Observation& observation);
  [[nodiscard]] double BaselineRate(ServerIndex server, RouteIndex route,
                                    Signal signal) const;
  [[nodiscard]] double RecentPeerRate(ServerIndex server, Signal signal,
                                      double long_term_rate) const;
  [[nodiscard]] Rate RateSince(ServerIndex server, Signal signal,
                               core::Time since) const;
  [[nodiscard]] std::vector<Rate> PeerRatesSince(ServerIndex server,
                                                 Signal signal,
                                                 core::Time since) const;
  [[nodiscard]] bool DiffersFromPeers(ServerIndex server,
                                      std::size_t hypothesis) const;
  [[nodiscard]] bool IsUnhealthy(ServerIndex server) const;
  [[nodiscard]] bool IsLocalLinkFaultLikely(core::Time now) const;

  std::vector<ServerData> servers_;
  LatencyProfile latency_;
  core::Time next_decay_{};
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_SEQUENTIAL_H_

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

/// @brief Yes-or-no property of a request that is compared between servers.
enum class Signal : std::uint8_t { kFailure, kSlow, kVerySlow, kHang };

/// @brief Number of signals.
inline constexpr std::size_t kSignalCount = 4;

/// @brief Number of alternative hypotheses that run side by side.
inline constexpr std::size_t kHypothesisCount = 6;

/// @brief False ejections per request that the decision threshold allows for
/// while the servers of a group behave alike.
inline constexpr double kFalseEjectionRate = 1e-7;

/// @brief Alternative hypothesis on a server and the score that supports it.
struct SequentialHypothesis {
  Signal signal;
  double probability;  ///< Of the signal on the faulty server.
  double threshold;    ///< Of the cumulative log-likelihood ratio.
};

/// @brief Policy that runs Page's CUSUM of log-likelihood ratios for each
/// server against its peers, and confirms a decision by a two-sample
/// likelihood-ratio test against the peers over the same time, so that a fault
/// that all servers share ejects none. `docs/ejection.md` has the formulas.
class Sequential {
 public:
  /// @brief Adds an active server at the end.
  void Add();

  /// @brief Removes a server; later ones move up by one.
  /// @param server The server.
  void Remove(ServerIndex server);

  /// @brief Judges a server from now on, without its earlier evidence.
  /// @param server The server.
  void Activate(ServerIndex server);

  /// @brief Stops to judge a server and to use it as a peer.
  /// @param server The server.
  /// @param now Current time.
  void Deactivate(ServerIndex server, core::Time now);

  /// @brief Counts the result of a request.
  /// @param evidence The result.
  void Observe(const Evidence& evidence);

  /// @brief Counts a running request whose elapsed time is evidence already.
  /// @param request The request.
  /// @param now Current time.
  /// @return Signals counted so far, to be passed on in `Evidence::counted`.
  [[nodiscard]] std::uint8_t ObserveRunning(const RunningRequest& request,
                                            core::Time now);

  /// @brief Tells whether a running request is overdue.
  /// @param request The request.
  /// @return True if nearly all answers of its peers take less time.
  [[nodiscard]] bool IsOverdue(const RunningRequest& request) const noexcept;

  /// @brief Ages the evidence.
  /// @param now Current time.
  void OnTimer(core::Time now);

  /// @brief Judges one result by itself, for trial requests.
  /// @param evidence The result.
  /// @return True if it speaks against the server.
  [[nodiscard]] bool IsBad(const Evidence& evidence) const noexcept;

  /// @brief Finds the server to eject next.
  /// @param now Current time.
  /// @param exempt Servers that are not to be ejected.
  /// @return The unhealthy server with the highest suspicion, if any.
  [[nodiscard]] std::optional<ServerIndex> Worst(
      core::Time now, const std::vector<bool>& exempt) const;

  /// @brief Evidence against a server in relation to the threshold.
  /// @param server The server.
  /// @return 0 for none, 1 and more for an unhealthy server.
  [[nodiscard]] double Suspicion(ServerIndex server) const noexcept;

  /// @brief Hypotheses that run side by side.
  /// @return One for each score.
  [[nodiscard]] static std::span<const SequentialHypothesis>
  Hypotheses() noexcept;

  /// @brief Least rate of a signal that is assumed on a healthy server.
  /// @param signal The signal.
  /// @return The rate.
  [[nodiscard]] static double MinHealthyRate(Signal signal) noexcept;

 private:
  struct Rate {
    double trials = 0.0;
    double hits = 0.0;
  };
  using Rates = std::array<Rate, kSignalCount>;

  /// Score of one hypothesis and the time at which it last left zero, the
  /// estimate of the onset of the fault.
  struct Score {
    double value = 0.0;
    core::Time since{};
  };

  /// One signal of one request.
  struct Observation {
    ServerIndex server;
    RouteIndex route;
    Signal signal;
    bool hit;
    double weight;
    core::Time at;
    /// Results arrive in the order of their ends. Comparing from the start of
    /// a slow request on keeps the quick results of the same time in view.
    core::Time started;
  };

  struct Sample {
    core::Time at;
    bool hit;
  };
  using Samples = boost::circular_buffer<Sample>;

  struct Judged {
    bool active = true;
    std::optional<core::Time> deactivated;
    std::vector<Rates> routes;  ///< Aged counts by route.
    Rates recent_rates;         ///< Counts over the last few requests.
    std::array<Score, kHypothesisCount> scores;
    std::array<Samples, kSignalCount> samples;
  };

  [[nodiscard]] static Judged MakeJudged();
  void Count(const Observation& seen);
  void UpdateScores(const Observation& seen);
  [[nodiscard]] double Baseline(ServerIndex server, RouteIndex route,
                                Signal signal) const;
  [[nodiscard]] double RecentPeerRate(ServerIndex server, Signal signal,
                                      double usual) const;
  [[nodiscard]] Rate RateSince(ServerIndex server, Signal signal,
                               core::Time since) const;
  [[nodiscard]] std::vector<Rate> PeersSince(ServerIndex server, Signal signal,
                                             core::Time since) const;
  [[nodiscard]] bool DiffersFromPeers(ServerIndex server,
                                      std::size_t hypothesis) const;
  [[nodiscard]] bool IsUnhealthy(ServerIndex server) const;
  [[nodiscard]] bool IsOwnLinkSuspected(core::Time now) const;

  std::vector<Judged> servers_;
  LatencyProfile latency_;
  core::Time next_aging_{};
};

}  // namespace bambootack::health

#endif  // BAMBOOTACK_HEALTH_SEQUENTIAL_H_

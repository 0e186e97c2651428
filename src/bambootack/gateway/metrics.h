#ifndef BAMBOOTACK_GATEWAY_METRICS_H_
#define BAMBOOTACK_GATEWAY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "bambootack/core/time.h"
#include "bambootack/customers/directory.h"
#include "bambootack/gateway/connection_checks.h"
#include "bambootack/gateway/model.h"
#include "bambootack/gateway/server_pool.h"
#include "bambootack/metrics/metric_info.h"
#include "bambootack/metrics/time_histogram.h"

namespace bambootack::gateway {

/// @brief Gauge values, sampled when the metrics are written.
struct GatewayGauges {
  std::size_t in_flight = 0;
  std::size_t servers = 0;
  std::size_t limited_servers = 0;
  std::size_t members = 0;
  std::uint64_t config_version = 0;
  core::Duration state_age{};
  double quota_shares = 0.0;  ///< Sum over the shards, of `quota::kShards`.
  core::Duration key_age{};   ///< 0 without a confirmation.
  bool ready = false;
};

/// @brief All metrics of a gateway, in the order written. `docs/metrics.md`
/// lists the same names.
[[nodiscard]] std::span<const metrics::MetricInfo> GatewayCatalogue() noexcept;

/// @brief Metrics of one gateway.
class GatewayMetrics {
 public:
  /// @brief Counts an answer to a caller.
  /// @param error Name of the error kind, or "none" for a server's answer.
  void CountAnswer(std::string_view error, int status);

  /// @brief Counts the outcome of an attempt.
  void CountAttempt(AttemptOutcome outcome);

  /// @brief Counts a change of a server's health.
  void CountHealthChange(ServerHealth to);

  /// @brief Counts a connection that checks whether a server is up.
  void CountConnectionCheck(ConnectionResult result);

  /// @brief Counts the result of the check of an API key.
  void CountKeyCheck(customers::KeyCheck check);

  /// @brief Counts the decision on a token of a customer's quota.
  void CountToken(const std::string& customer, bool granted);

  /// @brief Counts a request whose token could not be decided on in time.
  void CountTokenTimeout() noexcept { ++token_timeouts_; }

  /// @brief Counts a slot request that the dispatcher did not answer in time.
  void CountDispatcherTimeout() noexcept { ++dispatcher_timeouts_; }

  /// @brief Counts a call to the platform's store.
  void CountStoreCall() noexcept { ++store_calls_; }

  /// @brief Counts a server that has told this VM that it is leaving.
  void CountLeavingServer() noexcept { ++leaving_servers_; }

  /// @brief Counts a pause that a server wants from this VM.
  void CountServerPause() noexcept { ++server_pauses_; }

  /// @brief Counts an answer in which a server named a limit.
  void CountServerLimit() noexcept { ++server_limits_; }

  /// @brief Counts the encoded size of a message to a peer.
  void CountPeerBytes(std::size_t bytes) noexcept { peer_bytes_ += bytes; }

  /// @brief Adds the time from a request to its answer.
  /// @param priority Priority of its route.
  void ObserveLatency(int priority, core::Duration value);

  /// @brief Adds the time that a request waited for a slot.
  void ObserveSlotWait(core::Duration value) { slot_wait_.Observe(value); }

  /// @brief Adds the delay of a timer's handler. It is long while the VM lacks
  /// processor time.
  void ObserveTimerDelay(core::Duration value) { timer_delay_.Observe(value); }

  /// @brief All metrics in the Prometheus text format.
  [[nodiscard]] std::string Text(const GatewayGauges& gauges) const;

 private:
  void WriteTokens(std::string& out) const;

  using Counts = std::map<std::string, std::uint64_t, std::less<>>;

  Counts answers_;
  Counts attempts_;
  Counts health_changes_;
  Counts connection_checks_;
  Counts key_checks_;
  struct TokenCounts {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
  };
  std::map<std::string, TokenCounts, std::less<>> tokens_;
  std::uint64_t token_timeouts_ = 0;
  std::uint64_t dispatcher_timeouts_ = 0;
  std::uint64_t store_calls_ = 0;
  std::uint64_t peer_bytes_ = 0;
  std::uint64_t leaving_servers_ = 0;
  std::uint64_t server_pauses_ = 0;
  std::uint64_t server_limits_ = 0;
  std::map<int, metrics::TimeHistogram> latency_;
  metrics::TimeHistogram slot_wait_;
  metrics::TimeHistogram timer_delay_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_METRICS_H_

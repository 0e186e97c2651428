#include "bambootack/gateway/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "bambootack/metrics/text.h"

namespace bambootack::gateway {
namespace {

using metrics::MetricInfo;

/// Priorities of this value and above share one histogram.
constexpr int kLastLatencyBucketPriority = 9;

/// Customers that are counted, and those that have a time series of their own.
constexpr std::size_t kMaxCountedCustomers = 4096;
constexpr std::size_t kNamedCustomers = 16;

constexpr double kPercent = 100.0;

constexpr MetricInfo kAnswers{"bambootack_gateway_answers_total", "counter",
                              "Answers to callers."};
constexpr MetricInfo kAttempts{"bambootack_gateway_sends_total", "counter",
                               "Ends of sends to backend servers."};
constexpr MetricInfo kHealthChanges{"bambootack_gateway_trust_changes_total",
                                    "counter",
                                    "Changes of trust in backend servers."};
constexpr MetricInfo kConnectionChecks{
    "bambootack_gateway_connection_checks_total", "counter",
    "Connections that check whether a server has crashed."};
constexpr MetricInfo kKeyChecks{"bambootack_gateway_key_checks_total",
                                "counter", "Checks of API keys of callers."};
constexpr MetricInfo kTokens{
    "bambootack_gateway_quota_tokens_total", "counter",
    "Requests granted or refused by the quota of their customer."};
constexpr MetricInfo kTokenTimeouts{
    "bambootack_gateway_quota_timeouts_total", "counter",
    "Requests refused because the owner of their quota did not answer."};
constexpr MetricInfo kQuotaShares{
    "bambootack_gateway_quota_shares_percent", "gauge",
    "Shares of quotas that this VM grants, in percent of a whole shard."};
constexpr MetricInfo kDispatcherTimeouts{
    "bambootack_gateway_silent_dispatchers_total", "counter",
    "Slots that a dispatcher did not grant in time."};
constexpr MetricInfo kStoreCalls{"bambootack_gateway_store_calls_total",
                                 "counter", "Calls to the platform's store."};
constexpr MetricInfo kPeerBytes{"bambootack_gateway_peer_bytes_total",
                                "counter", "Bytes of messages to peers."};
constexpr MetricInfo kLeavingServers{
    "bambootack_gateway_leaving_servers_total", "counter",
    "Servers that told this VM that they are leaving."};
constexpr MetricInfo kServerPauses{"bambootack_gateway_server_pauses_total",
                                   "counter",
                                   "Pauses that servers wanted from this VM."};
constexpr MetricInfo kServerLimits{
    "bambootack_gateway_server_limits_total", "counter",
    "Answers in which a server named a limit on its requests."};
constexpr MetricInfo kLatency{"bambootack_gateway_latency_seconds", "histogram",
                              "Time from a request to its answer."};
constexpr MetricInfo kSlotWait{"bambootack_gateway_slot_wait_seconds",
                               "histogram",
                               "Time that a request waited for a slot."};
constexpr MetricInfo kTimerDelay{"bambootack_gateway_timer_delay_seconds",
                                 "histogram", "Delay of timer handlers."};
constexpr MetricInfo kInFlight{"bambootack_gateway_in_flight", "gauge",
                               "Requests in progress."};
constexpr MetricInfo kServers{"bambootack_gateway_servers", "gauge",
                              "Registered backend servers."};
constexpr MetricInfo kLimitedServers{"bambootack_gateway_limited_servers",
                                     "gauge",
                                     "Servers that limit their requests."};
constexpr MetricInfo kMembers{"bambootack_gateway_members", "gauge",
                              "VMs known, with this one."};
constexpr MetricInfo kConfigVersion{"bambootack_gateway_config_version",
                                    "gauge",
                                    "Version of the configuration in force."};
constexpr MetricInfo kStateAge{"bambootack_gateway_knowledge_age_milliseconds",
                               "gauge", "Age of what is known of the store."};
constexpr MetricInfo kKeyAge{
    "bambootack_gateway_key_confirmation_age_milliseconds", "gauge",
    "Age of the confirmation of API keys; 0 if none is needed."};
constexpr MetricInfo kReady{"bambootack_gateway_ready", "gauge",
                            "1 if this VM takes traffic."};

constexpr std::array kCatalogue{
    kAnswers,       kAttempts,  kHealthChanges,  kConnectionChecks,
    kKeyChecks,     kTokens,    kTokenTimeouts,  kDispatcherTimeouts,
    kStoreCalls,    kPeerBytes, kLeavingServers, kServerPauses,
    kServerLimits,  kLatency,   kSlotWait,       kTimerDelay,
    kInFlight,      kServers,   kLimitedServers, kMembers,
    kConfigVersion, kStateAge,  kKeyAge,         kQuotaShares,
    kReady};

}  // namespace

std::span<const MetricInfo> GatewayCatalogue() noexcept { return kCatalogue; }

void GatewayMetrics::CountAnswer(std::string_view error, int status) {
  ++answers_[fmt::format("error=\"{}\",status=\"{}\"", error, status)];
}

void GatewayMetrics::CountAttempt(AttemptOutcome outcome) {
  ++attempts_[fmt::format("end=\"{}\"", kAttemptOutcomeNames.Name(outcome))];
}

void GatewayMetrics::CountHealthChange(ServerHealth to) {
  ++health_changes_[fmt::format("to=\"{}\"", kServerHealthNames.Name(to))];
}

void GatewayMetrics::CountConnectionCheck(ConnectionResult result) {
  ++connection_checks_[fmt::format("result=\"{}\"",
                                   kConnectionResultNames.Name(result))];
}

void GatewayMetrics::CountKeyCheck(customers::KeyCheck check) {
  ++key_checks_[fmt::format("result=\"{}\"",
                            customers::kKeyCheckNames.Name(check))];
}

void GatewayMetrics::CountToken(const std::string& customer, bool granted) {
  const bool known = tokens_.contains(customer);
  TokenCounts& counts =
      tokens_[known || tokens_.size() < kMaxCountedCustomers ? customer : ""];
  ++(granted ? counts.granted : counts.refused);
}

/// Writes the customers with the most requests by name, and the rest together.
void GatewayMetrics::WriteTokens(std::string& out) const {
  std::vector<std::pair<std::string, TokenCounts>> rows(tokens_.begin(),
                                                        tokens_.end());
  std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.second.granted + a.second.refused >
           b.second.granted + b.second.refused;
  });
  Counts counts;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const std::string name = i < kNamedCustomers && !rows[i].first.empty()
                                 ? rows[i].first
                                 : "others";
    const auto& [granted, refused] = rows[i].second;
    counts[fmt::format("customer=\"{}\",result=\"granted\"", name)] += granted;
    counts[fmt::format("customer=\"{}\",result=\"refused\"", name)] += refused;
  }
  metrics::WriteCounts(out, kTokens, counts);
}

void GatewayMetrics::ObserveLatency(int priority, core::Duration value) {
  latency_[std::min(priority, kLastLatencyBucketPriority)].Observe(value);
}

std::string GatewayMetrics::Text(const GatewayGauges& gauges) const {
  std::string out;
  metrics::WriteCounts(out, kAnswers, answers_);
  metrics::WriteCounts(out, kAttempts, attempts_);
  metrics::WriteCounts(out, kHealthChanges, health_changes_);
  metrics::WriteCounts(out, kConnectionChecks, connection_checks_);
  metrics::WriteCounts(out, kKeyChecks, key_checks_);
  WriteTokens(out);
  metrics::WriteValue(out, kTokenTimeouts, token_timeouts_);
  metrics::WriteValue(out, kDispatcherTimeouts, dispatcher_timeouts_);
  metrics::WriteValue(out, kStoreCalls, store_calls_);
  metrics::WriteValue(out, kPeerBytes, peer_bytes_);
  metrics::WriteValue(out, kLeavingServers, leaving_servers_);
  metrics::WriteValue(out, kServerPauses, server_pauses_);
  metrics::WriteValue(out, kServerLimits, server_limits_);
  metrics::WriteHead(out, kLatency);
  for (const auto& [priority, histogram] : latency_) {
    histogram.Write(out, kLatency.name,
                    fmt::format("priority=\"{}\"", priority));
  }
  metrics::WriteHead(out, kSlotWait);
  slot_wait_.Write(out, kSlotWait.name, "");
  metrics::WriteHead(out, kTimerDelay);
  timer_delay_.Write(out, kTimerDelay.name, "");
  metrics::WriteValue(out, kInFlight, gauges.in_flight);
  metrics::WriteValue(out, kServers, gauges.servers);
  metrics::WriteValue(out, kLimitedServers, gauges.limited_servers);
  metrics::WriteValue(out, kMembers, gauges.members);
  metrics::WriteValue(out, kConfigVersion, gauges.config_version);
  metrics::WriteValue(
      out, kStateAge,
      static_cast<std::uint64_t>(core::ToMilliseconds(gauges.state_age)));
  metrics::WriteValue(
      out, kKeyAge,
      static_cast<std::uint64_t>(core::ToMilliseconds(gauges.key_age)));
  metrics::WriteValue(
      out, kQuotaShares,
      static_cast<std::uint64_t>(gauges.quota_shares * kPercent));
  metrics::WriteValue(out, kReady, gauges.ready ? 1 : 0);
  return out;
}

}  // namespace bambootack::gateway

#include "bambootack/metrics/registry.h"

#include <fmt/format.h>

#include "bambootack/metrics/text.h"

namespace bambootack::metrics {
namespace {

constexpr MetricInfo kAnswers{"bambootack_answers_total", "counter",
                              "Answers to callers."};
constexpr MetricInfo kRefusals{"bambootack_refusals_total", "counter",
                               "Requests refused before they ran."};
constexpr MetricInfo kAttempts{"bambootack_attempts_total", "counter",
                               "Attempts on backend servers."};
constexpr MetricInfo kFrames{"bambootack_frames_rejected_total", "counter",
                             "Refused frames from other VMs."};
constexpr MetricInfo kTokens{"bambootack_tokens_rejected_total", "counter",
                             "Operator requests without a valid token."};
constexpr MetricInfo kLatency{"bambootack_request_latency_seconds", "histogram",
                              "Time from a request to its answer."};
constexpr MetricInfo kAddedTime{"bambootack_added_time_seconds", "histogram",
                                "Part of the latency not spent on a server."};
constexpr MetricInfo kQueueWait{"bambootack_queue_wait_seconds", "histogram",
                                "Time that requests waited for a slot."};
constexpr MetricInfo kInFlight{"bambootack_in_flight", "gauge",
                               "Requests in progress."};
constexpr MetricInfo kKeys{"bambootack_keys", "gauge",
                           "Idempotency records of this VM."};
constexpr MetricInfo kReady{"bambootack_ready", "gauge",
                            "1 if this VM takes traffic."};

constexpr std::array kCatalogue{kAnswers,  kRefusals, kAttempts,  kFrames,
                                kTokens,   kLatency,  kAddedTime, kQueueWait,
                                kInFlight, kKeys,     kReady};

std::string_view NameOf(std::optional<core::ErrorKind> error) {
  return error ? core::AnswerOf(*error).name : "none";
}

template <typename Histograms>
void WriteByRank(std::string& out, const MetricInfo& info,
                 const Histograms& histograms) {
  WriteHead(out, info);
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    const auto rank = static_cast<core::Rank>(i);
    histograms[i].Write(
        out, info.name,
        fmt::format("rank=\"{}\"", core::kRankNames.Name(rank)));
  }
}

}  // namespace

std::span<const MetricInfo> Catalogue() noexcept { return kCatalogue; }

void Registry::CountAnswer(core::Outcome outcome,
                           std::optional<core::ErrorKind> error) {
  ++answers_[fmt::format("outcome=\"{}\",error=\"{}\"",
                         core::kOutcomeNames.Name(outcome), NameOf(error))];
}

void Registry::CountRefusal(Stage stage, core::ErrorKind error) {
  ++refusals_[fmt::format("stage=\"{}\",error=\"{}\"", kStageNames.Name(stage),
                          NameOf(error))];
}

void Registry::CountAttempt(node::AttemptEnd end) {
  ++attempts_[fmt::format("end=\"{}\"", node::kAttemptEndNames.Name(end))];
}

void Registry::CountFrameRejected(std::optional<wire::FrameFault> fault) {
  ++frames_rejected_[fmt::format(
      "reason=\"{}\"",
      fault ? wire::kFrameFaultNames.Name(*fault) : "not-decoded")];
}

void Registry::ObserveLatency(core::Rank rank, core::Duration value) {
  latency_[static_cast<std::size_t>(rank)].Observe(value);
}

void Registry::ObserveQueueWait(core::Rank rank, core::Duration value) {
  queue_wait_[static_cast<std::size_t>(rank)].Observe(value);
}

std::string Registry::Text(const Gauges& gauges) const {
  std::string out;
  WriteCounts(out, kAnswers, answers_);
  WriteCounts(out, kRefusals, refusals_);
  WriteCounts(out, kAttempts, attempts_);
  WriteCounts(out, kFrames, frames_rejected_);
  WriteValue(out, kTokens, tokens_rejected_);
  WriteByRank(out, kLatency, latency_);
  WriteHead(out, kAddedTime);
  added_time_.Write(out, kAddedTime.name, "");
  WriteByRank(out, kQueueWait, queue_wait_);
  WriteCounts(out, kInFlight,
              Counts{{"role=\"entry\"", gauges.entry_in_flight},
                     {"role=\"owner\"", gauges.owner_in_flight},
                     {"role=\"dispatcher\"", gauges.dispatcher_in_flight}});
  WriteValue(out, kKeys, gauges.keys);
  WriteValue(out, kReady, gauges.ready ? 1 : 0);
  return out;
}

}  // namespace bambootack::metrics

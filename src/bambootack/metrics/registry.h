#ifndef BAMBOOTACK_METRICS_REGISTRY_H_
#define BAMBOOTACK_METRICS_REGISTRY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "bambootack/core/error_kind.h"
#include "bambootack/core/outcome.h"
#include "bambootack/core/rank.h"
#include "bambootack/core/time.h"
#include "bambootack/metrics/metric_info.h"
#include "bambootack/metrics/time_histogram.h"
#include "bambootack/node/events.h"
#include "bambootack/wire/sealed_frame.h"

namespace bambootack::metrics {

/// @brief Role that refused a request.
enum class Stage : std::uint8_t { kEntry, kDispatcher };

/// @brief Names of the stages.
inline constexpr core::EnumNames<Stage, 2> kStageNames{{"entry", "dispatcher"}};

/// @brief Values that are read when the metrics are written.
struct Gauges {
  std::size_t entry_in_flight = 0;
  std::size_t owner_in_flight = 0;
  std::size_t dispatcher_in_flight = 0;
  std::size_t keys = 0;
  bool ready = false;
};

/// @brief All metrics; `docs/metrics.md` lists the same names.
/// @return One entry for each metric, in the order written.
[[nodiscard]] std::span<const MetricInfo> Catalogue() noexcept;

/// @brief Metrics of one process. Used by the control thread only.
class Registry {
 public:
  /// @brief Counts an answer to a caller.
  /// @param outcome Its outcome.
  /// @param error Its error kind, or nothing for a server's answer.
  void CountAnswer(core::Outcome outcome, std::optional<core::ErrorKind> error);

  /// @brief Counts a request that was refused before it ran.
  /// @param stage Role that refused it.
  /// @param error Why.
  void CountRefusal(Stage stage, core::ErrorKind error);

  /// @brief Counts the end of an attempt on a backend server.
  /// @param end The end.
  void CountAttempt(node::AttemptEnd end);

  /// @brief Counts a refused frame.
  /// @param fault Why, or nothing if its message could not be decoded.
  void CountFrameRejected(std::optional<wire::FrameFault> fault);

  /// @brief Counts an operator request with a missing or wrong token.
  void CountTokenRejected() noexcept { ++tokens_rejected_; }

  /// @brief Adds the time from a caller's request to its answer.
  /// @param rank Rank of the request.
  /// @param value The time.
  void ObserveLatency(core::Rank rank, core::Duration value);

  /// @brief Adds the part of a latency that was not spent on a server.
  /// @param value The time.
  void ObserveAddedTime(core::Duration value) { added_time_.Observe(value); }

  /// @brief Adds the time that a request waited for a slot.
  /// @param rank Rank of the request.
  /// @param value The time.
  void ObserveQueueWait(core::Rank rank, core::Duration value);

  /// @brief Writes all metrics in the Prometheus text format.
  /// @param gauges Current values.
  /// @return The text.
  [[nodiscard]] std::string Text(const Gauges& gauges) const;

 private:
  /// Counts by their labels, in the order of the text.
  using Counts = std::map<std::string, std::uint64_t, std::less<>>;
  using RankHistograms = std::array<TimeHistogram, core::kRankCount>;

  Counts answers_;
  Counts refusals_;
  Counts attempts_;
  Counts frames_rejected_;
  std::uint64_t tokens_rejected_ = 0;
  RankHistograms latency_;
  TimeHistogram added_time_;
  RankHistograms queue_wait_;
};

}  // namespace bambootack::metrics

#endif  // BAMBOOTACK_METRICS_REGISTRY_H_

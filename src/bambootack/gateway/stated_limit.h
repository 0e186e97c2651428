#ifndef BAMBOOTACK_GATEWAY_STATED_LIMIT_H_
#define BAMBOOTACK_GATEWAY_STATED_LIMIT_H_

#include <optional>

#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief What an answer of a server states about the requests per second that
/// it takes from all VMs together.
struct LimitReport {
  std::optional<double> rate;  ///< Nothing if the server names no limit.

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

/// @brief The limit that a server named last.
class StatedLimit {
 public:
  /// @brief Records a report. One that is older than what is known is ignored.
  /// An answer without a limit ends it only if its request was sent after the
  /// limit was last named, because answers overtake one another.
  /// @param request_sent When the request of the answer was sent.
  /// @param stated When the server answered.
  /// @return Whether the limit has changed.
  bool Record(const LimitReport& report, core::Time request_sent,
              core::Time stated) noexcept {
    if (stated < stated_at_ || (!report.rate && request_sent < stated_at_)) {
      return false;
    }
    stated_at_ = stated;
    const bool changed = report.rate != rate_;
    rate_ = report.rate;
    return changed;
  }

  /// @brief Requests per second, or nothing if the server limits none.
  [[nodiscard]] const std::optional<double>& Rate() const noexcept {
    return rate_;
  }

  /// @brief When the server last stated its limit, or that it has none.
  [[nodiscard]] core::Time StatedAt() const noexcept { return stated_at_; }

 private:
  std::optional<double> rate_;
  core::Time stated_at_{};
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_STATED_LIMIT_H_

#ifndef BAMBOOTACK_GATEWAY_STATED_LIMIT_H_
#define BAMBOOTACK_GATEWAY_STATED_LIMIT_H_

#include <optional>
#include <string>

#include "bambootack/core/time.h"
#include "bambootack/quota/token_bucket.h"

namespace bambootack::gateway {

/// @brief What an answer of a server states about the requests per second that
/// it takes from all VMs together.
struct LimitReport {
  std::optional<double> rate;  ///< Nothing if the server names no limit.

  friend bool operator==(const LimitReport&, const LimitReport&) = default;
};

/// @brief Limit of a server that a VM knows, as it tells its peers.
struct KnownLimit {
  std::string server;
  double rate = 0.0;
  core::Duration age{};  ///< Time since the server named it.
};

/// @brief The limit that a server named last, and the requests that it still
/// admits.
class StatedLimit {
 public:
  /// @brief Records a report. One that is older than what is known is ignored.
  /// An answer without a limit ends it only if its request was sent after the
  /// limit was last named, because answers overtake one another.
  /// @param request_sent When the request of the answer was sent.
  /// @param stated When the server answered.
  /// @return Whether the limit has changed.
  bool Record(const LimitReport& report, core::Time request_sent,
              core::Time stated) noexcept;

  /// @brief Requests per second, or nothing if the server limits none.
  [[nodiscard]] const std::optional<double>& Rate() const noexcept {
    return rate_;
  }

  /// @brief When the server last stated its limit, or that it has none.
  [[nodiscard]] core::Time StatedAt() const noexcept { return stated_at_; }

  /// @brief Adds the requests that have become due.
  /// @param share Part of the limit that this VM may grant.
  void Refill(double share, core::Time now);

  /// @brief Whether the server takes one more request.
  /// @param deferrable Leaves the last one to more urgent requests.
  [[nodiscard]] bool Admits(bool deferrable) const noexcept;

  /// @brief Takes one of the requests that the server admits.
  void Take() noexcept { static_cast<void>(tokens_.TryTake()); }

  /// @brief Puts back a request that never reached the server.
  void Return() noexcept { tokens_.Return(); }

 private:
  std::optional<double> rate_;
  core::Time stated_at_{};
  quota::TokenBucket tokens_{core::Time{}};
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_STATED_LIMIT_H_

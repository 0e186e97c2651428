#ifndef BAMBOOTACK_DISPATCH_RETRY_BUDGET_H_
#define BAMBOOTACK_DISPATCH_RETRY_BUDGET_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "bambootack/config/model.h"

namespace bambootack::dispatch {

/// @brief Limits the retries and hedged reads of a service to a ratio of its
/// first attempts.
class RetryBudget {
 public:
  /// @param ratio Retries allowed for each first attempt; 0 allows none.
  void Configure(double ratio) noexcept;

  void RecordFirstAttempt() noexcept;

  /// @brief Takes one retry or hedged read from the budget.
  /// @return False if the budget is used up.
  [[nodiscard]] bool TrySpend() noexcept;

 private:
  /// Capacity in retries. Limits the retries after a period with few failures,
  /// which would otherwise accumulate to a large burst.
  static constexpr double kBurst = 10.0;

  double ratio_ = 0.0;
  double tokens_ = 1.0;
};

/// @brief Retry budgets of all services on one VM.
class RetryBudgets {
 public:
  /// @brief Applies the configured ratios; a service that stays keeps what is
  /// left of its budget.
  void Configure(const config::FleetConfig& config);

  void RecordFirstAttempt(std::string_view service);

  /// @brief Takes one retry or hedged read from a service's budget.
  /// @return False if the budget is used up or the service is unknown.
  [[nodiscard]] bool TrySpend(std::string_view service);

 private:
  std::map<std::string, RetryBudget, std::less<>> budgets_;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_RETRY_BUDGET_H_

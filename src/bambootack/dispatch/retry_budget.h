#ifndef BAMBOOTACK_DISPATCH_RETRY_BUDGET_H_
#define BAMBOOTACK_DISPATCH_RETRY_BUDGET_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "bambootack/config/model.h"

namespace bambootack::dispatch {

/// @brief Limits the second copies of a service's requests, retries and hedged
/// reads alike, to a share of its first copies.
class RetryBudget {
 public:
  /// @brief Changes the share.
  /// @param share Second copies allowed for each first copy.
  void Configure(double share) noexcept;

  /// @brief Changes the share and the most second copies saved up, which are
  /// available at once.
  /// @param share Second copies allowed for each first copy.
  /// @param burst Second copies that may be sent without first copies.
  void Configure(double share, double burst) noexcept;

  /// @brief Counts a first copy.
  void Count() noexcept;

  /// @brief Takes the right to send one second copy.
  /// @return False if the budget is used up.
  [[nodiscard]] bool Take() noexcept;

 private:
  double share_ = 0.0;
  /// Most second copies saved up, so that a quiet time does not allow a burst
  /// of retries later.
  double burst_ = 10.0;
  double tokens_ = 1.0;
};

/// @brief Retry budgets of all services, as seen by one VM.
class RetryBudgets {
 public:
  /// @brief Takes over the shares of a configuration.
  /// @param config The configuration.
  void Configure(const config::FleetConfig& config);

  /// @brief Counts a first copy.
  /// @param service Service of the request.
  void Count(std::string_view service);

  /// @brief Takes the right to send one second copy.
  /// @param service Service of the request.
  /// @return False if the budget is used up or the service is unknown.
  [[nodiscard]] bool Take(std::string_view service);

 private:
  std::map<std::string, RetryBudget, std::less<>> budgets_;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_RETRY_BUDGET_H_

#include "bambootack/dispatch/retry_budget.h"

#include <algorithm>

namespace bambootack::dispatch {

void RetryBudget::Configure(double share) noexcept { share_ = share; }

void RetryBudget::Configure(double share, double burst) noexcept {
  share_ = share;
  burst_ = burst;
  tokens_ = burst;
}

void RetryBudget::Count() noexcept {
  tokens_ = std::min(burst_, tokens_ + share_);
}

bool RetryBudget::Take() noexcept {
  if (share_ <= 0.0 || tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void RetryBudgets::Configure(const config::FleetConfig& config) {
  std::erase_if(budgets_, [&](const auto& it) {
    return !config.services.contains(it.first);
  });
  for (const auto& [id, service] : config.services) {
    budgets_[id].Configure(service.retry_budget);
  }
}

void RetryBudgets::Count(std::string_view service) {
  if (const auto it = budgets_.find(service); it != budgets_.end()) {
    it->second.Count();
  }
}

bool RetryBudgets::Take(std::string_view service) {
  const auto it = budgets_.find(service);
  return it != budgets_.end() && it->second.Take();
}

}  // namespace bambootack::dispatch

#include "bambootack/dispatch/retry_budget.h"

#include <algorithm>

namespace bambootack::dispatch {

void RetryBudget::Configure(double ratio) noexcept { ratio_ = ratio; }

void RetryBudget::RecordFirstAttempt() noexcept {
  tokens_ = std::min(kBurst, tokens_ + ratio_);
}

bool RetryBudget::TrySpend() noexcept {
  if (ratio_ <= 0.0 || tokens_ < 1.0) {
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

void RetryBudgets::RecordFirstAttempt(std::string_view service) {
  if (const auto it = budgets_.find(service); it != budgets_.end()) {
    it->second.RecordFirstAttempt();
  }
}

bool RetryBudgets::TrySpend(std::string_view service) {
  const auto it = budgets_.find(service);
  return it != budgets_.end() && it->second.TrySpend();
}

}  // namespace bambootack::dispatch

#include "bambootack/gateway/limit_loans.h"

#include <algorithm>
#include <utility>

namespace bambootack::gateway {
namespace {

/// Time for which a slot request lends. A new dispatcher holds the parts of all
/// VMs after this time, and a VM with little traffic still sends some requests
/// within it.
constexpr core::Duration kLoanTime = std::chrono::seconds(2);

/// Part of the limits that the first two dispatchers of a group grant without
/// loans, so that a new one serves at once. Both together with all loans stay
/// below the one and a half times of a limit that the platform tolerates.
constexpr double kShareWithoutLoans = 0.4;
constexpr std::size_t kRanksWithoutLoans = 2;

}  // namespace

bool LimitLender::Lend(std::string_view group, core::VmId dispatcher,
                       bool former_is_leaving, core::Time now) {
  const auto found = loans_.find(group);
  if (found != loans_.end() && found->second.dispatcher != dispatcher &&
      now < found->second.until && !former_is_leaving) {
    return false;
  }
  loans_.insert_or_assign(std::string(group),
                          Loan{dispatcher, now + kLoanTime});
  return true;
}

core::VmId LimitLender::BorrowerOf(std::string_view group,
                                   core::VmId self) const {
  const auto found = loans_.find(group);
  return found == loans_.end() ? self : found->second.dispatcher;
}

void LimitBorrower::RecordLoan(std::string_view group, core::VmId from,
                               core::Time now) {
  auto found = loans_.find(group);
  if (found == loans_.end()) {
    found = loans_.try_emplace(std::string(group)).first;
  }
  found->second[from] = now + kLoanTime;
}

void LimitBorrower::RecordRestart(core::VmId vm) {
  for (auto& [group, loans] : loans_) {
    loans.erase(vm);
  }
}

double LimitBorrower::ShareOf(std::string_view group, std::size_t rank,
                              std::size_t fleet_size, bool uses_loans,
                              core::Time now) const {
  const double without_loans =
      rank < kRanksWithoutLoans ? kShareWithoutLoans : 0.0;
  const auto found = loans_.find(group);
  if (!uses_loans || found == loans_.end()) {
    return without_loans;
  }
  const auto lenders =
      std::count_if(found->second.begin(), found->second.end(),
                    [&](const auto& it) { return now < it.second; });
  const double lent = std::min(
      1.0, static_cast<double>(lenders) /
               static_cast<double>(std::max<std::size_t>(1, fleet_size)));
  return without_loans + (1.0 - kShareWithoutLoans) * lent;
}

}  // namespace bambootack::gateway

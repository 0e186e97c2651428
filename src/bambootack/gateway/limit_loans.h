#ifndef BAMBOOTACK_GATEWAY_LIMIT_LOANS_H_
#define BAMBOOTACK_GATEWAY_LIMIT_LOANS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"

// Division of the limits that servers name among the dispatchers of a group.
// VMs that cannot reach each other choose different dispatchers, each of which
// grants slots of the same servers. Each VM therefore lends its part of the
// limits to one dispatcher at a time, with its slot requests.

namespace bambootack::gateway {

/// @brief Loans of the local VM, one for each group of servers.
class LimitLender {
 public:
  /// @brief Decides whether a slot request lends the part of this VM to a
  /// dispatcher, and records the loan.
  /// @param former_is_leaving Whether the dispatcher of the last loan is
  /// shutting down, after which it uses no loans.
  [[nodiscard]] bool Lend(std::string_view group, core::VmId dispatcher,
                          bool former_is_leaving, core::Time now);

  /// @brief Dispatcher of the last loan; the local VM if there is none.
  [[nodiscard]] core::VmId BorrowerOf(std::string_view group,
                                      core::VmId self) const;

 private:
  struct Loan {
    core::VmId dispatcher{};
    core::Time until{};
  };
  std::map<std::string, Loan, std::less<>> loans_;
};

/// @brief Parts of the limits that VMs have lent to the local dispatcher.
class LimitBorrower {
 public:
  /// @brief Records a slot request that lends the part of its VM.
  void RecordLoan(std::string_view group, core::VmId from, core::Time now);

  /// @brief Ends the loans of a VM on which a process has started.
  void RecordRestart(core::VmId vm);

  /// @brief Part of the limits of a group that this VM may grant, from 0 to 1.
  /// The sum over all VMs is at most 1.4, whichever VMs they reach.
  /// @param rank Rank of this VM in the dispatcher order of the group.
  /// @param uses_loans False during a shutdown.
  [[nodiscard]] double ShareOf(std::string_view group, std::size_t rank,
                               std::size_t fleet_size, bool uses_loans,
                               core::Time now) const;

 private:
  /// When the loan of each VM ends, by group.
  std::map<std::string, std::map<core::VmId, core::Time>, std::less<>> loans_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_LIMIT_LOANS_H_

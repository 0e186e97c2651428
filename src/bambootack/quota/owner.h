#ifndef BAMBOOTACK_QUOTA_OWNER_H_
#define BAMBOOTACK_QUOTA_OWNER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/quota/limits.h"
#include "bambootack/quota/messages.h"
#include "bambootack/quota/token_bucket.h"

namespace bambootack::quota {

/// @brief Grants the tokens of the shards that other VMs have lent to this one.
/// Each VM of the fleet has an equal share of every quota and lends it to one
/// owner at a time. What all owners grant together therefore stays within the
/// quota, whichever VMs they reach and whoever takes itself for the owner. No
/// I/O: messages and the time go in, replies come out.
class Owner {
 public:
  /// @param incarnation Random number of this process, not 0.
  Owner(Tolerance tolerance, std::uint64_t incarnation)
      : tolerance_(tolerance), incarnation_(incarnation) {}

  /// @brief Sets the quotas of the configuration in force. Customers without a
  /// limit need none.
  void SetQuotas(std::map<std::string, Quota, std::less<>> quotas);

  /// @brief Sets the number of VMs in the fleet, or 0 while it is not known.
  /// Without it no token is granted.
  void SetFleetSize(std::size_t size) noexcept { fleet_size_ = size; }

  /// @brief Handles the request of a VM, which may be the local one.
  [[nodiscard]] TokenReply Handle(core::VmId from, const TokenRequest& request,
                                  core::Time now);

  /// @brief Handles the renewal of a lease.
  [[nodiscard]] LeaseReply Handle(core::VmId from, const LeaseNotice& notice,
                                  core::Time now);

  /// @brief Puts back a token.
  void Handle(const TokenReturn& message);

  /// @brief Ends the loans of a VM on which a process has started. It may lend
  /// to another owner.
  void RecordRestart(core::VmId vm);

  /// @brief Grants nothing any more. Lenders are told that this VM leaves, and
  /// may then turn to another owner at once.
  void Stop() noexcept { stopped_ = true; }

  /// @brief Part of a shard's quotas that this VM may grant, from 0 to 1.
  [[nodiscard]] double ShareOf(std::uint32_t shard, core::Time now);

 private:
  struct Loan {
    core::Time until{};
    core::Time last_heard{};
  };
  struct Shard {
    std::map<core::VmId, Loan> loans;
    core::Time first_heard{};
    core::Time share_valid_until{};
    double share = 0.0;
    /// Seconds for which a whole share has been held: the tokens of a customer
    /// without a bucket, divided by its rate.
    double held_seconds = 0.0;
    core::Time counted_at{};
  };

  void RecordLoan(core::VmId from, std::uint32_t shard, const Stamp& stamp,
                  core::Time now);
  [[nodiscard]] double CountShare(const Shard& state, core::Time now) const;
  [[nodiscard]] Stamp MakeStamp(core::Time now) const {
    return {incarnation_, now.time_since_epoch()};
  }
  [[nodiscard]] TokenBucket& BucketOf(const std::string& customer,
                                      const Quota& quota, core::Time now);

  Tolerance tolerance_;
  std::uint64_t incarnation_;
  std::size_t fleet_size_ = 0;
  bool stopped_ = false;
  std::map<std::string, Quota, std::less<>> quotas_;
  std::map<std::string, TokenBucket, std::less<>> buckets_;
  std::array<Shard, kShards> shards_;
  /// Latest requests that were granted, so that a repeated one takes no second
  /// token.
  std::deque<std::pair<core::VmId, std::uint64_t>> granted_;
};

}  // namespace bambootack::quota

#endif  // BAMBOOTACK_QUOTA_OWNER_H_

#ifndef BAMBOOTACK_QUOTA_LENDER_H_
#define BAMBOOTACK_QUOTA_LENDER_H_

#include <array>
#include <cstdint>
#include <optional>

#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/quota/limits.h"
#include "bambootack/quota/messages.h"

namespace bambootack::quota {

/// @brief Lends the shares of one VM: it chooses, for each shard, the owner
/// that the VM asks for tokens. It turns to another owner only when the loan to
/// the former one has ended at both.
class Lender {
 public:
  /// @brief Owner to ask, and the stamp to send with the message.
  struct Target {
    core::VmId vm{};
    Stamp stamp;
  };

  /// @brief Chooses the owner of a shard.
  /// @param preferred VM that should own the shard at present.
  /// @param owner_is_leaving Whether the VM of the last call has announced its
  /// shutdown, after which it grants nothing.
  [[nodiscard]] Target Choose(std::uint32_t shard, core::VmId preferred,
                              bool owner_is_leaving, core::Time now);

  /// @brief Owner of a shard as of the last call of `Choose`.
  [[nodiscard]] std::optional<core::VmId> OwnerOf(std::uint32_t shard) const {
    return shards_[shard].owner;
  }

  /// @brief Records that the stamp of the last call of `Choose` is sent.
  void RecordSent(std::uint32_t shard, core::Time now);

  /// @brief Records the stamp of a reply.
  void RecordStamp(std::uint32_t shard, core::VmId from, const Stamp& stamp,
                   core::Time now);

  /// @brief Whether a lease should be renewed by a message of its own.
  [[nodiscard]] bool IsRenewalDue(std::uint32_t shard, core::Time now) const {
    return now >= RenewalTime(shard);
  }

  /// @brief Time at which a lease is renewed by a message of its own.
  [[nodiscard]] core::Time RenewalTime(std::uint32_t shard) const {
    return shards_[shard].renew_at;
  }

 private:
  struct Shard {
    std::optional<core::VmId> owner;
    Stamp stamp;
    core::Time lent_until{};  ///< End of the loan to `owner`.
    /// Since when another VM is preferred without interruption.
    std::optional<core::Time> other_preferred_since;
    bool winding_down = false;  ///< The loan is not renewed.
    core::Time renew_at{};
  };

  std::array<Shard, kShards> shards_;
};

}  // namespace bambootack::quota

#endif  // BAMBOOTACK_QUOTA_LENDER_H_

#ifndef BAMBOOTACK_QUOTA_MESSAGES_H_
#define BAMBOOTACK_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string>

#include "bambootack/core/time.h"
#include "bambootack/quota/limits.h"

namespace bambootack::quota {

/// @brief Time of an owner's clock, which lenders send back. An owner counts
/// the lease of a lender from the stamp, so that a delayed message extends no
/// lease.
struct Stamp {
  std::uint64_t incarnation = 0;  ///< Process of the owner; 0 for no stamp.
  core::Duration time{};          ///< Since the epoch of its clock.

  friend bool operator==(const Stamp&, const Stamp&) = default;
};

/// @brief Lender to owner: requests a token for one request of a customer, and
/// lends the sender's share of the shard.
struct TokenRequest {
  std::uint64_t number = 0;
  std::string customer;
  /// Quota that the sender knows, for an owner that does not know the customer.
  Quota quota;
  Stamp stamp;
};

/// @brief Owner to lender: answers a `TokenRequest`.
struct TokenReply {
  std::uint64_t number = 0;
  std::uint32_t shard = 0;
  bool granted = false;
  /// Whether a refusal means that the customer has used its quota. Otherwise
  /// the owner holds too few shares to tell.
  bool exhausted = false;
  core::Duration wait{};  ///< Time until a token is expected.
  Stamp stamp;
};

/// @brief Lender to owner: lends the sender's share without a request.
struct LeaseNotice {
  std::uint32_t shard = 0;
  Stamp stamp;
};

/// @brief Owner to lender: answers a `LeaseNotice`.
struct LeaseReply {
  std::uint32_t shard = 0;
  Stamp stamp;
};

/// @brief Lender to owner: the token of a request that was never sent to a
/// server.
struct TokenReturn {
  std::string customer;
};

}  // namespace bambootack::quota

#endif  // BAMBOOTACK_QUOTA_MESSAGES_H_

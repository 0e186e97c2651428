#include "bambootack/quota/lender.h"

#include <algorithm>

namespace bambootack::quota {
namespace {

/// Another VM has to be preferred for this long before the loan to the owner is
/// wound down. A VM that answers late once is not preferred for 0.5 s.
constexpr core::Duration kPreferenceTime = std::chrono::seconds(1);

/// A first stamp is asked for again after this time.
constexpr core::Duration kFirstStampInterval = std::chrono::milliseconds(250);

}  // namespace

Lender::Target Lender::Choose(std::uint32_t shard, core::VmId preferred,
                              bool owner_is_leaving, core::Time now) {
  Shard& state = shards_[shard];
  if (!state.owner || owner_is_leaving ||
      (preferred != *state.owner && now >= state.lent_until)) {
    const bool changed = state.owner != preferred;
    state.owner = preferred;
    if (changed) {
      state.stamp = {};
      state.renew_at = now;
    }
    state.winding_down = false;
    state.other_preferred_since.reset();
  }
  if (preferred == *state.owner) {
    state.other_preferred_since.reset();
    state.winding_down = false;
  } else if (!state.other_preferred_since) {
    state.other_preferred_since = now;
  } else if (now >= *state.other_preferred_since + kPreferenceTime) {
    state.winding_down = true;
  }
  return {*state.owner, state.stamp};
}

void Lender::RecordSent(std::uint32_t shard, core::Time now) {
  Shard& state = shards_[shard];
  state.renew_at =
      now + (state.stamp.incarnation != 0 ? kRenewalTime : kFirstStampInterval);
}

void Lender::RecordStamp(std::uint32_t shard, core::VmId from,
                         const Stamp& stamp, core::Time now) {
  Shard& state = shards_[shard % kShards];
  if (state.owner != from || state.winding_down) {
    return;
  }
  if (state.stamp.incarnation != stamp.incarnation) {
    state.renew_at = now;  // The owner has no loan yet, or has restarted.
  } else if (stamp.time < state.stamp.time) {
    return;
  }
  state.stamp = stamp;
  // The owner made the stamp before now, and counts the lease from it.
  state.lent_until = std::max(state.lent_until, now + kLease);
}

}  // namespace bambootack::quota

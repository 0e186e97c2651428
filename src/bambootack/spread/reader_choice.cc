#include "bambootack/spread/reader_choice.h"

#include <algorithm>

#include "bambootack/core/hash.h"

namespace bambootack::spread {
namespace {

/// A change known elsewhere has to be fetched within this time before the VM
/// turns to the log: two attempts at peers.
constexpr core::Duration kFetchPatience = std::chrono::milliseconds(500);

/// With 10 messages per second a pause this long means that none arrive.
constexpr core::Duration kDeafness = std::chrono::seconds(1);

/// Without a report of a complete read for so long the other VMs read, in hash
/// order, so that they do not all start at once.
constexpr core::Duration kStaleness = std::chrono::seconds(3);
constexpr core::Duration kStaggering = std::chrono::milliseconds(500);

constexpr std::string_view kReaderObject = "log-reader";

}  // namespace

std::size_t HashRank(core::VmId self, const std::string& failure_domain,
                     std::uint64_t object, const PeerTable& peers,
                     core::Time now) {
  const std::uint64_t own = core::RendezvousScore(object, self);
  return static_cast<std::size_t>(std::count_if(
      peers.All().begin(), peers.All().end(), [&](const Peer& it) {
        const bool counts =
            failure_domain.empty() || it.failure_domain == failure_domain;
        return counts && !it.leaving && peers.IsAlive(it, now) &&
               core::RendezvousScore(object, it.vm) > own;
      }));
}

bool ShouldRead(const ReaderState& state, const PeerTable& peers,
                core::Time now) {
  if (!state.has_state || state.has_pending_append) {
    return true;
  }
  if (state.behind_since && now - *state.behind_since >= kFetchPatience) {
    return true;
  }
  if (now - peers.LastHeard().value_or(state.started) >= kDeafness) {
    return true;
  }
  const std::size_t rank = HashRank(state.self, state.failure_domain,
                                    core::HashBytes(kReaderObject), peers, now);
  const core::Time read = state.log_read.value_or(state.started);
  return rank == 0 || now - read >= kStaleness + kStaggering * rank;
}

}  // namespace bambootack::spread

#ifndef BAMBOOTACK_GATEWAY_PEER_DIRECTORY_H_
#define BAMBOOTACK_GATEWAY_PEER_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/membership/view.h"

namespace bambootack::gateway {

/// @brief Knows the VMs of the fleet and chooses the dispatcher of each group
/// of servers: the VM that grants its slots and evaluates its servers. The
/// choice needs no agreement. If VMs choose different dispatchers, each of
/// these sees only a part of the outcomes, but the guarantees to callers still
/// hold.
class PeerDirectory {
 public:
  explicit PeerDirectory(core::VmId self) : self_(self) {}

  /// @brief Adds or replaces a peer; ignores the local VM.
  /// @return True if it was unknown or its address has changed.
  bool Add(membership::Member member);

  /// @brief Chooses the dispatcher of a group by rendezvous hash.
  /// @param group Name of the service and number of the group.
  /// @return The VM; the local VM while no peer is eligible.
  [[nodiscard]] core::VmId ChooseDispatcher(std::string_view group,
                                            core::Time now) const;

  /// @brief Rank of the local VM in the dispatcher order of a group, 0 for the
  /// first choice. VMs that do not answer count as well.
  [[nodiscard]] std::size_t RankOfSelf(std::string_view group) const;

  /// @brief Records that a peer did not answer. It is excluded from the choice
  /// for 0.5 s, doubling on each repetition up to 4 s, until the peer answers.
  void MarkUnresponsive(core::VmId vm, core::Time now);

  /// @brief Records that a peer is shutting down and excludes it for 10 s.
  void MarkLeaving(core::VmId vm, core::Time now);

  /// @brief Records that a peer has answered. One that is shutting down stays
  /// excluded.
  void MarkResponsive(core::VmId vm);

  /// @brief Records that a process has started on a peer, which ends its
  /// exclusion.
  void RecordStart(core::VmId vm) { exclusions_.erase(vm); }

  /// @brief Whether a peer has announced within the last 10 s that it is
  /// shutting down.
  [[nodiscard]] bool IsLeaving(core::VmId vm, core::Time now) const;

  [[nodiscard]] const std::map<core::VmId, membership::Member>& Peers()
      const noexcept {
    return peers_;
  }

  /// @brief Copy of all peers.
  [[nodiscard]] std::vector<membership::Member> ListPeers() const;

  /// @brief Number of known VMs, including the local one.
  [[nodiscard]] std::size_t FleetSize() const noexcept {
    return peers_.size() + 1;
  }

 private:
  struct Exclusion {
    core::Time until{};
    core::Duration duration{};
    bool leaving = false;
  };

  core::VmId self_;
  std::map<core::VmId, membership::Member> peers_;
  std::map<core::VmId, Exclusion> exclusions_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_PEER_DIRECTORY_H_

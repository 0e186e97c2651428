#ifndef BAMBOOTACK_MEMBERSHIP_VIEW_H_
#define BAMBOOTACK_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bambootack/config/model.h"
#include "bambootack/core/ids.h"

namespace bambootack::membership {

/// @brief One process of the fleet.
struct Member {
  core::VmId vm{};
  core::Incarnation incarnation{};
  std::string address;  ///< IP:port for TCP and UDP between VMs.
  std::string failure_domain;

  friend bool operator==(const Member&, const Member&) = default;
};

/// @brief A numbered set of members.
struct View {
  core::ViewNumber number{};    ///< Zero until the log has been read.
  std::vector<Member> members;  ///< Own partitions and dispatch.
  std::vector<Member> leaving;  ///< Hand over, own nothing.

  friend bool operator==(const View&, const View&) = default;
};

/// @brief Score of a VM for a partition; the highest score of a view owns it.
/// @param partition The partition.
/// @param vm The VM.
/// @return The score.
[[nodiscard]] std::uint64_t PartitionScore(core::PartitionId partition,
                                           core::VmId vm) noexcept;

/// @brief Owner of a partition in a view.
/// @param view The view.
/// @param partition The partition.
/// @return The rendezvous winner, or `core::kNoVm` for an empty view.
[[nodiscard]] core::VmId OwnerOf(const View& view,
                                 core::PartitionId partition) noexcept;

/// @brief VMs that may dispatch for a group, best first. Members of the group's
/// failure domain come first; others only where the domain has none.
/// @param view The view.
/// @param group The group.
/// @param count Most VMs to return.
/// @return VMs in hash order.
[[nodiscard]] std::vector<core::VmId> DispatcherOrder(
    const View& view, const config::GroupKey& group, std::size_t count);

}  // namespace bambootack::membership

#endif  // BAMBOOTACK_MEMBERSHIP_VIEW_H_

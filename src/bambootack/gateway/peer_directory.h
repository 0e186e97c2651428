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

/// @brief Knows the VMs of the fleet and chooses the dispatcher of a service:
/// the VM that counts its slots and judges its servers. The choice needs no
/// agreement. Two VMs that choose differently share less knowledge, and break
/// no promise to a caller.
class PeerDirectory {
 public:
  /// @brief Creates a broker.
  /// @param self This VM.
  explicit PeerDirectory(core::VmId self) : self_(self) {}

  /// @brief Adds a VM or changes its address.
  /// @param member The VM.
  /// @return True if it was unknown or its address has changed.
  bool Add(membership::Member member);

  /// @brief Chooses the dispatcher of a service by rendezvous hash.
  /// @param service The service.
  /// @param now Current time.
  /// @return The VM; this VM while no other is known.
  [[nodiscard]] core::VmId ChooseDispatcher(std::string_view service,
                                            core::Time now) const;

  /// @brief Tells how many VMs come before this one as dispatcher of a service,
  /// whether or not they answer.
  /// @param service The service.
  /// @return The number of VMs.
  [[nodiscard]] std::size_t RankOfSelf(std::string_view service) const;

  /// @brief Notes that a VM did not answer. It is not chosen for a time that
  /// grows with each silence.
  /// @param vm The VM.
  /// @param now Current time.
  void MarkUnresponsive(core::VmId vm, core::Time now);

  /// @brief Notes that a VM is about to stop. It is not chosen for some time.
  /// @param vm The VM.
  /// @param now Current time.
  void MarkLeaving(core::VmId vm, core::Time now);

  /// @brief Notes that a VM has answered. One that is about to stop is still
  /// not chosen.
  /// @param vm The VM.
  void MarkResponsive(core::VmId vm);

  /// @brief Notes that a process has started on a VM.
  /// @param vm The VM.
  void RecordStart(core::VmId vm) { suspicions_.erase(vm); }

  /// @brief Tells whether a VM is about to stop.
  /// @param vm The VM.
  /// @param now Current time.
  /// @return True if it said so.
  [[nodiscard]] bool IsLeaving(core::VmId vm, core::Time now) const;

  /// @brief The other VMs.
  /// @return The members by VM.
  [[nodiscard]] const std::map<core::VmId, membership::Member>& Peers()
      const noexcept {
    return members_;
  }

  /// @brief The other VMs as a list.
  /// @return A copy of the members.
  [[nodiscard]] std::vector<membership::Member> ListPeers() const;

  /// @brief Number of VMs known, with this one.
  /// @return The count.
  [[nodiscard]] std::size_t FleetSize() const noexcept {
    return members_.size() + 1;
  }

 private:
  struct Suspicion {
    core::Time until{};
    core::Duration length{};
    bool leaving = false;
  };

  core::VmId self_;
  std::map<core::VmId, membership::Member> members_;
  std::map<core::VmId, Suspicion> suspicions_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_PEER_DIRECTORY_H_

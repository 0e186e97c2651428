#ifndef BAMBOOTACK_SPREAD_READER_CHOICE_H_
#define BAMBOOTACK_SPREAD_READER_CHOICE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/spread/peer_table.h"

namespace bambootack::spread {

/// @brief What decides whether a VM reads the log.
struct ReaderState {
  core::VmId self{};
  std::string failure_domain;
  bool has_state = false;
  bool has_pending_append = false;
  core::Time started{};
  std::optional<core::Time> log_read;      ///< To its end, by any VM.
  std::optional<core::Time> behind_since;  ///< Another VM is ahead.
};

/// @brief Place of this VM in the hash order of the live VMs.
/// @param self This VM.
/// @param failure_domain Only VMs of this domain; all when empty.
/// @param object Hash of the object.
/// @param peers The other VMs.
/// @param now Current time.
/// @return Number of live VMs before it.
[[nodiscard]] std::size_t HashRank(core::VmId self,
                                   const std::string& failure_domain,
                                   std::uint64_t object, const PeerTable& peers,
                                   core::Time now);

/// @brief Decides whether this VM reads the log: the first of its failure
/// domain does, others when nobody reports progress or they are cut off.
/// @param state State of this VM.
/// @param peers The other VMs.
/// @param now Current time.
/// @return True if it reads.
[[nodiscard]] bool ShouldRead(const ReaderState& state, const PeerTable& peers,
                              core::Time now);

}  // namespace bambootack::spread

#endif  // BAMBOOTACK_SPREAD_READER_CHOICE_H_

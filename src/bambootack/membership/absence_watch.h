#ifndef BAMBOOTACK_MEMBERSHIP_ABSENCE_WATCH_H_
#define BAMBOOTACK_MEMBERSHIP_ABSENCE_WATCH_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "bambootack/core/time.h"
#include "bambootack/membership/view.h"

namespace bambootack::membership {

/// @brief Lag of the platform's VM list. A VM that the list omits for longer
/// has ended.
inline constexpr core::Duration kVmListLag = std::chrono::seconds(10);

/// @brief Longest pause between two readings of the list after which absence
/// still counts as continuous.
inline constexpr core::Duration kMaxListPause = std::chrono::seconds(6);

/// @brief Time by which each further VM in hash order waits longer before it
/// records a VM as gone, so that in most cases only one record is written.
inline constexpr core::Duration kGoneBackOff = std::chrono::seconds(2);

/// @brief Ranks in hash order beyond which the wait grows no further.
inline constexpr std::size_t kMaxGoneRank = 5;

/// @brief Watches which members the platform's VM list omits.
class AbsenceWatch {
 public:
  /// @brief Takes a list that was read successfully. A list without this VM is
  /// ignored, since it is empty or wrong.
  /// @param listed VMs in the list.
  /// @param self This VM.
  /// @param view Current view.
  /// @param now Current time.
  void Receive(const std::set<core::VmId>& listed, core::VmId self,
               const View& view, core::Time now);

  /// @brief Members that this VM should record as gone now.
  /// @param self This VM.
  /// @param view Current view.
  /// @return The members.
  [[nodiscard]] std::vector<Member> Due(core::VmId self,
                                        const View& view) const;

 private:
  using Process = std::pair<core::VmId, core::Incarnation>;

  std::map<Process, core::Time> absent_since_;
  core::Time last_list_{};
};

}  // namespace bambootack::membership

#endif  // BAMBOOTACK_MEMBERSHIP_ABSENCE_WATCH_H_

#ifndef BAMBOOTACK_MEMBERSHIP_VIEW_LOG_H_
#define BAMBOOTACK_MEMBERSHIP_VIEW_LOG_H_

#include <cstdint>
#include <map>
#include <optional>

#include "bambootack/membership/view.h"
#include "bambootack/membership/view_record.h"

namespace bambootack::membership {

/// @brief Evaluates the records of the fleet's stream in log order. The view is
/// a pure function of the records read, so all VMs agree on every view.
class ViewLog {
 public:
  /// @brief Evaluates the next record.
  /// @param record The record. Its number is above all earlier ones.
  /// @return True if the record changed the view. A repeated record, a record
  /// of an ended process and a late `join` of an earlier process have no
  /// effect, so that appending a record twice is harmless.
  bool Apply(const ViewRecord& record);

  /// @brief The view after the last record that changed it.
  /// @return The view.
  [[nodiscard]] const View& Current() const noexcept { return view_; }

  /// @brief Highest incarnation that has joined for a VM, ended or not.
  /// @param vm The VM.
  /// @return The incarnation, or zero.
  [[nodiscard]] core::Incarnation LastIncarnation(core::VmId vm) const;

  /// @brief Finds a member or leaving member.
  /// @param vm The VM.
  /// @return The process, or null.
  [[nodiscard]] const Member* Find(core::VmId vm) const noexcept;

 private:
  bool Join(const Member& member);
  bool Leave(const Member& member);
  bool Remove(const Member& member);

  View view_;
  std::map<core::VmId, core::Incarnation> last_;
};

}  // namespace bambootack::membership

#endif  // BAMBOOTACK_MEMBERSHIP_VIEW_LOG_H_

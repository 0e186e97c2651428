#ifndef BAMBOOTACK_MEMBERSHIP_VIEW_RECORD_H_
#define BAMBOOTACK_MEMBERSHIP_VIEW_RECORD_H_

#include <cstdint>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/membership/view.h"

namespace bambootack::membership {

/// @brief What a record of the fleet's stream does to the members.
enum class ViewChange : std::uint8_t {
  kJoin,     ///< A process has started; it replaces earlier ones of its VM.
  kLeaving,  ///< A process hands over: it owns nothing from here on.
  kLeave,    ///< A process has handed over and runs nothing any more.
  kGone,     ///< A VM has been removed by the platform.
};

/// @brief Names of the changes in log records.
inline constexpr core::EnumNames<ViewChange, 4> kViewChangeNames{
    {"join", "leaving", "leave", "gone"}};

/// @brief One numbered change of the members, as read from the fleet's stream.
struct ViewRecord {
  core::ViewNumber number{};  ///< Offset of the record plus one.
  ViewChange change = ViewChange::kJoin;
  Member member;
  core::WallTime at{};  ///< Calendar time of the writer.

  friend bool operator==(const ViewRecord&, const ViewRecord&) = default;
};

}  // namespace bambootack::membership

#endif  // BAMBOOTACK_MEMBERSHIP_VIEW_RECORD_H_

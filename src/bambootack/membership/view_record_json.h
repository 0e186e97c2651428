#ifndef BAMBOOTACK_MEMBERSHIP_VIEW_RECORD_JSON_H_
#define BAMBOOTACK_MEMBERSHIP_VIEW_RECORD_JSON_H_

#include <optional>
#include <string>

#include "bambootack/membership/view_record.h"

namespace bambootack::membership {

/// @brief Largest text of a view record that is read.
inline constexpr std::size_t kMaxViewRecordBytes = 4096;

/// @brief Text of a view record in the log.
/// @param record The record; its number is not part of the text.
/// @return JSON.
[[nodiscard]] std::string ToJson(const ViewRecord& record);

/// @brief Reads the text of a view record.
/// @param text JSON.
/// @return The record without its number, or nothing if the text is not valid.
[[nodiscard]] std::optional<ViewRecord> FromJson(const std::string& text);

}  // namespace bambootack::membership

#endif  // BAMBOOTACK_MEMBERSHIP_VIEW_RECORD_JSON_H_

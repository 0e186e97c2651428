#ifndef BAMBOOTACK_MEMBERSHIP_APPENDER_H_
#define BAMBOOTACK_MEMBERSHIP_APPENDER_H_

#include <optional>
#include <string>
#include <string_view>

#include "bambootack/core/time.h"

namespace bambootack::membership {

/// @brief Time without any answer after which an append counts as unanswered.
inline constexpr core::Duration kAppendTimeout = std::chrono::seconds(5);

/// @brief One append to the log at a time, each made once. When its answer is
/// lost, the log is read back for its id before it is sent again.
class Appender {
 public:
  /// @brief An append to send.
  struct Append {
    std::string id;
    std::string body;
  };

  /// @brief Tells whether an append is unresolved.
  /// @return True until it is seen in the log.
  [[nodiscard]] bool Busy() const noexcept { return append_.has_value(); }

  /// @brief Starts an append. The caller sends it. Only when not busy.
  /// @param append Unique id and text.
  /// @param now Current time.
  void Start(Append append, core::Time now);

  /// @brief Takes the log service's answer.
  /// @param id Id of the append.
  /// @param ok False if the append may or may not have taken effect.
  void Answered(std::string_view id, bool ok);

  /// @brief Takes a record that was read from the log.
  /// @param id Id of the record.
  void Seen(std::string_view id);

  /// @brief Takes note that the log has been read to its end.
  /// @param now Current time.
  /// @return The append to send again, once a reading that began after its
  /// answer was lost did not hold its id.
  std::optional<Append> ReadToEnd(core::Time now);

 private:
  std::optional<Append> append_;
  core::Time sent_{};
  bool lost_ = false;
  int reads_ = 0;
};

}  // namespace bambootack::membership

#endif  // BAMBOOTACK_MEMBERSHIP_APPENDER_H_

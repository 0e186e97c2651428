#ifndef BAMBOOTACK_LOG_REQUEST_STORY_H_
#define BAMBOOTACK_LOG_REQUEST_STORY_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace bambootack::log {

/// @brief Collects what the logs of all VMs say of one request.
class RequestStory {
 public:
  /// @brief Creates an empty story.
  /// @param id Id of the request.
  explicit RequestStory(std::string_view id);

  /// @brief Reads the lines of a log.
  /// @param log The log.
  void Read(std::istream& log);

  /// @brief The story in the order of time, a line for each event.
  /// @return The text, empty if no line names the request.
  [[nodiscard]] std::string Text() const;

 private:
  std::string field_;  ///< Field that the lines of the request carry.
  std::vector<std::string> lines_;
};

}  // namespace bambootack::log

#endif  // BAMBOOTACK_LOG_REQUEST_STORY_H_

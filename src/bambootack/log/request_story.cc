#include "bambootack/log/request_story.h"

#include <fmt/format.h>

#include <algorithm>

namespace bambootack::log {
namespace {

/// Text before the time of a line, as a collector of logs adds it, is left out.
std::string_view FromTime(std::string_view line) {
  const std::size_t level = line.find(" level=");
  if (level == std::string_view::npos) {
    return line;
  }
  const std::size_t space = line.rfind(' ', level - 1);
  return space == std::string_view::npos ? line : line.substr(space + 1);
}

bool HasField(std::string_view line, std::string_view field) {
  for (std::size_t at = line.find(field); at != std::string_view::npos;
       at = line.find(field, at + 1)) {
    const std::size_t end = at + field.size();
    const bool begins = at == 0 || line[at - 1] == ' ';
    if (begins && (end == line.size() || line[end] == ' ')) {
      return true;
    }
  }
  return false;
}

}  // namespace

RequestStory::RequestStory(std::string_view id)
    : field_(fmt::format("request={}", id)) {}

void RequestStory::Read(std::istream& log) {
  for (std::string line; std::getline(log, line);) {
    if (HasField(line, field_)) {
      lines_.emplace_back(FromTime(line));
    }
  }
}

std::string RequestStory::Text() const {
  std::vector<std::string> lines = lines_;
  // Times are of fixed width. Lines of the same time stay in their order.
  std::stable_sort(lines.begin(), lines.end(),
                   [](const std::string& a, const std::string& b) {
                     return a.substr(0, a.find(' ')) < b.substr(0, b.find(' '));
                   });
  return lines.empty() ? "" : fmt::format("{}\n", fmt::join(lines, "\n"));
}

}  // namespace bambootack::log

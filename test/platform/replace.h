#ifndef TEST_PLATFORM_REPLACE_H_
#define TEST_PLATFORM_REPLACE_H_

#include <string>

namespace bambootack::platform {

/// @brief Replaces the first occurrence of a part, which must be there.
[[nodiscard]] inline std::string Replace(std::string text,
                                         const std::string& from,
                                         const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace bambootack::platform

#endif  // TEST_PLATFORM_REPLACE_H_

#ifndef BAMBOOTACK_CORE_FWD_H_
#define BAMBOOTACK_CORE_FWD_H_

#include <cstdint>

namespace bambootack::core {

enum class ErrorKind : std::uint8_t;
enum class Outcome : std::uint8_t;
enum class Rank : std::uint8_t;
class Uuid;
struct Error;
struct Handle;
struct HttpAnswer;
struct HttpRequest;
template <typename T>
class Table;

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_FWD_H_

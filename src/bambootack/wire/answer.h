#ifndef BAMBOOTACK_WIRE_ANSWER_H_
#define BAMBOOTACK_WIRE_ANSWER_H_

#include <optional>

#include "bambootack/core/error_kind.h"
#include "bambootack/core/http_message.h"
#include "bambootack/core/outcome.h"
#include "bambootack/core/time.h"

namespace bambootack::wire {

/// @brief Answer to a caller: a backend server's answer or an error kind.
struct Answer {
  core::Outcome outcome = core::Outcome::kUnknown;
  std::optional<core::ErrorKind> error;
  core::HttpAnswer http;                ///< Set when `error` is empty.
  core::Duration retry_after{};         ///< Zero when not advised.
  core::Duration server_time{};         ///< Time that the attempt took.
  bool new_key_would_be_served = true;  ///< Says whether to try a new key.

  friend bool operator==(const Answer&, const Answer&) = default;
};

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_ANSWER_H_

#ifndef BAMBOOTACK_CORE_ERROR_KIND_H_
#define BAMBOOTACK_CORE_ERROR_KIND_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "bambootack/core/outcome.h"

namespace bambootack::core {

/// @brief Closed list of everything that can go wrong, for callers, operators
/// and start-up. `kErrorTable` maps each kind to its answer.
enum class ErrorKind : std::uint8_t {
  kMalformedRequest,
  kNoRoute,
  kKeyMissing,
  kKeyInvalid,
  kKeyInFuture,
  kKeyExpired,
  kKeyMismatch,
  kBodyTooLarge,
  kRequestTimeout,
  kNotReady,
  kOverloaded,
  kRateLimited,
  kDeadlineExceeded,
  kNoServer,
  kRequestHeld,
  kOwnerUnreachable,
  kOwnershipMoving,
  kRecordLost,
  kBackendLost,
  kBackendTimeout,
  kBackendAnswerInvalid,
  kShuttingDown,
  kUnauthorized,
  kCustomerUnknown,
  kCustomersUnconfirmed,
  kQuotaUnavailable,
  kTicketMalformed,
  kTicketStale,
  kTicketConflict,
  kLogUnavailable,
  kAppendUnresolved,
  kUnknownCommand,
  kSettingsInvalid,
  kDecodeFailed,
  kMessageRejected,
  kCount,
};

/// @brief Whether a caller may repeat a refused request.
enum class Repeat : std::uint8_t {
  kNever,    ///< The request itself is wrong.
  kSameKey,  ///< Repeat with the same key to learn the outcome.
  kNewKey,   ///< Not run: a new attempt needs a new key.
};

/// @brief Names of the repeat rules in documentation and dumps.
inline constexpr EnumNames<Repeat, 3> kRepeatNames{
    {"never", "same-key", "new-key"}};

/// @brief How an error kind is answered.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int status;
  /// Outcome when nothing else is known about the key.
  Outcome outcome;
  Repeat repeat;
  bool retry_after;
  std::string_view text;
};

/// @brief The table from error kind to answer.
/// @return One row for each kind, in the order of the kinds.
[[nodiscard]] std::span<const ErrorAnswer> ErrorTable() noexcept;

/// @brief Answer of one error kind.
/// @param kind The kind.
/// @return Its row of the table.
[[nodiscard]] const ErrorAnswer& AnswerOf(ErrorKind kind) noexcept;

/// @brief An error with its context, carried by `boost::leaf::result`.
struct Error {
  ErrorKind kind;
  std::string detail;
};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_ERROR_KIND_H_

#ifndef BAMBOOTACK_LOG_EVENT_H_
#define BAMBOOTACK_LOG_EVENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "bambootack/core/enum_names.h"
#include "bambootack/settings/settings.h"

namespace bambootack::log {

/// @brief Number of a log event. Numbers are never reused; `docs/events.md`
/// is the catalogue.
enum class EventId : std::uint16_t {
  kStarted = 100,
  kReady = 101,
  kStopping = 102,
  kStopped = 103,
  kStopCut = 104,
  kLimitsInForce = 105,
  kLimitNotApplied = 106,
  kTicketApplied = 200,
  kTicketRefused = 201,
  kLogUnavailable = 202,
  kLogAvailable = 203,
  kLogReset = 204,
  kLogGap = 205,
  kStateTaken = 206,
  kSnapshotPublished = 207,
  kAppendUnresolved = 208,
  kPeerLost = 300,
  kFrameRejected = 301,
  kNoDispatcher = 400,
  kServerState = 401,
  kViewChanged = 500,
  kViewRecordRefused = 501,
  kFleetLogGap = 502,
  kVmRecordedGone = 503,
  kMembershipEnded = 504,
  kHandOverIncomplete = 505,
  kTokenRejected = 600,
  kConfigurationInForce = 700,
  kRequestAdmitted = 701,
  kRequestSent = 702,
  kSendEnded = 703,
  kRequestAnswered = 704,
  kRequestRefused = 705,
  kCallerLeft = 706,
  kServerTrust = 707,
  kDispatcherSilent = 708,
  kServerChanged = 709,
  kRecordUnreadable = 710,
  kStoreLost = 711,
  kStoreFound = 712,
  kRequestWaited = 713,
  kServerCrashed = 714,
  kRecordsExpired = 715,
  kRoomAwaited = 716,
  kStateSent = 717,
  kServerLeaving = 718,
  kServerPaused = 719,
  kRouteTypeUnknown = 720,
  kCustomerUnknown = 721,
  kCustomerIgnored = 722,
  kKeysUnconfirmed = 723,
  kKeysConfirmed = 724,
  kQuotaExhausted = 725,
  kQuotaOwnerSilent = 726,
  kServerChecked = 727,
  kServerLimit = 728,
};

/// @brief How often an event is written; see `LineLimiter`.
enum class LineLimit : std::uint8_t {
  kNone,     ///< Each time.
  kFault,    ///< A fault can repeat it: seldom while it does.
  kRequest,  ///< Part of the story of a request: up to a steady rate.
};

/// @brief Names of the limits in the catalogue.
inline constexpr core::EnumNames<LineLimit, 3> kLineLimitNames{
    {"no", "yes", "rate"}};

/// @brief Catalogue entry of an event.
struct EventInfo {
  EventId id;
  settings::LogLevel level;
  std::string_view name;
  std::string_view text;
  LineLimit limit = LineLimit::kNone;
};

/// @brief The catalogue.
/// @return One entry for each event, by number.
[[nodiscard]] std::span<const EventInfo> Catalogue() noexcept;

/// @brief Catalogue entry of one event.
/// @param id Its number.
/// @return The entry.
[[nodiscard]] const EventInfo& InfoOf(EventId id) noexcept;

/// @brief One occurrence of an event.
struct Record {
  EventId id;
  std::string detail;
};

/// @brief Formats a record as one line.
/// @param record The record.
/// @param vm VM that writes it.
/// @return "level number name vm=N detail".
[[nodiscard]] std::string Format(const Record& record, core::VmId vm);

}  // namespace bambootack::log

#endif  // BAMBOOTACK_LOG_EVENT_H_

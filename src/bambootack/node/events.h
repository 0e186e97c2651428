#ifndef BAMBOOTACK_NODE_EVENTS_H_
#define BAMBOOTACK_NODE_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambootack/core/handle.h"
#include "bambootack/core/http_message.h"
#include "bambootack/core/ids.h"
#include "bambootack/wire/messages.h"
#include "bambootack/wire/sealed_frame.h"

namespace bambootack::node {

/// @brief A caller's whole request has arrived.
struct CallerRequest {
  core::CallerId caller{};
  core::HttpRequest http;
};

/// @brief A caller's connection has closed before its answer.
struct CallerGone {
  core::CallerId caller{};
};

/// @brief A message from another VM has been decoded.
struct PeerMessage {
  wire::Envelope envelope;
};

/// @brief A frame of another VM was refused or not decoded.
struct FrameRejected {
  core::VmId sender = core::kNoVm;        ///< Set only if it was authenticated.
  std::optional<wire::FrameFault> fault;  ///< Empty if not decoded.
  std::string detail;
};

/// @brief The connection to another VM has failed.
struct PeerLost {
  core::VmId vm{};
};

/// @brief How an attempt on a backend server ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,      ///< A whole answer arrived.
  kNotConnected,  ///< Nothing of the request was sent.
  kLost,          ///< The connection broke after it was established.
  kTimedOut,      ///< No whole answer within the time limit.
  kInvalid,       ///< The answer was truncated, malformed or too large.
};

/// @brief Names of the ends of attempts.
inline constexpr core::EnumNames<AttemptEnd, 5> kAttemptEndNames{
    {"answered", "not-connected", "lost", "timed-out", "invalid"}};

/// @brief An attempt on a backend server has ended.
struct AttemptResult {
  core::Handle attempt;
  AttemptEnd end = AttemptEnd::kLost;
  core::HttpAnswer answer;
};

/// @brief One record of the platform's log.
struct LogRecord {
  std::uint64_t offset = 0;
  std::string id;
  std::string body;
};

/// @brief Answer to `ReadLog`.
struct LogRead {
  std::string stream;
  bool ok = false;
  std::uint64_t first = 0;  ///< Oldest offset that the log still holds.
  std::uint64_t next = 0;   ///< Offset of the next record to be appended.
  std::vector<LogRecord> records;
};

/// @brief Answer to `AppendLog`. When `ok` is false the append may still have
/// taken effect.
struct LogAppended {
  std::string stream;
  std::string id;
  bool ok = false;
  std::uint64_t offset = 0;
};

/// @brief One row of the platform's VM list.
struct ListedVm {
  core::VmId vm{};
  std::string address;
  std::string failure_domain;
  bool leaving = false;
};

/// @brief Answer to `ReadVmList`.
struct VmListRead {
  bool ok = false;
  std::vector<ListedVm> vms;
};

/// @brief A request on the operators' interface.
struct OperatorRequest {
  core::CallerId caller{};
  core::HttpRequest http;
};

/// @brief A planned stop was asked for by signal; the second one ends at once.
struct StopRequested {};

/// @brief Time has passed.
struct Tick {};

/// @brief Everything that a node reacts to.
using Event =
    std::variant<CallerRequest, CallerGone, PeerMessage, FrameRejected,
                 PeerLost, AttemptResult, LogRead, LogAppended, VmListRead,
                 OperatorRequest, StopRequested, Tick>;

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_EVENTS_H_

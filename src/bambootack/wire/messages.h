#ifndef BAMBOOTACK_WIRE_MESSAGES_H_
#define BAMBOOTACK_WIRE_MESSAGES_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambootack/config/model.h"
#include "bambootack/core/error_kind.h"
#include "bambootack/core/handle.h"
#include "bambootack/core/http_message.h"
#include "bambootack/core/ids.h"
#include "bambootack/core/outcome.h"
#include "bambootack/core/rank.h"
#include "bambootack/core/time.h"
#include "bambootack/wire/answer.h"
#include "bambootack/wire/ownership_messages.h"
#include "bambootack/wire/spread_messages.h"

namespace bambootack::wire {

/// @brief What is known about a dispatched request.
enum class RunState : std::uint8_t {
  kNotStarted,  ///< Proven not to have run on any server.
  kCompleted,   ///< A server's whole answer is present.
  kUncertain,   ///< Sent, but without a whole answer.
};

/// @brief Names of the run states in logs and dumps.
inline constexpr core::EnumNames<RunState, 3> kRunStateNames{
    {"not-started", "completed", "uncertain"}};

/// @brief Queue state of a group, carried on every dispatch reply.
struct GroupLoad {
  config::GroupKey group;
  std::uint32_t free_slots = 0;
  /// Expected wait of a new request of each rank.
  std::array<core::Duration, core::kRankCount> wait{};

  friend bool operator==(const GroupLoad&, const GroupLoad&) = default;
};

/// @brief A caller's request as it travels between VMs.
struct RoutedRequest {
  std::string service;
  std::string route;
  std::string customer;
  core::Rank rank = core::Rank::kNormal;
  core::OperationKind kind = core::OperationKind::kAtMostOnce;
  core::Duration remaining{};  ///< Time left until the deadline.
  std::string key;             ///< Idempotency key, empty for repeatable ones.
  bool first_attempt = false;  ///< The caller or entry says that none preceded.
  std::uint64_t fingerprint = 0;  ///< Hash of route, customer and body.
  core::HttpRequest http;

  friend bool operator==(const RoutedRequest&, const RoutedRequest&) = default;
};

/// @brief Tells one send of a requester from every other, so that a late reply
/// to an earlier send, or to an earlier process of the VM, is recognized.
struct SendId {
  core::Incarnation incarnation{};  ///< Process of the requester.
  std::uint32_t number = 0;         ///< Counts the sends of one request.

  friend auto operator<=>(const SendId&, const SendId&) = default;
};

/// @brief Entry to key owner: run this operation once.
struct OwnRequest {
  core::Handle requester;
  SendId send;
  core::ViewNumber view{};
  RoutedRequest request;

  friend bool operator==(const OwnRequest&, const OwnRequest&) = default;
};

/// @brief Key owner to entry: the answer.
struct OwnReply {
  core::Handle requester;
  SendId send;
  Answer answer;
  /// Not zero if the owner has not begun the request because it does not own
  /// the key in this view; the entry repeats it with this or a later view.
  core::ViewNumber retry_view{};

  friend bool operator==(const OwnReply&, const OwnReply&) = default;
};

/// @brief Role that waits for a dispatch reply.
enum class RequesterRole : std::uint8_t { kEntry, kOwner };

/// @brief Entry or owner to dispatcher: run this request on a server.
struct DispatchRequest {
  RequesterRole role = RequesterRole::kEntry;
  core::Handle requester;
  SendId send;
  config::GroupKey group;
  RoutedRequest request;

  friend bool operator==(const DispatchRequest&,
                         const DispatchRequest&) = default;
};

/// @brief Dispatcher to requester: what became of the request.
struct DispatchReply {
  RequesterRole role = RequesterRole::kEntry;
  core::Handle requester;
  SendId send;
  RunState state = RunState::kUncertain;
  Answer answer;
  GroupLoad load;

  friend bool operator==(const DispatchReply&, const DispatchReply&) = default;
};

/// @brief Requester to dispatcher: the answer is no longer wanted.
struct Cancel {
  RequesterRole role = RequesterRole::kEntry;
  core::Handle requester;
  SendId send;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};

/// @brief Any message between VMs.
using Message =
    std::variant<OwnRequest, OwnReply, DispatchRequest, DispatchReply, Cancel,
                 AcquireRequest, AcquireReply, KeyUpdate, Gossip, StateRequest,
                 StateReply>;

/// @brief A message with its sender.
struct Envelope {
  core::VmId sender{};
  core::Incarnation incarnation{};
  std::uint64_t sequence = 0;
  Message message;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

}  // namespace bambootack::wire

#endif  // BAMBOOTACK_WIRE_MESSAGES_H_

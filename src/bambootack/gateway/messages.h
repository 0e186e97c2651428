#ifndef BAMBOOTACK_GATEWAY_MESSAGES_H_
#define BAMBOOTACK_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bambootack/core/handle.h"
#include "bambootack/gateway/model.h"
#include "bambootack/gateway/server_pool.h"

namespace bambootack::gateway {

/// @brief Tells one send of one request of an entry from every other.
struct SendKey {
  core::Handle request;
  std::uint32_t send = 0;

  friend auto operator<=>(const SendKey&, const SendKey&) = default;
};

/// @brief Entry to dispatcher: a request needs a server.
struct SlotRequest {
  SendKey key;
  bool repeat = false;  ///< A server was already sent this request.
  SlotNeed need;
};

/// @brief Dispatcher to entry: the slot, or nothing if there is none.
struct SlotReply {
  SendKey key;
  std::optional<Slot> slot;
};

/// @brief Entry to dispatcher: the slot is free again.
struct SlotRelease {
  std::uint64_t lease = 0;
  SendEnd end = SendEnd::kCancelled;
  std::optional<ServerLoad> load;
};

/// @brief A VM that has started, to the VMs that it knows.
struct MemberNotice {
  std::string address;
  std::string failure_domain;
  bool leaving = false;
};

/// @brief Records of a topic of the platform's store, read by one VM for the
/// others.
struct TopicUpdate {
  std::uint8_t topic = 0;
  std::uint64_t from = 0;  ///< Offset that the records follow.
  std::uint64_t end = 0;   ///< Offset up to which they are complete.
  std::string records;     ///< As read from the store.
};

/// @brief Any message between gateways.
using PeerMessage = std::variant<SlotRequest, SlotReply, SlotRelease,
                                 MemberNotice, TopicUpdate>;

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_MESSAGES_H_

#ifndef BAMBOOTACK_NODE_ACTIONS_H_
#define BAMBOOTACK_NODE_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bambootack/core/handle.h"
#include "bambootack/core/http_message.h"
#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/log/event.h"
#include "bambootack/membership/view.h"
#include "bambootack/wire/messages.h"

namespace bambootack::node {

/// @brief Send an answer to a caller or operator.
struct AnswerCaller {
  core::CallerId caller{};
  core::HttpAnswer http;
};

/// @brief Send a message to another VM.
struct SendToPeer {
  core::VmId vm{};
  wire::Message message;
};

/// @brief Addresses of the other VMs have changed.
struct SetPeers {
  std::vector<membership::Member> members;
};

/// @brief Send a request to a backend server.
struct StartAttempt {
  core::Handle attempt;
  std::string address;
  core::HttpRequest http;
  core::Duration timeout{};
};

/// @brief Close the connection of an attempt.
struct CancelAttempt {
  core::Handle attempt;
};

/// @brief Read a stream of the platform's log.
struct ReadLog {
  std::string stream;
  std::uint64_t from = 0;
};

/// @brief Append a record to a stream of the platform's log.
struct AppendLog {
  std::string stream;
  std::string id;
  std::string body;
};

/// @brief Read the platform's VM list.
struct ReadVmList {};

/// @brief Write a log event.
struct WriteLog {
  log::Record record;
};

/// @brief End the process.
struct Exit {
  int code = 0;
};

/// @brief Everything that a node asks its shell to do.
using Action =
    std::variant<AnswerCaller, SendToPeer, SetPeers, StartAttempt,
                 CancelAttempt, ReadLog, AppendLog, ReadVmList, WriteLog, Exit>;

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_ACTIONS_H_

#ifndef BAMBOOTACK_NET_HTTP_CLIENT_H_
#define BAMBOOTACK_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"
#include "bambootack/net/answer_memory.h"
#include "bambootack/node/events.h"

namespace bambootack::net {

/// @brief One request to send.
struct HttpCall {
  std::string address;  ///< IP:port
  core::HttpRequest http;
  core::Duration timeout{};
  core::Duration connect_timeout = std::chrono::milliseconds(500);
  /// Uses a connection of its own. A request on a kept one may meet its end,
  /// and then nobody knows whether it ran.
  bool fresh_connection = false;
  /// Connects and closes the connection without a request. The call then ends
  /// as `kAnswered`, with an empty answer, or as `kNotConnected`.
  bool connect_only = false;
  /// Limit on the body of the answer, besides that of the client.
  std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
  /// Accepts an answer without a length, which ends with its connection.
  bool accept_unframed = false;
  /// Called on the client's thread when the head of an answer has arrived whose
  /// body is larger than `kLargeBodyBytes`; may be empty.
  std::function<void()> on_large_body;
};

/// @brief How a call ended.
struct HttpCallResult {
  node::AttemptEnd end = node::AttemptEnd::kLost;
  core::HttpAnswer answer;
  /// Nothing listens at the address; set with `kNotConnected`.
  bool refused = false;
};

/// @brief HTTP/1.1 client (libcurl) with one thread for all transfers. No
/// request is sent twice: a call on a kept-alive connection that closes just
/// then ends as `kLost`. An answer whose end is not certain ends as `kInvalid`.
class HttpClient {
 public:
  /// @brief Called on the client's thread when a call has ended.
  using OnResult = std::function<void(HttpCallResult)>;

  /// @brief Starts the thread.
  explicit HttpClient(AnswerLimits limits);

  /// @brief Starts the thread, with a limit on each answer only.
  explicit HttpClient(std::size_t max_body_bytes)
      : HttpClient(AnswerLimits{max_body_bytes}) {}
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Starts a call.
  /// @param id Number for cancellation, unique among calls in flight.
  /// @param call The call.
  /// @param on_result Receives the result, unless the call is cancelled.
  void Start(std::uint64_t id, HttpCall call, OnResult on_result);

  /// @brief Closes the connection of a call. Its result is dropped.
  /// @param id Number of the call.
  void Cancel(std::uint64_t id);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_HTTP_CLIENT_H_

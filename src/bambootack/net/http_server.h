#ifndef BAMBOOTACK_NET_HTTP_SERVER_H_
#define BAMBOOTACK_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bambootack/core/http_message.h"
#include "bambootack/core/ids.h"
#include "bambootack/net/body_memory.h"

namespace asio {
class io_context;
}  // namespace asio

namespace bambootack::net {

/// @brief Limits and address of an HTTP server.
struct HttpServerOptions {
  std::string address;                          ///< IP:port
  std::uint32_t threads = 1;                    ///< Traffic threads.
  std::size_t max_body_bytes = 1024 * 1024;     ///< Larger ones are refused.
  std::size_t max_connections = 4096;           ///< Further ones wait.
  std::uint32_t read_timeout_ms = 15'000;       ///< For a whole request.
  std::uint32_t write_timeout_ms = 15'000;      ///< For a whole answer.
  std::uint32_t answer_timeout_ms = 3'600'000;  ///< For the handler.
  /// Memory of the bodies. If set, it decides which bodies are read, large
  /// bodies are shared and not copied, and the connection without a request for
  /// longest is closed when there are more than `max_connections`. Needs
  /// `context`, and the thread that runs it must create the server.
  std::shared_ptr<BodyMemory> body_memory = nullptr;
  /// If set, the server runs on this context and starts no thread.
  asio::io_context* context = nullptr;
};

/// @brief HTTP/1.1 server (RESTinio). Callbacks run on its traffic threads.
/// Malformed and oversized requests are refused here and not reported. A caller
/// that closes its connection, or only its sending half, has hung up.
class HttpServer {
 public:
  /// @brief Called for each whole request.
  using OnRequest = std::function<void(core::CallerId, core::HttpRequest)>;
  /// @brief Called when a connection closes before its answer.
  using OnGone = std::function<void(core::CallerId)>;

  /// @brief Starts to listen.
  /// @param options Address and limits.
  /// @param on_request Receives requests.
  /// @param on_gone Receives hang-ups; may be empty.
  /// @throw std::exception if the address cannot be bound.
  HttpServer(HttpServerOptions options, OnRequest on_request, OnGone on_gone);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Sends the answer to a request. An absent caller is ignored.
  /// @param caller Its number.
  /// @param answer The answer.
  void Answer(core::CallerId caller, core::HttpAnswer answer);

  /// @brief Waits until all answers are written to their sockets.
  /// @param limit Longest wait.
  /// @return True if no answer is left.
  bool Flush(std::chrono::milliseconds limit);

  /// @brief Number of answers that are not written to their sockets yet.
  [[nodiscard]] std::size_t UnsentCount() const;

  /// @brief Port that is listened on.
  /// @return The port, also when the address asked for port 0.
  [[nodiscard]] std::uint16_t Port() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_HTTP_SERVER_H_

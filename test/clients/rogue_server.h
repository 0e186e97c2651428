#ifndef TEST_CLIENTS_ROGUE_SERVER_H_
#define TEST_CLIENTS_ROGUE_SERVER_H_

#include <asio.hpp>
#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace clients {

/// @brief What a faulty server sends to each request.
struct RogueAnswer {
  std::string start;
  std::string repeated;  ///< Sent after `start`, again and again.
  /// Bytes of `repeated` text in total; the connection then stays open.
  std::size_t limit = static_cast<std::size_t>(-1);
};

/// @brief Faulty server on loopback with a thread of its own.
class RogueServer {
 public:
  RogueServer(const std::string& address, RogueAnswer answer);
  ~RogueServer();
  RogueServer(const RogueServer&) = delete;
  RogueServer& operator=(const RogueServer&) = delete;

  /// @brief Requests that were read so far.
  [[nodiscard]] std::size_t Requests() const noexcept { return requests_; }

 private:
  class Session;

  void Accept();

  RogueAnswer answer_;
  std::string block_;  ///< `repeated` many times.
  std::atomic<std::size_t> requests_ = 0;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace clients

#endif  // TEST_CLIENTS_ROGUE_SERVER_H_

#ifndef TEST_CLIENTS_CROWD_H_
#define TEST_CLIENTS_CROWD_H_

#include <poll.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace clients {

/// @brief Socket that is closed with its owner.
class Socket {
 public:
  /// @brief Connects without blocking.
  explicit Socket(const std::string& address);
  ~Socket();
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  [[nodiscard]] int Fd() const noexcept { return fd_; }

 private:
  int fd_ = -1;
};

/// @brief Bytes that a client sends: the head and then a repeated text.
struct Script {
  std::string head;
  std::string repeated;       ///< Sent again and again after the head.
  std::size_t tail = 0;       ///< Bytes of `repeated` text to send in total.
  std::string end;            ///< Sent last.
  std::size_t piece = 65536;  ///< Bytes for each turn.
  bool reads = true;          ///< Reads what the system sends.
};

/// @brief Clients that send at the same time, in turns, and keep their
/// connections open.
class Crowd {
 public:
  explicit Crowd(std::string address) : address_(std::move(address)) {}

  /// @brief Adds clients that send the same script.
  void Add(std::size_t count, Script script);

  /// @brief Sends until all clients have sent everything or were cut off, or
  /// until nothing has moved for a time.
  void Send();

  /// @brief Sends until each client has received something or was cut off.
  void SendUntilAnswered();

  /// @brief What the system has sent to a client.
  [[nodiscard]] const std::string& Received(std::size_t client) const {
    return clients_[client].received;
  }

  /// @brief Clients whose answer begins with this status.
  [[nodiscard]] std::size_t CountStatus(int status) const;

 private:
  struct Client {
    Socket socket;
    Script script;
    std::size_t sent = 0;
    std::string received;
    bool closed = false;
  };

  [[nodiscard]] static std::size_t Total(const Script& script);
  [[nodiscard]] static std::string PieceAt(const Script& script,
                                           std::size_t offset);
  /// Writes and reads once for each client.
  /// @return Whether anything moved.
  bool Turn();
  static bool Write(Client& client);
  static bool Read(Client& client);

  std::string address_;
  std::vector<Client> clients_;
};

/// @brief Head of a request to the service of the tests.
/// @param framing Field that frames the body.
[[nodiscard]] std::string RequestHead(std::string_view path,
                                      std::string_view id,
                                      std::string_view framing);

}  // namespace clients

#endif  // TEST_CLIENTS_CROWD_H_

#include "clients/crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace clients {
namespace {

/// A crowd has ended when nothing has moved for this long. The system may have
/// stopped to read, which is one of the answers that it is allowed to give.
constexpr auto kQuietTime = std::chrono::seconds(3);

/// Whatever the system does, a crowd ends after this time.
constexpr auto kMaxTime = std::chrono::seconds(60);

constexpr std::size_t kMaxReceived = 4096;

}  // namespace

Socket::Socket(const std::string& address)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
  const std::size_t colon = address.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  if (fd_ < 0 ||
      (connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 &&
       errno != EINPROGRESS)) {
    throw std::runtime_error("cannot connect to " + address);
  }
}

Socket::~Socket() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

void Crowd::Add(std::size_t count, Script script) {
  for (std::size_t i = 0; i < count; ++i) {
    clients_.push_back(Client{Socket(address_), script, 0, {}, false});
  }
}

std::size_t Crowd::Total(const Script& script) {
  return script.head.size() + script.tail + script.end.size();
}

std::string Crowd::PieceAt(const Script& script, std::size_t offset) {
  std::string piece;
  if (offset < script.head.size()) {
    return script.head.substr(offset);
  }
  const std::size_t in_tail = offset - script.head.size();
  if (in_tail >= script.tail) {
    return script.end.substr(in_tail - script.tail);
  }
  const std::size_t size = std::min(script.piece, script.tail - in_tail);
  piece.reserve(size + script.repeated.size());
  piece = script.repeated.substr(in_tail % script.repeated.size());
  while (piece.size() < size) {
    piece += script.repeated;
  }
  piece.resize(size);
  return piece;
}

bool Crowd::Write(Client& client) {
  if (client.closed || client.sent >= Total(client.script)) {
    return false;
  }
  const std::string piece = PieceAt(client.script, client.sent);
  const ssize_t n =
      send(client.socket.Fd(), piece.data(), piece.size(), MSG_NOSIGNAL);
  if (n > 0) {
    client.sent += static_cast<std::size_t>(n);
    return true;
  }
  client.closed =
      n < 0 && errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN;
  return false;
}

bool Crowd::Read(Client& client) {
  std::array<char, 65536> buf{};
  if (!client.script.reads || client.closed) {
    return false;
  }
  const ssize_t n = recv(client.socket.Fd(), buf.data(), buf.size(), 0);
  if (n > 0) {
    client.received.append(buf.data(),
                           std::min(static_cast<std::size_t>(n),
                                    kMaxReceived - client.received.size()));
    return true;
  }
  client.closed = n == 0 || (errno != EAGAIN && errno != ENOTCONN);
  return false;
}

bool Crowd::Turn() {
  bool moved = false;
  std::vector<pollfd> waiting;
  for (Client& it : clients_) {
    moved = Write(it) || moved;
    moved = Read(it) || moved;
    waiting.push_back({it.closed ? -1 : it.socket.Fd(), POLLIN, 0});
  }
  if (!moved) {
    poll(waiting.data(), waiting.size(), 10);
  }
  return moved;
}

void Crowd::Send() {
  const auto begin = std::chrono::steady_clock::now();
  auto last_moved = begin;
  for (auto now = begin;
       now < last_moved + kQuietTime && now < begin + kMaxTime;
       now = std::chrono::steady_clock::now()) {
    const bool moved = Turn();
    if (moved) {
      last_moved = now;
    }
    const bool unfinished =
        std::any_of(clients_.begin(), clients_.end(), [](const Client& it) {
          return !it.closed && it.sent < Total(it.script);
        });
    if (!unfinished && !moved && now > last_moved + kQuietTime / 3) {
      return;
    }
  }
}

void Crowd::SendUntilAnswered() {
  const auto end = std::chrono::steady_clock::now() + kMaxTime;
  while (std::chrono::steady_clock::now() < end &&
         std::any_of(clients_.begin(), clients_.end(), [](const Client& it) {
           return !it.closed && it.received.empty();
         })) {
    Turn();
  }
}

std::size_t Crowd::CountStatus(int status) const {
  const std::string begin = fmt::format("HTTP/1.1 {}", status);
  return static_cast<std::size_t>(std::count_if(
      clients_.begin(), clients_.end(),
      [&](const Client& it) { return it.received.starts_with(begin); }));
}

std::string RequestHead(std::string_view path, std::string_view id,
                        std::string_view framing) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {}\r\n"
      "X-Deadline-Ms: 20000\r\n{}\r\n\r\n",
      path, id, framing);
}

}  // namespace clients

#include "clients/rogue_server.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>
#include <utility>

namespace clients {
namespace {

using asio::ip::tcp;

constexpr std::size_t kBlockBytes = 65536;

tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.find(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

/// One connection: reads the head of a request, then sends.
class RogueServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, RogueServer& server)
      : socket_(std::move(socket)), server_(server) {}

  void Start() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (!ec) {
            ++self->server_.requests_;
            self->Send(self->server_.answer_.start);
          }
        });
  }

 private:
  void Send(std::string_view bytes) {
    asio::async_write(
        socket_, asio::buffer(bytes),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (!ec) {
            self->SendRepeated();
          }
        });
  }

  void SendRepeated() {
    const std::string_view block = server_.block_;
    const std::size_t n = std::min(block.size(), server_.answer_.limit - sent_);
    if (n == 0) {
      return WaitForClose();
    }
    sent_ += n;
    Send(block.substr(0, n));
  }

  void WaitForClose() {
    socket_.async_read_some(
        asio::buffer(buf_),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (!ec) {
            self->WaitForClose();
          }
        });
  }

  tcp::socket socket_;
  RogueServer& server_;
  std::string request_;
  std::array<char, 4096> buf_{};
  std::size_t sent_ = 0;
};

RogueServer::RogueServer(const std::string& address, RogueAnswer answer)
    : answer_(std::move(answer)), acceptor_(io_, EndpointOf(address)) {
  while (!answer_.repeated.empty() && block_.size() < kBlockBytes) {
    block_ += answer_.repeated;
  }
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

RogueServer::~RogueServer() {
  io_.stop();
  thread_.join();
}

void RogueServer::Accept() {
  acceptor_.async_accept([this](std::error_code ec, tcp::socket socket) {
    if (!ec) {
      std::make_shared<Session>(std::move(socket), *this)->Start();
    }
    Accept();
  });
}

}  // namespace clients

#include "bambootack/net/peer_transport.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "bambootack/net/address.h"
#include "bambootack/net/incoming_connections.h"
#include "bambootack/net/peer_frame.h"
#include "bambootack/wire/sealed_frame.h"

namespace bambootack::net {
namespace {

using asio::ip::tcp;
using asio::ip::udp;
using detail::kLengthBytes;
using detail::WithLength;

constexpr std::size_t kMaxQueuedBytes = 32 * 1024 * 1024;
constexpr std::size_t kMaxDatagramBytes = 2048;

/// Least time between two hellos that ask a VM for its session. A VM that has
/// just started may not have heard the first one.
constexpr auto kAskInterval = std::chrono::milliseconds(250);

/// Least time between two hellos to a VM that lacks the session of this
/// process; it may go on sending for some round trips.
constexpr auto kAnswerInterval = std::chrono::milliseconds(20);

/// Datagrams that wait for the session of their receiver. Most are questions,
/// whose askers wait for 25 ms.
constexpr auto kDatagramLife = std::chrono::milliseconds(100);
constexpr std::size_t kMaxWaitingDatagrams = 8;

/// A connection whose data is not confirmed for this long has gone silent.
constexpr unsigned kSilentMs = 700;

/// For the connection and the hello of the accepting side.
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);

tcp::endpoint EndpointOf(const std::string& address) {
  const Endpoint endpoint = SplitAddress(address);
  return {asio::ip::make_address(endpoint.ip), endpoint.port};
}

udp::endpoint DatagramEndpointOf(const std::string& address) {
  const tcp::endpoint endpoint = EndpointOf(address);
  return {endpoint.address(), endpoint.port()};
}

void SetOptions(tcp::socket& socket) {
  std::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const int set = setsockopt(socket.native_handle(), IPPROTO_TCP,
                             TCP_USER_TIMEOUT, &kSilentMs, sizeof(kSilentMs));
  static_cast<void>(set);  // Without it, TCP's own timeout of minutes applies.
}

/// Sends messages to one VM.
class Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  Outgoing(asio::io_context& io, core::VmId vm, std::string address,
           const PeerCallbacks& callbacks, std::function<void()> on_lost)
      : socket_(io),
        timer_(io),
        vm_(vm),
        address_(std::move(address)),
        callbacks_(callbacks),
        on_lost_(std::move(on_lost)) {}

  [[nodiscard]] const std::string& Address() const noexcept { return address_; }

  void Send(std::string message) {
    if (queued_bytes_ + message.size() > kMaxQueuedBytes) {
      Fail();
      return;
    }
    queued_bytes_ += message.size();
    queue_.push_back(std::move(message));
    if (!connecting_ && !connected_) {
      Connect();
    } else if (connected_ && queue_.size() == 1) {
      Write();
    }
  }

  void Close() {
    closed_ = true;
    std::error_code ec;
    socket_.close(ec);
    timer_.cancel();
  }

 private:
  void Connect() {
    connecting_ = true;
    timer_.expires_after(kConnectTimeout);
    timer_.async_wait([self = shared_from_this()](std::error_code ec) {
      if (!ec && self->connecting_) {
        self->Fail();
      }
    });
    socket_.async_connect(EndpointOf(address_),
                          [self = shared_from_this()](std::error_code ec) {
                            if (self->closed_) {
                              return;
                            }
                            if (ec) {
                              return self->Fail();
                            }
                            SetOptions(self->socket_);
                            self->ReadHello();
                          });
  }

  void ReadHello() {
    hello_.resize(kLengthBytes + wire::kSealOverheadBytes);
    asio::async_read(
        socket_, asio::buffer(hello_),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (self->closed_) {
            return;
          }
          std::string_view hello = self->hello_;
          hello.remove_prefix(kLengthBytes);
          if (ec || !self->callbacks_.accept_hello(self->vm_, hello)) {
            return self->Fail();
          }
          self->timer_.cancel();
          self->connecting_ = false;
          self->connected_ = true;
          self->WatchForClose();
          self->Write();
        });
  }

  /// The peer sends nothing after its hello, so a read ends when it closes.
  void WatchForClose() {
    socket_.async_read_some(
        asio::buffer(&probe_, 1),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (ec && ec != asio::error::operation_aborted) {
            self->Fail();
          }
        });
  }

  void Write() {
    if (queue_.empty()) {
      return;
    }
    std::optional<std::string> frame = callbacks_.seal(vm_, queue_.front());
    if (!frame) {
      return Fail();
    }
    frame_ = WithLength(*std::move(frame));
    asio::async_write(
        socket_, asio::buffer(frame_),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (!self->connected_) {
            return;
          }
          if (ec) {
            self->Fail();
            return;
          }
          self->queued_bytes_ -= self->queue_.front().size();
          self->queue_.pop_front();
          self->Write();
        });
  }

  void Fail() {
    if (closed_) {
      return;
    }
    Close();
    connecting_ = false;
    connected_ = false;
    on_lost_();
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  core::VmId vm_;
  std::string address_;
  const PeerCallbacks& callbacks_;
  std::function<void()> on_lost_;
  std::string hello_;
  std::string frame_;  ///< Sealed form of the first message of the queue.
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  bool connecting_ = false;
  bool connected_ = false;
  bool closed_ = false;
  char probe_ = 0;
};

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(const std::string& address, PeerCallbacks callbacks)
      : callbacks_(std::move(callbacks)),
        acceptor_(io_, EndpointOf(address)),
        datagrams_(io_, udp::endpoint(acceptor_.local_endpoint().address(),
                                      acceptor_.local_endpoint().port())) {
    datagrams_.non_blocking(true);
    AcceptConnection();
    ReceiveDatagram();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Impl() {
    io_.stop();
    thread_.join();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void SetPeers(std::vector<membership::Member> members) {
    asio::post(io_, [this, members = std::move(members)] {
      addresses_.clear();
      for (const membership::Member& it : members) {
        addresses_[it.vm] = it.address;
      }
    });
  }

  void Send(core::VmId vm, std::string message) {
    asio::post(io_, [this, vm, message = std::move(message)]() mutable {
      Deliver(vm, std::move(message));
    });
  }

  void SendDatagram(core::VmId vm, std::string message) {
    asio::post(io_, [this, vm, message = std::move(message)]() mutable {
      if (const auto frame = callbacks_.seal(vm, message)) {
        Transmit(vm, *frame);
        return;
      }
      SendHello(vm, hello_asked_, kAskInterval);
      auto& waiting = waiting_[vm];
      if (waiting.size() >= kMaxWaitingDatagrams) {
        waiting.pop_front();
      }
      waiting.push_back({std::move(message), Clock::now() + kDatagramLife});
    });
  }

  [[nodiscard]] std::uint16_t Port() const {
    return acceptor_.local_endpoint().port();
  }

 private:
  using Clock = std::chrono::steady_clock;

  /// A datagram for a VM whose session is unknown.
  struct Waiting {
    std::string message;
    Clock::time_point until;
  };

  void ReceiveDatagram() {
    datagrams_.async_receive_from(asio::buffer(datagram_), datagram_sender_,
                                  [this](std::error_code ec, std::size_t n) {
                                    if (!ec && n < kMaxDatagramBytes) {
                                      Accept(std::string(datagram_.data(), n));
                                    }
                                    ReceiveDatagram();
                                  });
  }

  void Accept(std::string datagram) {
    const DatagramSender sender = callbacks_.on_datagram(std::move(datagram));
    if (sender.needs_hello) {
      SendHello(sender.vm, hello_answered_, kAnswerInterval);
    }
    SendWaiting(sender.vm);
  }

  void SendWaiting(core::VmId vm) {
    const auto found = waiting_.find(vm);
    if (found == waiting_.end()) {
      return;
    }
    const std::deque<Waiting> waiting = std::move(found->second);
    waiting_.erase(found);
    const Clock::time_point now = Clock::now();
    for (const Waiting& it : waiting) {
      const auto frame =
          now < it.until ? callbacks_.seal(vm, it.message) : std::nullopt;
      if (frame) {
        Transmit(vm, *frame);
      }
    }
  }

  void SendHello(core::VmId vm, std::map<core::VmId, Clock::time_point>& sent,
                 Clock::duration interval) {
    const Clock::time_point now = Clock::now();
    const auto [it, inserted] = sent.try_emplace(vm, now);
    if (inserted || now - it->second >= interval) {
      it->second = now;
      Transmit(vm, callbacks_.hello(vm));
    }
  }

  void Transmit(core::VmId vm, const std::string& frame) {
    const auto address = addresses_.find(vm);
    if (address == addresses_.end()) {
      return;
    }
    // A full send buffer or a closed port loses the datagram.
    std::error_code ignored;
    datagrams_.send_to(asio::buffer(frame), DatagramEndpointOf(address->second),
                       0, ignored);
  }

  void AcceptConnection() {
    acceptor_.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (!ec) {
        SetOptions(socket);
        incoming_.Add(std::move(socket));
      }
      AcceptConnection();
    });
  }

  void Deliver(core::VmId vm, std::string message) {
    const auto address = addresses_.find(vm);
    if (address == addresses_.end()) {
      callbacks_.on_lost(vm);
      return;
    }
    auto& connection = connections_[vm];
    if (connection && connection->Address() != address->second) {
      connection->Close();
      connection.reset();
    }
    if (!connection) {
      connection = std::make_shared<Outgoing>(io_, vm, address->second,
                                              callbacks_, [this, vm] {
                                                connections_.erase(vm);
                                                callbacks_.on_lost(vm);
                                              });
    }
    // The connection may erase itself from the table while it sends.
    const std::shared_ptr<Outgoing> it = connection;
    it->Send(std::move(message));
  }

  PeerCallbacks callbacks_;
  IncomingConnections incoming_{callbacks_};
  asio::io_context io_;
  tcp::acceptor acceptor_;
  udp::socket datagrams_;
  udp::endpoint datagram_sender_;
  std::array<char, kMaxDatagramBytes> datagram_{};
  std::map<core::VmId, Clock::time_point> hello_asked_;
  std::map<core::VmId, Clock::time_point> hello_answered_;
  std::map<core::VmId, std::deque<Waiting>> waiting_;
  std::map<core::VmId, std::string> addresses_;
  std::map<core::VmId, std::shared_ptr<Outgoing>> connections_;
  std::thread thread_;
};

PeerTransport::PeerTransport(const std::string& address,
                             PeerCallbacks callbacks)
    : impl_(std::make_unique<Impl>(address, std::move(callbacks))) {}

PeerTransport::~PeerTransport() = default;

void PeerTransport::SetPeers(std::vector<membership::Member> members) {
  impl_->SetPeers(std::move(members));
}

void PeerTransport::Send(core::VmId vm, std::string message) {
  impl_->Send(vm, std::move(message));
}

std::uint16_t PeerTransport::Port() const { return impl_->Port(); }

void PeerTransport::SendDatagram(core::VmId vm, std::string message) {
  impl_->SendDatagram(vm, std::move(message));
}

}  // namespace bambootack::net

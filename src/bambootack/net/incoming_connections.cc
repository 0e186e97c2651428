#include "bambootack/net/incoming_connections.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <list>
#include <optional>
#include <string>
#include <utility>

#include "bambootack/net/peer_frame.h"

namespace bambootack::net {
namespace {

using detail::kLengthBytes;
using detail::kMaxFrameBytes;
using detail::LengthOf;
using detail::WithLength;

/// Frames that are being received, from all VMs, and the pieces in which their
/// memory grows. A frame shows only at its end whether a VM of the fleet sent
/// it.
constexpr std::size_t kMaxIncomingBytes = 8 * 1024 * 1024;
constexpr std::size_t kFramePieceBytes = 64 * 1024;

/// A frame of the largest size takes 1 s on the slowest links.
constexpr auto kMaxFrameTime = std::chrono::seconds(10);

/// A failure domain of the largest fleets has 700 VMs.
constexpr std::size_t kMaxIncomingConnections = 1024;

}  // namespace

/// Connections that give way, from the front, if there are too many of them or
/// if their frames take too much memory.
struct IncomingConnections::State {
  /// Without an accepted frame, the oldest connection first.
  std::list<Connection*> unproven;
  /// Others, the one without a frame for longest first.
  std::list<Connection*> proven;
  /// Within a frame, the one that began first.
  std::list<Connection*> receiving;
  std::size_t frame_bytes = 0;  ///< Of the frames of `receiving`.
};

/// Reads frames from one connection until it closes.
class IncomingConnections::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::ip::tcp::socket socket, const PeerCallbacks& callbacks,
             std::shared_ptr<State> state)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        callbacks_(callbacks),
        state_(std::move(state)),
        hello_(WithLength(callbacks.hello(core::kNoVm))) {
    position_ = state_->unproven.insert(state_->unproven.end(), this);
  }

  ~Connection() {
    EndFrame();
    (proven_ ? state_->proven : state_->unproven).erase(position_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start() {
    asio::async_write(
        socket_, asio::buffer(hello_),
        [self = shared_from_this()](std::error_code, std::size_t) {});
    LimitFrame();
    ReadLength();
  }

  void Close() {
    std::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  /// Closes the connection unless a frame is complete in time.
  void LimitFrame() {
    timer_.expires_after(kMaxFrameTime);
    timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) {
        self->Close();
      }
    });
  }

  void ReadLength() {
    asio::async_read(
        socket_, asio::buffer(length_),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (!ec) {
            self->BeginFrame(LengthOf(self->length_));
          }
        });
  }

  void BeginFrame(std::uint32_t n) {
    if (n == 0 || n > kMaxFrameBytes) {
      return Close();
    }
    frame_left_ = n;
    receiving_ = state_->receiving.insert(state_->receiving.end(), this);
    if (proven_) {
      LimitFrame();
    }
    ReadPiece();
  }

  /// Reads the next piece of a frame. The memory of a frame follows what has
  /// been received, whatever length was announced.
  void ReadPiece() {
    const std::size_t n = std::min(frame_left_, kFramePieceBytes);
    const std::size_t offset = frame_.size();
    frame_left_ -= n;
    counted_bytes_ += n;
    state_->frame_bytes += n;
    while (state_->frame_bytes > kMaxIncomingBytes &&
           state_->receiving.front() != this) {
      state_->receiving.front()->Evict();
    }
    frame_.resize(offset + n);
    asio::async_read(
        socket_, asio::buffer(frame_.data() + offset, n),
        [self = shared_from_this()](std::error_code ec, std::size_t) {
          if (!ec && self->receiving_) {
            self->frame_left_ > 0 ? self->ReadPiece() : self->AcceptFrame();
          }
        });
  }

  void AcceptFrame() {
    std::string frame = std::move(frame_);
    EndFrame();
    timer_.cancel();
    if (!callbacks_.on_frame(std::move(frame))) {
      return Close();
    }
    (proven_ ? state_->proven : state_->unproven).erase(position_);
    proven_ = true;
    position_ = state_->proven.insert(state_->proven.end(), this);
    ReadLength();
  }

  /// Leaves the memory of its frame to other connections.
  void Evict() {
    Close();
    EndFrame();
  }

  void EndFrame() {
    if (receiving_) {
      state_->receiving.erase(*receiving_);
      receiving_.reset();
      state_->frame_bytes -= std::exchange(counted_bytes_, 0);
    }
    frame_ = {};
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const PeerCallbacks& callbacks_;
  std::shared_ptr<State> state_;
  std::list<Connection*>::iterator position_;
  bool proven_ = false;  ///< A frame has been accepted.
  /// Set while a frame is received.
  std::optional<std::list<Connection*>::iterator> receiving_;
  std::string hello_;
  std::array<unsigned char, kLengthBytes> length_{};
  std::string frame_;
  std::size_t frame_left_ = 0;     ///< Bytes that are not being read yet.
  std::size_t counted_bytes_ = 0;  ///< Part of the account's `frame_bytes`.
};

IncomingConnections::IncomingConnections(const PeerCallbacks& callbacks)
    : callbacks_(callbacks), state_(std::make_shared<State>()) {}

IncomingConnections::~IncomingConnections() = default;

void IncomingConnections::Add(asio::ip::tcp::socket socket) {
  std::make_shared<Connection>(std::move(socket), callbacks_, state_)->Start();
  auto& unproven = state_->unproven;
  auto& proven = state_->proven;
  if (unproven.size() + proven.size() > kMaxIncomingConnections) {
    // The newest connection is unproven.
    (unproven.size() > 1 ? unproven : proven).front()->Close();
  }
}

}  // namespace bambootack::net

#include "gateway/peer_messenger.h"

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "bambootack/core/error_kind.h"
#include "bambootack/gateway/codec.h"
#include "bambootack/net/peer_transport.h"
#include "daemon/peer_security.h"

namespace bambootack::gateway_daemon {
namespace {

/// Largest message that fits into a datagram with the overhead of its seal.
constexpr std::size_t kMaxDatagramMessageBytes = 1800;

}  // namespace

class PeerMessenger::Impl {
 public:
  Impl(PeerIdentity identity, OnMessage on_message, OnRejected on_rejected)
      : on_message_(std::move(on_message)),
        on_rejected_(std::move(on_rejected)),
        security_(identity.vm, {identity.key}, identity.incarnation),
        transport_(identity.address, TransportCallbacks()) {}

  void SetMembers(std::vector<membership::Member> members) {
    transport_.SetPeers(std::move(members));
  }

  std::size_t Send(core::VmId vm, const gateway::PeerMessage& message) {
    std::string bytes = gateway::Encode(message);
    const std::size_t n = bytes.size();
    if (n <= kMaxDatagramMessageBytes) {
      transport_.SendDatagram(vm, std::move(bytes));
    } else {
      transport_.Send(vm, std::move(bytes));
    }
    return n;
  }

 private:
  net::PeerCallbacks TransportCallbacks() {
    net::PeerCallbacks callbacks;
    callbacks.hello = [this](core::VmId vm) { return security_.Hello(vm); };
    callbacks.accept_hello = [this](core::VmId vm, std::string_view frame) {
      return security_.AcceptHello(vm, frame);
    };
    callbacks.seal = [this](core::VmId vm, std::string_view bytes) {
      return security_.Seal(vm, bytes);
    };
    callbacks.on_frame = [this](const std::string& frame) {
      return !HandleFrame(frame).needs_hello;
    };
    callbacks.on_datagram = [this](const std::string& frame) {
      return HandleFrame(frame);
    };
    // Nothing to do: the sender of a lost message falls back to a local choice
    // when its wait for the answer ends.
    callbacks.on_lost = [](core::VmId) {};
    return callbacks;
  }

  net::DatagramSender HandleFrame(std::string_view frame) {
    daemon::PeerSecurity::Frame opened = security_.OpenFrame(frame);
    if (const auto* accepted = std::get_if<wire::OpenedFrame>(&opened)) {
      DeliverMessage(*accepted);
      return {accepted->sender, false};
    }
    const auto& rejection = std::get<daemon::FrameRejection>(opened);
    if (!rejection.hello) {
      on_rejected_(rejection.sender, rejection.detail);
    }
    return {rejection.sender, rejection.needs_hello};
  }

  /// Reports messages that cannot be decoded as rejected; a newer version may
  /// send them.
  void DeliverMessage(const wire::OpenedFrame& frame) {
    namespace leaf = boost::leaf;
    auto message = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<gateway::PeerMessage>> {
          BOOST_LEAF_AUTO(decoded, gateway::Decode(frame.message));
          return std::optional(std::move(decoded));
        },
        [] { return std::optional<gateway::PeerMessage>(); });
    if (message) {
      on_message_(frame.sender, *std::move(message));
    } else {
      on_rejected_(frame.sender, "cannot be decoded");
    }
  }

  OnMessage on_message_;
  OnRejected on_rejected_;
  daemon::PeerSecurity security_;
  net::PeerTransport transport_;
};

PeerMessenger::PeerMessenger(PeerIdentity identity, OnMessage on_message,
                             OnRejected on_rejected)
    : impl_(std::make_unique<Impl>(std::move(identity), std::move(on_message),
                                   std::move(on_rejected))) {}

PeerMessenger::~PeerMessenger() = default;

void PeerMessenger::SetMembers(std::vector<membership::Member> members) {
  impl_->SetMembers(std::move(members));
}

std::size_t PeerMessenger::Send(core::VmId vm,
                                const gateway::PeerMessage& message) {
  return impl_->Send(vm, message);
}

}  // namespace bambootack::gateway_daemon

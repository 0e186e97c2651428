#include "daemon/peer_security.h"

#include <fmt/format.h>
#include <sodium.h>

#include <boost/leaf/handle_errors.hpp>
#include <stdexcept>
#include <utility>

#include "bambootack/core/error_kind.h"
#include "bambootack/wire/codec.h"

namespace bambootack::daemon {
namespace {

wire::Nonce DrawNonce() {
  wire::Nonce nonce{};
  randombytes_buf(nonce.data(), nonce.size());
  return nonce;
}

wire::Session DrawSession() {
  if (sodium_init() < 0) {
    throw std::runtime_error("libsodium cannot be initialized");
  }
  std::uint64_t number = 0;
  while (number == 0) {
    randombytes_buf(&number, sizeof(number));
  }
  return wire::Session{number};
}

PeerSecurity::Received DecodeFrom(const wire::OpenedFrame& frame) {
  namespace leaf = boost::leaf;
  const auto reject = [&](std::string detail) {
    return PeerSecurity::Received(FrameRejection{
        std::nullopt, frame.sender, std::move(detail), false, false});
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<PeerSecurity::Received> {
        BOOST_LEAF_AUTO(envelope, wire::Decode(frame.message));
        if (envelope.sender != frame.sender ||
            envelope.incarnation != frame.incarnation) {
          return reject("sender differs from the frame");
        }
        return PeerSecurity::Received(std::move(envelope));
      },
      [&](const core::Error& error) { return reject(error.detail); },
      [&] { return reject("cannot be decoded"); });
}

}  // namespace

PeerSecurity::PeerSecurity(core::VmId vm, const std::vector<std::string>& keys,
                           core::Incarnation incarnation)
    : guard_({vm, incarnation, DrawSession()}, keys) {}

std::string PeerSecurity::Hello(core::VmId receiver) {
  const std::scoped_lock lock(mutex_);
  return guard_.SealHello(DrawNonce(), receiver);
}

bool PeerSecurity::AcceptHello(core::VmId vm, std::string_view frame) {
  const std::scoped_lock lock(mutex_);
  const auto opened = guard_.Open(frame);
  const auto* it = std::get_if<wire::OpenedFrame>(&opened);
  return it != nullptr && it->kind == wire::FrameKind::kHello &&
         it->sender == vm;
}

std::optional<std::string> PeerSecurity::Seal(core::VmId vm,
                                              std::string_view bytes) {
  const std::scoped_lock lock(mutex_);
  return guard_.Seal(vm, bytes, DrawNonce());
}

PeerSecurity::Frame PeerSecurity::OpenFrame(std::string_view frame) {
  wire::FrameGuard::Opened opened;
  {
    const std::scoped_lock lock(mutex_);
    opened = guard_.Open(frame);
  }
  if (const auto* refused = std::get_if<wire::RefusedFrame>(&opened)) {
    return FrameRejection{
        refused->fault, refused->sender,
        std::string(wire::kFrameFaultNames.Name(refused->fault)), false,
        refused->fault == wire::FrameFault::kWrongSession};
  }
  auto& it = std::get<wire::OpenedFrame>(opened);
  if (it.kind == wire::FrameKind::kHello) {
    return FrameRejection{std::nullopt, it.sender, "hello", true,
                          it.asks_hello};
  }
  return std::move(it);
}

PeerSecurity::Received PeerSecurity::Open(std::string_view frame) {
  Frame opened = OpenFrame(frame);
  if (auto* rejection = std::get_if<FrameRejection>(&opened)) {
    return std::move(*rejection);
  }
  return DecodeFrom(std::get<wire::OpenedFrame>(opened));
}

}  // namespace bambootack::daemon

#include "bambootack/net/peer_transport.h"

#include <asio.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include "bambootack/wire/sealed_frame.h"

namespace core = bambootack::core;
namespace net = bambootack::net;
namespace wire = bambootack::wire;

namespace {

using asio::ip::tcp;

const std::string kKeyA(64, 'a');
const std::string kKeyB(64, 'b');

/// A VM with a transport and a guard; results are delivered as futures.
class Vm {
 public:
  Vm(std::uint32_t vm, const std::string& key)
      : guard_({core::VmId{vm}, core::Incarnation{1}, wire::Session{vm}},
               {key}),
        transport_("127.0.0.1:0", Callbacks()) {}

  net::PeerTransport& Transport() { return transport_; }

  void Connect(std::uint32_t vm, std::uint16_t port) {
    transport_.SetPeers(
        {{core::VmId{vm}, {}, "127.0.0.1:" + std::to_string(port), "a"}});
  }

  std::promise<std::string> message;
  std::promise<core::VmId> lost;
  std::atomic<int> hellos = 0;

 private:
  net::PeerCallbacks Callbacks() {
    net::PeerCallbacks it;
    it.hello = [this](core::VmId vm) {
      return guard_.SealHello(NextNonce(), vm);
    };
    it.accept_hello = [this](core::VmId, std::string_view frame) {
      return std::holds_alternative<wire::OpenedFrame>(guard_.Open(frame));
    };
    it.seal = [this](core::VmId vm, std::string_view bytes) {
      return guard_.Seal(vm, bytes, NextNonce());
    };
    it.on_frame = [this](const std::string& frame) {
      const auto opened = guard_.Open(frame);
      if (const auto* accepted = std::get_if<wire::OpenedFrame>(&opened)) {
        message.set_value(accepted->message);
        return true;
      }
      return false;
    };
    it.on_datagram = [this](const std::string& frame) {
      const auto opened = guard_.Open(frame);
      const auto* it = std::get_if<wire::OpenedFrame>(&opened);
      if (it == nullptr) {
        return net::DatagramSender{};
      }
      if (it->kind == wire::FrameKind::kMessage) {
        message.set_value(it->message);
      } else {
        ++hellos;
      }
      return net::DatagramSender{it->sender, it->asks_hello};
    };
    it.on_lost = [this](core::VmId vm) { lost.set_value(vm); };
    return it;
  }

  wire::Nonce NextNonce() { return {++nonce_}; }

  std::uint8_t nonce_ = 0;
  wire::FrameGuard guard_;
  net::PeerTransport transport_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_transport)

// Guards against a first message that is lost because the receiver's session
// is not known yet.
BOOST_AUTO_TEST_CASE(first_message_arrives) {
  Vm a(1, kKeyA);
  Vm b(2, kKeyA);
  a.Connect(2, b.Transport().Port());
  a.Transport().Send(core::VmId{2}, "hello 2");
  BOOST_TEST(b.message.get_future().get() == "hello 2");
}

// Guards against a first datagram that is lost because the receiver's session
// is not known yet: after a start of all VMs each of them took its dispatchers
// for silent.
BOOST_AUTO_TEST_CASE(first_datagram_arrives) {
  Vm a(1, kKeyA);
  Vm b(2, kKeyA);
  a.Connect(2, b.Transport().Port());
  b.Connect(1, a.Transport().Port());
  a.Transport().SendDatagram(core::VmId{2}, "need a slot");
  BOOST_TEST(b.message.get_future().get() == "need a slot");
  b.Transport().SendDatagram(core::VmId{1}, "slot 3");
  BOOST_TEST(a.message.get_future().get() == "slot 3");
  // One hello each way: the answer to a hello asks for nothing.
  BOOST_TEST(a.hellos == 1);
  BOOST_TEST(b.hellos == 1);
}

// Guards against talking to a process that lacks the key or is another VM.
BOOST_AUTO_TEST_CASE(connection_without_a_valid_hello_is_lost) {
  Vm a(1, kKeyA);
  Vm b(2, kKeyB);
  a.Connect(2, b.Transport().Port());
  a.Transport().Send(core::VmId{2}, "secret");
  BOOST_TEST((a.lost.get_future().get() == core::VmId{2}));
}

// Guards against an unauthenticated connection that stays open, and against a
// length that allocates a large buffer.
BOOST_AUTO_TEST_CASE(connection_with_a_bad_frame_is_closed) {
  Vm b(2, kKeyA);
  for (const std::string& bytes :
       {std::string("\x03\0\0\0abc", 7), std::string("\xff\xff\xff\xff", 4),
        std::string("\0\0\0\0", 4)}) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), b.Transport().Port()});
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    std::error_code ec;
    asio::read(socket, asio::dynamic_buffer(received), ec);
    BOOST_TEST((ec == asio::error::eof || ec == asio::error::connection_reset),
               ec.message());
  }
}

// Guards against a VM whose messages are lost because others have announced
// frames and stopped within them.
BOOST_AUTO_TEST_CASE(messages_arrive_beside_unfinished_frames) {
  Vm a(1, kKeyA);
  Vm b(2, kKeyA);
  const std::string length("\0\0\x13\0", 4);
  const std::string part(1'000'000, 'x');
  asio::io_context io;
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < 30; ++i) {
    tcp::socket& socket = sockets.emplace_back(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), b.Transport().Port()});
    std::error_code ignored;
    asio::write(socket, asio::buffer(length + part), ignored);
  }
  a.Connect(2, b.Transport().Port());
  const std::string message(1'200'000, 'm');
  a.Transport().Send(core::VmId{2}, message);
  BOOST_TEST((b.message.get_future().get() == message));
  // The first unfinished frames have given way.
  std::string received;
  std::error_code ec;
  asio::read(sockets.front(), asio::dynamic_buffer(received), ec);
  BOOST_TEST((ec == asio::error::eof || ec == asio::error::connection_reset),
             ec.message());
}

BOOST_AUTO_TEST_SUITE_END()

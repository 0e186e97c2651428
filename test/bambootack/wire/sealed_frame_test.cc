#include "bambootack/wire/sealed_frame.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace core = bambootack::core;
namespace wire = bambootack::wire;

namespace {

using wire::FrameFault;
using wire::FrameGuard;

const std::string kKeyA(64, 'a');
const std::string kKeyB(64, 'b');

wire::Nonce NextNonce() {
  static std::uint8_t count = 0;
  return {++count};
}

FrameGuard Guard(std::uint32_t vm, std::uint64_t start,
                 std::vector<std::string> keys = {kKeyA},
                 std::size_t max_senders = wire::kMaxSenders) {
  return FrameGuard(
      {core::VmId{vm}, core::Incarnation{start}, wire::Session{1000 + start}},
      keys, max_senders);
}

std::optional<FrameFault> FaultOf(FrameGuard& guard, const std::string& frame) {
  const auto opened = guard.Open(frame);
  const auto* refused = std::get_if<wire::RefusedFrame>(&opened);
  return refused != nullptr ? std::optional(refused->fault) : std::nullopt;
}

void Greet(FrameGuard& from, FrameGuard& to) {
  BOOST_TEST(!FaultOf(to, from.SealHello(NextNonce())).has_value());
}

std::string Message(FrameGuard& from, std::uint32_t to) {
  return from.Seal(core::VmId{to}, "pay 7", NextNonce()).value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(sealed_frame)

// Guards against hellos that go to and fro without end, and against a process
// that starts anew and is not told the sessions of the others.
BOOST_AUTO_TEST_CASE(a_hello_asks_for_one_while_a_session_is_unknown) {
  FrameGuard a = Guard(1, 5);
  FrameGuard b = Guard(2, 5);
  const auto asks = [](FrameGuard& guard, const std::string& frame) {
    return std::get<wire::OpenedFrame>(guard.Open(frame)).asks_hello;
  };
  BOOST_TEST(asks(b, a.SealHello(NextNonce(), core::VmId{2})));
  BOOST_TEST(!asks(a, b.SealHello(NextNonce(), core::VmId{1})));
  FrameGuard again = Guard(1, 6);
  BOOST_TEST(asks(again, b.SealHello(NextNonce(), core::VmId{1})));
}

BOOST_AUTO_TEST_CASE(message_is_opened_once_by_its_receiver) {
  FrameGuard a = Guard(1, 5);
  FrameGuard b = Guard(2, 5);
  BOOST_TEST(!a.Seal(core::VmId{2}, "x", NextNonce()).has_value());
  Greet(b, a);
  const std::string frame = Message(a, 2);
  BOOST_TEST(frame.size() == 5 + wire::kSealOverheadBytes);
  BOOST_TEST(frame.find("pay 7") == std::string::npos);
  const auto opened = b.Open(frame);
  const auto& it = std::get<wire::OpenedFrame>(opened);
  BOOST_TEST(it.message == "pay 7");
  BOOST_TEST((it.sender == core::VmId{1}));
  BOOST_TEST((FaultOf(b, frame) == FrameFault::kReplayed));
}

// Guards against a frame that another VM, or a restarted receiver whose replay
// table is empty, accepts.
BOOST_AUTO_TEST_CASE(frame_is_bound_to_one_receiver_process) {
  FrameGuard a = Guard(1, 5);
  FrameGuard b = Guard(2, 5);
  FrameGuard c = Guard(3, 5);
  Greet(b, a);
  const std::string frame = Message(a, 2);
  BOOST_TEST((FaultOf(c, frame) == FrameFault::kWrongReceiver));
  FrameGuard restarted = Guard(2, 6);
  BOOST_TEST((FaultOf(restarted, frame) == FrameFault::kWrongSession));
  Greet(restarted, a);
  BOOST_TEST(!FaultOf(restarted, Message(a, 2)).has_value());
}

// Guards against messages and hellos of a process that has been replaced.
BOOST_AUTO_TEST_CASE(older_incarnation_is_refused_once_a_newer_was_seen) {
  FrameGuard older = Guard(1, 5);
  FrameGuard newer = Guard(1, 6);
  FrameGuard b = Guard(2, 5);
  Greet(b, older);
  Greet(b, newer);
  const std::string late = Message(older, 2);
  BOOST_TEST(!FaultOf(b, Message(newer, 2)).has_value());
  BOOST_TEST((FaultOf(b, late) == FrameFault::kOldIncarnation));
  BOOST_TEST((FaultOf(b, older.SealHello(NextNonce())) ==
              FrameFault::kOldIncarnation));
}

// Guards against a step of the key rotation that cuts VMs off from each other.
BOOST_AUTO_TEST_CASE(neighbouring_steps_of_a_rotation_understand_each_other) {
  const std::vector<std::vector<std::string>> steps{
      {kKeyA}, {kKeyA, kKeyB}, {kKeyB, kKeyA}, {kKeyB}};
  for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
    FrameGuard a = Guard(1, 5, steps[i]);
    FrameGuard b = Guard(2, 5, steps[i + 1]);
    Greet(a, b);
    Greet(b, a);
    BOOST_TEST(!FaultOf(b, Message(a, 2)).has_value());
    BOOST_TEST(!FaultOf(a, Message(b, 1)).has_value());
  }
  FrameGuard a = Guard(1, 5, {kKeyA});
  FrameGuard b = Guard(2, 5, {kKeyB});
  BOOST_TEST((FaultOf(b, a.SealHello(NextNonce())) == FrameFault::kUnknownKey));
}

// Guards against a table that grows without bound, and against a replay that
// becomes possible when a row is forgotten.
BOOST_AUTO_TEST_CASE(forgotten_sender_cannot_be_replayed) {
  FrameGuard b = Guard(100, 1, {kKeyA}, 4);
  std::vector<std::string> frames;
  for (std::uint32_t vm = 1; vm <= 20; ++vm) {
    FrameGuard a = Guard(vm, vm);
    Greet(b, a);
    frames.push_back(Message(a, 100));
    BOOST_TEST(!FaultOf(b, frames.back()).has_value());
    BOOST_TEST(b.SenderCount() <= 4);
  }
  for (const std::string& it : frames) {
    BOOST_TEST(FaultOf(b, it).has_value());
  }
}

// Guards against a frame that is accepted after any change on the way.
RC_BOOST_PROP(changed_or_random_bytes_are_refused,
              (std::string noise, std::uint16_t at, std::uint8_t bit)) {
  FrameGuard a = Guard(1, 5);
  FrameGuard b = Guard(2, 5);
  Greet(b, a);
  std::string frame = Message(a, 2);
  std::string changed = frame;
  changed[at % frame.size()] =
      static_cast<char>(changed[at % frame.size()] ^ (1 << (bit % 8)));
  RC_ASSERT(FaultOf(b, changed).has_value());
  RC_ASSERT(FaultOf(b, frame.substr(0, at % frame.size())).has_value());
  RC_ASSERT(FaultOf(b, frame + "x" + noise).has_value());
  RC_ASSERT(FaultOf(b, noise).has_value());
  RC_ASSERT(!FaultOf(b, frame).has_value());
}

// Guards against a sequence number that the window accepts twice, in any order.
RC_BOOST_PROP(window_accepts_each_number_at_most_once,
              (std::vector<std::uint16_t> numbers)) {
  wire::ReplayWindow window;
  std::set<std::uint64_t> accepted;
  std::uint64_t highest = 0;
  for (const std::uint64_t it : numbers) {
    const bool expected = it != 0 && !accepted.contains(it) &&
                          (it > highest || highest - it < wire::kReplayWindow);
    RC_ASSERT(window.Accept(it) == expected);
    if (expected) {
      accepted.insert(it);
      highest = std::max(highest, it);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

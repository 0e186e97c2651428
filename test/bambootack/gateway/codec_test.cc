#include "bambootack/gateway/codec.h"

#include <rapidcheck/boost_test.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bambootack/gateway/peer_directory.h"
#include "bambootack/gateway/refusal.h"

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
namespace leaf = boost::leaf;
using std::chrono::milliseconds;

namespace {

std::optional<gateway::PeerMessage> Decode(std::string_view bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<gateway::PeerMessage>> {
        BOOST_LEAF_AUTO(message, gateway::Decode(bytes));
        return std::optional(std::move(message));
      },
      [] { return std::optional<gateway::PeerMessage>(); });
}

std::vector<gateway::PeerMessage> Messages() {
  gateway::SlotRequirements requirements;
  requirements.service = "desk";
  requirements.group = 3;
  requirements.route = "visits";
  requirements.repeatable = true;
  requirements.max_queue_wait = milliseconds(300);
  requirements.time_left = milliseconds(900);
  requirements.excluded = {"a", "b"};
  requirements.fingerprint = 42;
  gateway::StateUpdate update;
  update.history_start = 3;
  update.available_for = std::chrono::milliseconds(4);
  update.from = 4;
  update.position = 9;
  update.age = milliseconds(20);
  update.servers = {{{"a", "desk", "10.0.0.1:80", "west", 3, true}, false, 8},
                    {{"b"}, true, 7}};
  update.config_version = 12;
  update.config =
      gateway::GatewayConfig{12, {{"r", "a.example", "/r/", true}}, {"desk"}};
  return {
      gateway::SlotRequest{{{1, 2}, 3}, true, requirements},
      gateway::SlotRequest{
          {{1, 2}, 3}, true, requirements, true, {{"a", 2.5, milliseconds(3)}}},
      gateway::SlotReply{{{1, 2}, 3}, gateway::Slot{7, "a", "10.0.0.1:80"}},
      gateway::SlotReply{{{1, 2}, 3}, std::nullopt, false},
      gateway::SlotRelease{7, gateway::AttemptOutcome::kLost,
                           gateway::ServerLoad{2, 1}},
      gateway::SlotRelease{7, gateway::AttemptOutcome::kServed, std::nullopt,
                           gateway::LimitReport{2.5}},
      gateway::SlotReply{
          {{1, 2}, 3}, std::nullopt, true, false, milliseconds(40)},
      gateway::MemberNotice{"10.0.0.1:7000", "west", true},
      update,
      gateway::StateQuery{4, 12},
      gateway::SlotReply{{{1, 2}, 3}, std::nullopt, true, true},
      gateway::CrashNotice{42, "a", 7},
      gateway::LeavingNotice{"a", 1700}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway_codec)

BOOST_AUTO_TEST_CASE(messages_round_trip) {
  for (const gateway::PeerMessage& it : Messages()) {
    const std::string bytes = gateway::Encode(it);
    const auto decoded = Decode(bytes);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->index() == it.index());
    BOOST_TEST((gateway::Encode(*decoded) == bytes));
  }
}

// Guards against truncated messages and against messages with trailing bytes.
BOOST_AUTO_TEST_CASE(truncated_messages_and_trailing_bytes_are_rejected) {
  for (const gateway::PeerMessage& it : Messages()) {
    const std::string bytes = gateway::Encode(it);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      BOOST_TEST(!Decode(bytes.substr(0, n)).has_value());
    }
    BOOST_TEST(!Decode(bytes + '\0').has_value());
  }
}

RC_BOOST_PROP(any_bytes_are_decoded_or_rejected, (const std::string& bytes)) {
  static_cast<void>(Decode(bytes));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(peer_directory)

// Guards against slot requests to a VM that does not answer, and against a VM
// that is excluded permanently.
BOOST_AUTO_TEST_CASE(unresponsive_vms_are_excluded_for_a_growing_time) {
  core::Time now{core::Duration(1'000'000)};
  gateway::PeerDirectory directory(core::VmId{1});
  BOOST_TEST((directory.ChooseDispatcher("desk/0", now) == core::VmId{1}));
  for (std::uint32_t vm = 2; vm <= 20; ++vm) {
    directory.Add({core::VmId{vm}, {}, "10.0.0.2:1", "west"});
  }
  const core::VmId first = directory.ChooseDispatcher("desk/0", now);
  BOOST_TEST_REQUIRE((first != core::VmId{1}));
  directory.MarkUnresponsive(first, now);
  BOOST_TEST((directory.ChooseDispatcher("desk/0", now) != first));
  now += milliseconds(500);
  BOOST_TEST((directory.ChooseDispatcher("desk/0", now) == first));
  directory.MarkUnresponsive(first, now);
  now += milliseconds(500);
  BOOST_TEST((directory.ChooseDispatcher("desk/0", now) != first));
  directory.MarkResponsive(first);
  BOOST_TEST((directory.ChooseDispatcher("desk/0", now) == first));
}

// Guards against choosing a VM that is about to stop and still answers.
BOOST_AUTO_TEST_CASE(leaving_vms_are_not_chosen_until_they_start_again) {
  core::Time now{core::Duration(1'000'000)};
  gateway::PeerDirectory directory(core::VmId{1});
  for (std::uint32_t vm = 2; vm <= 20; ++vm) {
    directory.Add({core::VmId{vm}, {}, "10.0.0.2:1", "west"});
  }
  const core::VmId first = directory.ChooseDispatcher("desk/0", now);
  directory.MarkLeaving(first, now);
  directory.MarkResponsive(first);
  BOOST_TEST((directory.ChooseDispatcher("desk/0", now) != first));
  BOOST_TEST(directory.IsLeaving(first, now));
  directory.RecordStart(first);
  BOOST_TEST((directory.ChooseDispatcher("desk/0", now) == first));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(refusal)

// Guards against callers that are told to wait past their deadline.
BOOST_AUTO_TEST_CASE(the_wait_is_at_most_a_third_of_the_remaining_time) {
  const auto wait = [](core::Duration left) {
    const core::HttpAnswer answer =
        gateway::RefusalAnswer(core::ErrorKind::kOverloaded, left, true);
    return std::string(*core::FindHeader(answer.headers, "Retry-After"));
  };
  BOOST_TEST(wait(milliseconds(3000)) == "0.200");
  BOOST_TEST(wait(milliseconds(300)) == "0.100");
}

BOOST_AUTO_TEST_SUITE_END()

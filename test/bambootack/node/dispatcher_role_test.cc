#include "bambootack/node/dispatcher_role.h"

#include <boost/test/unit_test.hpp>

#include "bambootack/node/node_fixture.h"

namespace config = bambootack::config;
namespace core = bambootack::core;
namespace node = bambootack::node;
namespace wire = bambootack::wire;
using core::ErrorKind;
using node::AttemptEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::RunState;

namespace {

struct Fixture : node::NodeFixture {
  void Request(std::uint32_t requester,
               core::OperationKind kind = core::OperationKind::kAtMostOnce) {
    wire::DispatchRequest message;
    message.requester = {requester, 1};
    message.group = {"s", "a", 0};
    message.request.service = "s";
    message.request.route = "r";
    message.request.kind = kind;
    message.request.remaining = seconds(2);
    role.Receive(node::kPeer, message, context);
  }

  void Cancel(core::VmId from, std::uint32_t requester) {
    role.Receive(from,
                 wire::Cancel{wire::RequesterRole::kEntry, {requester, 1}, {}},
                 context);
  }

  void End(core::Handle attempt, AttemptEnd end, core::Headers headers = {},
           int status = 200) {
    role.Receive(node::AttemptResult{attempt, end, {status, headers, ""}},
                 context);
  }

  [[nodiscard]] wire::DispatchReply OnlyReply() const {
    const auto replies = Sent<wire::DispatchReply>();
    BOOST_REQUIRE(replies.size() == 1u);
    return replies.front();
  }

  node::DispatcherRole role;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(dispatcher_role, Fixture)

// Guards against a second run of an at-most-once operation, and against a
// refusal although another server could run it.
BOOST_AUTO_TEST_CASE(only_work_proven_not_started_is_sent_again) {
  struct Case {
    AttemptEnd end;
    core::Headers headers;
    int status;
    bool again;
    RunState state;
  };
  const Case cases[] = {
      {AttemptEnd::kNotConnected, {}, 0, true, {}},
      {AttemptEnd::kAnswered,
       {{"Bambootack-Not-Started", "shed"}},
       503,
       true,
       {}},
      {AttemptEnd::kAnswered,
       {{"Bambootack-Not-Started", "draining"}},
       503,
       true,
       {}},
      {AttemptEnd::kAnswered, {}, 503, false, RunState::kCompleted},
      {AttemptEnd::kAnswered, {}, 0, false, RunState::kUncertain},
      {AttemptEnd::kAnswered, {}, 600, false, RunState::kUncertain},
      {AttemptEnd::kLost, {}, 0, false, RunState::kUncertain},
      {AttemptEnd::kTimedOut, {}, 0, false, RunState::kUncertain},
      {AttemptEnd::kInvalid, {}, 0, false, RunState::kUncertain},
  };
  for (const Case& it : cases) {
    Fixture f;
    f.Request(1);
    const auto first = f.Taken<node::StartAttempt>();
    BOOST_REQUIRE(first.size() == 1u);
    f.Clear();
    f.End(first[0].attempt, it.end, it.headers, it.status);
    const auto second = f.Taken<node::StartAttempt>();
    BOOST_TEST(second.size() == (it.again ? 1u : 0u));
    if (it.again) {
      BOOST_TEST(second[0].address != first[0].address);
    } else {
      BOOST_TEST((f.OnlyReply().state == it.state));
    }
  }
}

// Guards against a request that circles among servers that all refuse it.
BOOST_AUTO_TEST_CASE(refused_work_is_given_back_after_some_sends) {
  Request(1);
  std::size_t sends = 0;
  while (Sent<wire::DispatchReply>().empty()) {
    for (const auto& it : Taken<node::StartAttempt>()) {
      Clear();
      ++sends;
      End(it.attempt, AttemptEnd::kNotConnected);
    }
    context.now += milliseconds(50);
    role.Tick(context);
    BOOST_REQUIRE(sends <= 3u);
  }
  BOOST_TEST((OnlyReply().state == RunState::kNotStarted));
  BOOST_TEST(role.InFlight() == 0u);
}

// Guards against a cancellation that ends the work of another requester, or
// that claims "not run" for work that a server has begun.
BOOST_AUTO_TEST_CASE(a_cancellation_finds_its_own_job) {
  for (std::uint32_t i = 1; i <= 3; ++i) {
    Request(i);
  }
  BOOST_TEST(Taken<node::StartAttempt>().size() == 2u);
  Clear();
  Cancel(core::VmId{3}, 1);
  Cancel(node::kPeer, 4);
  BOOST_TEST(actions.empty());
  Cancel(node::kPeer, 3);
  BOOST_TEST((OnlyReply().state == RunState::kNotStarted));
  BOOST_TEST(Taken<node::CancelAttempt>().empty());
  Clear();
  Cancel(node::kPeer, 1);
  BOOST_TEST((OnlyReply().state == RunState::kUncertain));
  BOOST_TEST(Taken<node::CancelAttempt>().size() == 1u);
  Clear();
  Cancel(node::kPeer, 1);
  BOOST_TEST(actions.empty());
}

// Guards against a VM that opens a queue for a group which others serve.
BOOST_AUTO_TEST_CASE(only_the_first_three_of_the_hash_order_accept_work) {
  int accepting = 0;
  for (std::uint32_t vm = 1; vm <= 9; ++vm) {
    Fixture f;
    f.shared.view.members.clear();
    for (std::uint32_t i = 1; i <= 9; ++i) {
      f.shared.view.members.push_back({core::VmId{i}, {}, "", "a"});
    }
    f.shared.settings.vm = core::VmId{vm};
    f.Request(1);
    const bool accepts = !f.Taken<node::StartAttempt>().empty();
    accepting += accepts ? 1 : 0;
    if (!accepts && vm != 2) {
      BOOST_TEST((f.OnlyReply().state == RunState::kNotStarted));
      BOOST_TEST((f.OnlyReply().answer.error == ErrorKind::kNoServer));
    }
  }
  BOOST_TEST(accepting == 3);
}

// Guards against limits that are not applied, and against callers that all come
// back at the same time.
BOOST_AUTO_TEST_CASE(limited_work_is_refused_with_jitter) {
  config::Ticket ticket;
  ticket.number = 2;
  ticket.limits.push_back({"l", "s", "", "", {}, 0.01, 1.0});
  Apply(ticket);
  Request(1);
  BOOST_TEST(Sent<wire::DispatchReply>().empty());
  Request(2);
  Request(3);
  const auto replies = Sent<wire::DispatchReply>();
  BOOST_REQUIRE(replies.size() == 2u);
  for (const auto& it : replies) {
    BOOST_TEST((it.state == RunState::kNotStarted));
    BOOST_TEST((it.answer.error == ErrorKind::kRateLimited));
    BOOST_TEST(it.answer.retry_after >= seconds(50));
    BOOST_TEST(it.answer.retry_after <= seconds(150));
  }
  BOOST_TEST((replies[0].answer.retry_after != replies[1].answer.retry_after));
}

// Guards against a takeover that overloads servers whose load is unknown, and
// against one that ignores their reports.
BOOST_AUTO_TEST_CASE(load_reports_open_the_slots_after_a_takeover) {
  config::Ticket ticket;
  ticket.number = 2;
  config::Service service = shared.store.Config().services.at("s");
  service.servers.resize(1);
  service.servers[0].slots = 3;
  ticket.services.push_back(service);
  Apply(ticket);
  for (std::uint32_t i = 1; i <= 4; ++i) {
    Request(i);
  }
  const auto first = Taken<node::StartAttempt>();
  BOOST_REQUIRE(first.size() == 1u);
  Clear();
  End(first[0].attempt, AttemptEnd::kAnswered, {{"X-Load", "0.333"}});
  BOOST_TEST(Taken<node::StartAttempt>().size() == 2u);
}

// Guards against work that is dropped without an answer.
BOOST_AUTO_TEST_CASE(expired_work_is_answered_as_not_started) {
  for (std::uint32_t i = 1; i <= 3; ++i) {
    Request(i);
  }
  Clear();
  context.now += seconds(3);
  role.Tick(context);
  BOOST_TEST((OnlyReply().state == RunState::kNotStarted));
  BOOST_TEST((OnlyReply().answer.error == ErrorKind::kDeadlineExceeded));
}

// Guards against the baseline that sends work to a dispatcher's queue.
BOOST_AUTO_TEST_CASE(a_local_group_uses_all_servers) {
  shared.settings.dispatch = bambootack::settings::DispatchMode::kLocal;
  wire::DispatchRequest message;
  message.group = {"s", "", 0};
  message.request.service = "s";
  message.request.remaining = seconds(2);
  for (std::uint32_t i = 1; i <= 3; ++i) {
    message.requester = {i, 1};
    role.Receive(node::kPeer, message, context);
  }
  BOOST_TEST(Taken<node::StartAttempt>().size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

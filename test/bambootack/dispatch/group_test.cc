#include "bambootack/dispatch/group.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>

namespace config = bambootack::config;
namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
using core::Rank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::Duration kService = milliseconds(50);

std::vector<config::Server> Servers(int n, int slots) {
  std::vector<config::Server> servers;
  for (int i = 0; i < n; ++i) {
    config::Server it;
    it.id = std::to_string(i);
    it.slots = slots;
    servers.push_back(it);
  }
  return servers;
}

struct Fixture {
  Fixture() {
    group.Configure(Servers(2, 3));
    for (int i = 0; i < 100; ++i) {
      group.RecordServiceTime(Rank::kUrgent, kService);
      group.RecordServiceTime(Rank::kNormal, kService);
      group.RecordServiceTime(Rank::kBackground, kService);
    }
  }

  std::optional<core::Duration> Offer(Rank rank, core::Duration left,
                                      const std::string& customer = "c",
                                      bool repeatable = true) {
    return group.Offer(
        {{++last_job, 1}, rank, now + left, customer, repeatable}, now);
  }

  /// Assigns requests until no slot is free or no request is queued.
  int AssignAll() {
    int n = 0;
    while (group.AssignNext(now)) {
      ++n;
    }
    return n;
  }

  dispatch::Group group{{"s", "d", 0}};
  core::Time now = core::Time{} + seconds(1);
  std::uint32_t last_job = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(group, Fixture)

// Guards against requests that are queued although they cannot meet their
// deadline, and against refusals while slots are idle.
BOOST_AUTO_TEST_CASE(requests_that_cannot_meet_their_deadline_are_refused) {
  BOOST_TEST(!Offer(Rank::kUrgent, milliseconds(10)).has_value());
  BOOST_TEST(Offer(Rank::kUrgent, milliseconds(0)).has_value());
  BOOST_TEST(AssignAll() == 1);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!Offer(Rank::kNormal, seconds(2)).has_value());
  }
  BOOST_TEST(AssignAll() == 5);
  BOOST_TEST(Offer(Rank::kUrgent, milliseconds(10)).has_value());
  BOOST_TEST(!Offer(Rank::kUrgent, seconds(2)).has_value());
}

// Guards against queues that are limited by length instead of expected wait:
// with slower servers the same wait allows fewer requests.
BOOST_AUTO_TEST_CASE(queues_are_limited_by_expected_wait) {
  const auto admitted = [](core::Duration service) {
    Fixture it;
    for (int i = 0; i < 500; ++i) {
      it.group.RecordServiceTime(Rank::kBackground, service);
    }
    int n = 0;
    for (int i = 0; i < 5000; ++i) {
      const std::string customer = std::to_string(i);
      n += it.Offer(Rank::kBackground, seconds(60), customer) ? 0 : 1;
      it.AssignAll();
    }
    return n - 6;
  };
  // Half of the target of 5 s on 6 slots.
  BOOST_TEST(admitted(milliseconds(50)) >= 290);
  BOOST_TEST(admitted(milliseconds(50)) <= 310);
  BOOST_TEST(admitted(milliseconds(500)) <= 35);
}

// Guards against requests that are sent although their deadline has passed or
// can no longer be met, and against expired requests without an answer.
BOOST_AUTO_TEST_CASE(late_requests_are_never_sent) {
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(!Offer(Rank::kNormal, seconds(2)).has_value());
  }
  BOOST_TEST(AssignAll() == 6);
  BOOST_TEST(!Offer(Rank::kNormal, milliseconds(100), "a").has_value());
  BOOST_TEST(!Offer(Rank::kNormal, milliseconds(120), "b").has_value());
  now += milliseconds(200);
  group.Release("0", Rank::kNormal, now);
  BOOST_TEST(AssignAll() == 0);
  BOOST_TEST(group.RemoveExpired(now).size() == 2u);
  BOOST_TEST(group.RemoveExpired(now).empty());
  BOOST_TEST(group.QueueSize() == 0u);
}

// Guards against a request that is dropped and then removed before
// `RemoveExpired` returns it: it would be taken for executing, and its end
// would be reported twice.
BOOST_AUTO_TEST_CASE(dropped_requests_can_be_removed) {
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(!Offer(Rank::kNormal, seconds(2)).has_value());
  }
  BOOST_TEST(AssignAll() == 6);
  BOOST_TEST(!Offer(Rank::kNormal, milliseconds(100)).has_value());
  const core::Handle job{last_job, 1};
  now += milliseconds(200);
  group.Release("0", Rank::kNormal, now);
  BOOST_TEST(AssignAll() == 0);
  BOOST_TEST(group.Remove(job));
  BOOST_TEST(group.RemoveExpired(now).empty());
}

// Guards against urgent requests that wait behind requests of other ranks.
BOOST_AUTO_TEST_CASE(the_most_urgent_rank_is_first) {
  for (const Rank it : {Rank::kBackground, Rank::kNormal, Rank::kUrgent}) {
    BOOST_TEST(!Offer(it, seconds(2)).has_value());
  }
  for (const Rank it : {Rank::kUrgent, Rank::kNormal, Rank::kBackground}) {
    const auto next = group.AssignNext(now);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(static_cast<int>(next->rank) == static_cast<int>(it));
  }
}

// Guards against a flood of one customer that causes refusals of other
// customers, and against one that fills the queue although the customer is
// known to be heavy.
BOOST_AUTO_TEST_CASE(a_flood_is_refused_without_harm_to_other_customers) {
  int admitted = 0;
  for (int i = 0; i < 2000; ++i) {
    admitted += Offer(Rank::kNormal, seconds(2), "flood") ? 0 : 1;
  }
  BOOST_TEST(admitted <= 40);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(!Offer(Rank::kNormal, seconds(2), std::to_string(i)));
  }
}

// Guards against a refusal that tells callers to retry immediately.
BOOST_AUTO_TEST_CASE(a_refusal_returns_the_expected_wait) {
  std::optional<core::Duration> delay;
  for (int i = 0; i < 5000 && !delay; ++i) {
    delay = Offer(Rank::kBackground, seconds(60), std::to_string(i));
    AssignAll();
  }
  BOOST_REQUIRE(delay.has_value());
  BOOST_TEST(*delay >= seconds(2));
  BOOST_TEST(group.Load(now).wait[2] >= seconds(2));
  BOOST_TEST(group.Load(now).free_slots == 0u);
}

// Guards against a queue that ignores the admission limits of server health.
BOOST_AUTO_TEST_CASE(admission_limits_apply) {
  group.SetAdmission("0", {0, false});
  group.SetAdmission("1", {1, true});
  BOOST_TEST(!Offer(Rank::kUrgent, seconds(2), "a", false).has_value());
  BOOST_TEST(!Offer(Rank::kUrgent, seconds(2), "b", true).has_value());
  const auto next = group.AssignNext(now);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->server_id == "1");
  BOOST_TEST(next->job.index == 2u);
  BOOST_TEST(!group.AssignNext(now).has_value());
}

// Guards against lost or duplicated requests: each admitted request is
// assigned, removed or expired exactly once, and no server gets more requests
// than it has slots.
RC_BOOST_PROP(each_admitted_request_ends_once,
              (const std::vector<std::uint8_t>& steps)) {
  Fixture it;
  std::map<std::uint32_t, int> ends;
  std::vector<dispatch::Assignment> executing;
  const auto end = [&](core::Handle job) { ++ends[job.index]; };
  for (const std::uint8_t step : steps) {
    it.now += milliseconds(step);
    const auto rank = static_cast<Rank>(step % core::kRankCount);
    if (!it.Offer(rank, milliseconds(40 * (step % 7)),
                  std::to_string(step % 5))) {
      ends[it.last_job] = 0;
    }
    if (step % 11 == 0 && it.group.Remove({it.last_job, 1})) {
      end({it.last_job, 1});
    }
    for (const core::Handle job : it.group.RemoveExpired(it.now)) {
      end(job);
    }
    while (const auto next = it.group.AssignNext(it.now)) {
      end(next->job);
      executing.push_back(*next);
    }
    for (const auto& server : it.group.Servers()) {
      RC_ASSERT(server.busy <= server.server.slots);
    }
    if (step % 3 == 0 && !executing.empty()) {
      it.group.Release(executing.back().server_id, executing.back().rank,
                       it.now);
      executing.pop_back();
    }
  }
  for (const core::Handle job : it.group.RemoveExpired(it.now + seconds(60))) {
    end(job);
  }
  for (const auto& [job, count] : ends) {
    RC_ASSERT(count == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

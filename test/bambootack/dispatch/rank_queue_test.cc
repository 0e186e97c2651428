#include "bambootack/dispatch/rank_queue.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>

namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
using std::chrono::milliseconds;

namespace {

dispatch::QueuedRequest Request(std::uint32_t job, int deadline_ms,
                                const std::string& customer,
                                bool repeatable = true) {
  return {{job, 1},
          core::Rank::kNormal,
          core::Time{} + milliseconds(deadline_ms),
          customer,
          repeatable};
}

void Push(dispatch::RankQueue& queue, const dispatch::QueuedRequest& request) {
  queue.Push(request, dispatch::CellsOf(request.customer));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rank_queue)

// Guards against a request that misses its deadline behind requests with later
// deadlines.
RC_BOOST_PROP(light_customers_are_served_earliest_deadline_first,
              (const std::vector<std::uint16_t>& deadlines)) {
  dispatch::RankQueue queue;
  for (std::uint32_t i = 0; i < deadlines.size(); ++i) {
    const auto request = Request(i, deadlines[i], "c" + std::to_string(i));
    const std::size_t expected = static_cast<std::size_t>(
        std::count_if(deadlines.begin(), deadlines.begin() + i,
                      [&](std::uint16_t it) { return it <= deadlines[i]; }));
    RC_ASSERT(queue.CountBefore(request.deadline,
                                dispatch::CellsOf(request.customer)) ==
              expected);
    Push(queue, request);
  }
  core::Time last{};
  while (const auto first = queue.First(false)) {
    RC_ASSERT(first->deadline >= last);
    last = first->deadline;
    queue.Dequeue(first->job);
  }
  RC_ASSERT(queue.empty());
}

// Guards against a customer whose flood with early deadlines delays another
// customer.
BOOST_AUTO_TEST_CASE(a_flood_waits_behind_the_requests_of_others) {
  dispatch::RankQueue queue;
  constexpr std::uint32_t kFlood = 100;
  for (std::uint32_t i = 0; i < kFlood; ++i) {
    Push(queue, Request(i, 10, "flood"));
  }
  const auto light = dispatch::CellsOf("light");
  BOOST_TEST(queue.CountBefore(core::Time{} + milliseconds(1000), light) ==
             dispatch::kFairQuantum);
}

// Guards against a removed or expired request that is served.
BOOST_AUTO_TEST_CASE(removed_requests_are_not_served) {
  dispatch::RankQueue queue;
  Push(queue, Request(1, 10, "a"));
  Push(queue, Request(2, 20, "b"));
  Push(queue, Request(3, 30, "c"));
  BOOST_TEST(queue.Remove({2, 1}));
  BOOST_TEST(!queue.Remove({2, 1}));
  const auto expired = queue.RemoveExpired(core::Time{} + milliseconds(10));
  BOOST_TEST(expired.size() == 1u);
  BOOST_TEST(queue.size() == 1u);
  BOOST_TEST(queue.First(false)->job.index == 3u);
}

// Guards against a probed server that stays idle because the first request is
// not repeatable.
BOOST_AUTO_TEST_CASE(repeatable_requests_are_found_behind_others) {
  dispatch::RankQueue queue;
  Push(queue, Request(1, 10, "a", false));
  Push(queue, Request(2, 20, "b", true));
  BOOST_TEST(queue.First(false)->job.index == 1u);
  BOOST_TEST(queue.First(true)->job.index == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

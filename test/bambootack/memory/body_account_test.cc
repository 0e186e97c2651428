#include "bambootack/memory/body_account.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

namespace core = bambootack::core;
using bambootack::memory::BodyAccount;
using bambootack::memory::BodyLimits;
using bambootack::memory::MakeBodyLimits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMegabyte = 1UL << 20;
constexpr BodyLimits kLimits{10 * kMegabyte, kMegabyte};

struct Fixture {
  core::Time now{core::Duration(1'000'000)};
  BodyAccount account{kLimits};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(body_account)

// Guards against bodies of legal size that together exceed the memory.
BOOST_FIXTURE_TEST_CASE(bodies_that_progress_keep_their_memory, Fixture) {
  BOOST_TEST(account.Reserve(1, 6 * kMegabyte, now).admitted);
  BOOST_TEST(!account.Reserve(2, 6 * kMegabyte, now).admitted);
  BOOST_TEST(account.Reserve(3, 4 * kMegabyte, now).admitted);
  for (std::size_t received = 65536; received < 6 * kMegabyte;
       received += 65536) {
    now += milliseconds(900);
    account.RecordReceived(1, received, now);
    account.RecordReceived(3, received, now);
    const auto decision = account.Reserve(4, kMegabyte, now);
    BOOST_TEST(!decision.admitted);
    BOOST_TEST(decision.evicted.empty());
  }
  account.Release(1);
  BOOST_TEST(account.Reserve(4, 6 * kMegabyte, now).admitted);
  BOOST_TEST(account.LargeBytes() == 10 * kMegabyte);
}

// Guards against clients that stop just short of the end and hold the memory,
// also if they send a byte now and then.
BOOST_FIXTURE_TEST_CASE(stalled_bodies_lose_their_memory, Fixture) {
  static_cast<void>(account.Reserve(1, 5 * kMegabyte, now));
  static_cast<void>(account.Reserve(2, 5 * kMegabyte, now + milliseconds(10)));
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(100);
    account.RecordReceived(1, static_cast<std::size_t>(i), now);
  }
  now += milliseconds(100);
  const auto decision = account.Reserve(3, 5 * kMegabyte, now);
  BOOST_TEST(decision.admitted);
  BOOST_TEST(decision.evicted == std::vector<BodyAccount::BodyId>{1},
             boost::test_tools::per_element());
}

// Guards against accepted requests that are cut off, since their bodies are
// complete and wait for a server.
BOOST_FIXTURE_TEST_CASE(complete_bodies_are_not_evicted, Fixture) {
  static_cast<void>(account.Reserve(1, 10 * kMegabyte, now));
  account.RecordComplete(1);
  now += seconds(60);
  BOOST_TEST(!account.Reserve(2, kMegabyte, now).admitted);
}

// Guards against ordinary requests that are refused because of large bodies.
BOOST_FIXTURE_TEST_CASE(small_bodies_have_their_own_part, Fixture) {
  static_cast<void>(account.Reserve(1, 10 * kMegabyte, now));
  BOOST_TEST(account.Reserve(2, 65536, now).admitted);
  BOOST_TEST(account.SmallBytes() == 65536U);
  // A body without a length grows out of it.
  BOOST_TEST(!account.Reserve(2, 131072, now).admitted);
  account.Release(1);
  BOOST_TEST(account.Reserve(2, 131072, now).admitted);
  BOOST_TEST(account.SmallBytes() == 0U);
  BOOST_TEST(account.LargeBytes() == 131072U);
}

// Guards against VMs that refuse a body of the largest legal size for good.
BOOST_AUTO_TEST_CASE(the_largest_body_fits_into_the_smallest_vm) {
  constexpr std::size_t kLargestBody = 64 * kMegabyte;
  for (const std::size_t memory : {112, 160, 198, 512}) {
    const BodyLimits limits = MakeBodyLimits(memory * kMegabyte);
    BOOST_TEST(limits.large_bytes >= kLargestBody);
    BOOST_TEST(limits.large_bytes + limits.small_bytes < memory * kMegabyte);
  }
  BOOST_TEST(MakeBodyLimits(0).large_bytes >= kLargestBody);
  BOOST_TEST(MakeBodyLimits(16 * kMegabyte).large_bytes == 4 * kMegabyte);
}

// Guards against memory that is lost or counted twice in some order of events.
RC_BOOST_PROP(reservations_stay_within_the_limits, ()) {
  BodyAccount account(kLimits);
  core::Time now{core::Duration(1'000'000)};
  const auto steps =
      *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
          rc::gen::pair(rc::gen::inRange(0, 20),
                        rc::gen::inRange<std::size_t>(0, 12 * kMegabyte)));
  for (const auto& [kind, value] : steps) {
    const auto body = static_cast<BodyAccount::BodyId>(kind % 5);
    switch (kind / 5) {
      case 0:
        static_cast<void>(account.Reserve(body, value, now));
        break;
      case 1:
        account.RecordReceived(body, value, now);
        break;
      case 2:
        account.RecordComplete(body);
        break;
      default:
        account.Release(body);
        break;
    }
    now += core::Duration(value);
    RC_ASSERT(account.LargeBytes() <= kLimits.large_bytes);
    RC_ASSERT(account.SmallBytes() <= kLimits.small_bytes);
  }
  for (BodyAccount::BodyId body = 0; body < 5; ++body) {
    account.Release(body);
  }
  RC_ASSERT(account.LargeBytes() + account.SmallBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

#include "bambootack/customers/key_confirmation.h"

#include <boost/test/unit_test.hpp>

namespace core = bambootack::core;
using bambootack::customers::KeyConfirmation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::Duration kMaxAge = seconds(5);

struct Fixture {
  core::Random random{7};
  core::Time now{core::Duration(1'000'000'000)};
  KeyConfirmation keys{kMaxAge};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(key_confirmation)

// Guards against a withdrawn key that runs on a VM that learns of no changes.
BOOST_FIXTURE_TEST_CASE(a_confirmation_expires, Fixture) {
  BOOST_TEST(!keys.IsValid(now));
  keys.RecordStoreRead(now - seconds(1));
  BOOST_TEST(keys.IsValid(now));
  BOOST_TEST(keys.IsValid(now + seconds(4)));
  BOOST_TEST(!keys.IsValid(now + seconds(4) + milliseconds(1)));
}

// Guards against a confirmation that looks young because its message waited
// while a link or a process stood still.
BOOST_FIXTURE_TEST_CASE(a_reply_counts_from_the_time_of_its_query, Fixture) {
  const auto query = keys.StartQuery(now, random);
  now += seconds(4);
  keys.Receive({query.number, 3, milliseconds(500)}, 3, now, random);
  BOOST_TEST(keys.Age(now).value().count() == 4'500'000);
  now += milliseconds(600);
  BOOST_TEST(!keys.IsValid(now));
}

// Guards against a VM that trusts its keys although it lacks the version that
// withdrew one, and against replies that nobody asked for.
BOOST_FIXTURE_TEST_CASE(replies_that_prove_nothing_are_ignored, Fixture) {
  const auto query = keys.StartQuery(now, random);
  keys.Receive({query.number + 1, 3, milliseconds(1)}, 3, now, random);
  BOOST_TEST(!keys.IsValid(now));
  keys.Receive({query.number, 4, milliseconds(1)}, 3, now, random);
  BOOST_TEST(!keys.IsValid(now));
  // A copy of the reply arrives after the newer version.
  keys.Receive({query.number, 4, milliseconds(1)}, 4, now, random);
  BOOST_TEST(!keys.IsValid(now));
}

// Guards against ages that are lost on the way from VM to VM.
BOOST_FIXTURE_TEST_CASE(ages_add_up_from_vm_to_vm, Fixture) {
  KeyConfirmation reader(kMaxAge);
  reader.RecordStoreRead(now);
  KeyConfirmation middle(kMaxAge);
  const auto first = middle.StartQuery(now + seconds(1), random);
  middle.Receive(*reader.Reply(first, 1, now + seconds(2)), 1, now + seconds(2),
                 random);
  const auto second = keys.StartQuery(now + seconds(3), random);
  keys.Receive(*middle.Reply(second, 1, now + seconds(3)), 1, now + seconds(3),
               random);
  BOOST_TEST(keys.IsValid(now + seconds(4)));
  BOOST_TEST(!keys.IsValid(now + seconds(5) + milliseconds(1)));
}

// Guards against VMs that ask one silent peer for good, and against a fleet
// that asks without pause while the store is away.
BOOST_FIXTURE_TEST_CASE(queries_repeat_until_a_useful_reply, Fixture) {
  int queries = 0;
  const core::Time end = now + seconds(10);
  for (; now < end; now += milliseconds(10)) {
    if (keys.IsQueryDue(now)) {
      static_cast<void>(keys.StartQuery(now, random));
      ++queries;
    }
  }
  BOOST_TEST(queries >= 10);
  BOOST_TEST(queries <= 20);
  BOOST_TEST(keys.UnansweredQueries() == static_cast<unsigned>(queries));
  const auto query = keys.StartQuery(now, random);
  keys.Receive({query.number, 1, milliseconds(800)}, 1, now, random);
  BOOST_TEST(keys.UnansweredQueries() == 0U);
  BOOST_TEST(!keys.IsQueryDue(now + milliseconds(900)));
  BOOST_TEST(keys.IsQueryDue(now + milliseconds(1300)));
}

// Guards against queries of a VM that reads the store itself.
BOOST_FIXTURE_TEST_CASE(a_vm_with_recent_reads_asks_nobody, Fixture) {
  for (int i = 0; i < 20; ++i) {
    keys.RecordStoreRead(now - milliseconds(100));
    BOOST_TEST(!keys.IsQueryDue(now));
    now += seconds(1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

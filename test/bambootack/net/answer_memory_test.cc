#include "bambootack/net/answer_memory.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace net = bambootack::net;

namespace {

using Account = net::AnswerMemory::Account;

constexpr std::size_t kSmall = net::kLargeBodyBytes;
constexpr std::size_t kTotal = 8 * kSmall;

struct MemoryFixture {
  net::AnswerMemory memory{net::AnswerLimits{kTotal, kTotal}};
  int evicted = 0;

  std::function<void()> Count() {
    return [this] { ++evicted; };
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(answer_memory, MemoryFixture)

// Guards against large answers that leave nothing to ordinary ones.
BOOST_AUTO_TEST_CASE(large_answers_leave_a_quarter_to_others) {
  Account first(memory, Count());
  Account second(memory, Count());
  BOOST_TEST(first.Resize(5 * kSmall));
  BOOST_TEST(!second.Resize(2 * kSmall));
  BOOST_TEST(second.Resize(kSmall));
  BOOST_TEST(!first.Resize(6 * kSmall));
  BOOST_TEST(evicted == 0);
}

// Guards against ordinary answers that are refused because faulty servers hold
// all memory.
BOOST_AUTO_TEST_CASE(the_largest_answer_gives_way_to_smaller_ones) {
  Account large(memory, Count());
  Account other(memory, Count());
  BOOST_TEST(large.Resize(4 * kSmall));
  BOOST_TEST(other.Resize(2 * kSmall));
  Account small(memory, Count());
  BOOST_TEST(small.Resize(kSmall));
  Account next(memory, Count());
  BOOST_TEST(next.Resize(kSmall));
  BOOST_TEST(evicted == 0);
  Account last(memory, Count());
  BOOST_TEST(last.Resize(1));
  BOOST_TEST(evicted == 1);
  BOOST_TEST(large.IsEvicted());
  BOOST_TEST(!large.Resize(1));
  BOOST_TEST(other.Resize(3 * kSmall));
}

// Guards against answers of one size that displace each other for ever.
BOOST_AUTO_TEST_CASE(answers_of_one_size_do_not_give_way) {
  std::vector<std::unique_ptr<Account>> accounts;
  for (std::size_t i = 0; i < kTotal / kSmall; ++i) {
    accounts.push_back(std::make_unique<Account>(memory, Count()));
    BOOST_TEST(accounts.back()->Resize(kSmall));
  }
  Account last(memory, Count());
  BOOST_TEST(!last.Resize(kSmall));
  BOOST_TEST(last.Resize(1));
  BOOST_TEST(evicted == 1);
}

BOOST_AUTO_TEST_CASE(ended_answers_release_their_memory) {
  for (int i = 0; i < 3; ++i) {
    Account it(memory, Count());
    BOOST_TEST(it.Resize(6 * kSmall));
  }
  BOOST_TEST(evicted == 0);
}

BOOST_AUTO_TEST_SUITE_END()

#include "bambootack/quota/token_bucket.h"

#include <boost/test/unit_test.hpp>

namespace core = bambootack::core;
using bambootack::quota::TokenBucket;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

int TakeAll(TokenBucket& bucket) {
  int taken = 0;
  while (bucket.TryTake()) {
    ++taken;
  }
  return taken;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(token_bucket)

// Guards against a second burst after each change of owner or of limits.
BOOST_AUTO_TEST_CASE(a_bucket_starts_empty_and_keeps_its_tokens_on_a_change) {
  core::Time now{core::Duration(1'000'000)};
  TokenBucket bucket(now);
  bucket.Update(10.0, 5.0, now);
  BOOST_TEST(TakeAll(bucket) == 0);
  now += milliseconds(300);
  bucket.Update(10.0, 5.0, now);
  BOOST_TEST(TakeAll(bucket) == 3);
  now += seconds(60);
  bucket.Update(10.0, 2.0, now);
  BOOST_TEST(TakeAll(bucket) == 2);
  bucket.Update(100.0, 50.0, now);
  BOOST_TEST(TakeAll(bucket) == 0);
}

// Guards against callers that are all told to return at the same moment.
BOOST_AUTO_TEST_CASE(refused_callers_return_one_after_the_other) {
  const core::Time now{core::Duration(1'000'000)};
  TokenBucket bucket(now);
  bucket.Update(10.0, 5.0, now);
  for (int i = 1; i <= 20; ++i) {
    BOOST_TEST(bucket.PromiseToken(now).count() == i * 100'000);
  }
  TokenBucket stopped(now);
  stopped.Update(0.0, 0.0, now);
  BOOST_TEST(stopped.PromiseToken(now).count() == 4'000'000);
}

BOOST_AUTO_TEST_SUITE_END()

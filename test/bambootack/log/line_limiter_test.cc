#include "bambootack/log/line_limiter.h"

#include <boost/test/unit_test.hpp>

namespace core = bambootack::core;
namespace logging = bambootack::log;

BOOST_AUTO_TEST_SUITE(line_limiter)

// Guards against a fault that fills the log, against lines whose loss is not
// told, and against back-off that outlasts the fault. One line per millisecond
// for an hour: 10 lines in each window of 1, 2, 4, ... 64 seconds.
BOOST_AUTO_TEST_CASE(repeated_lines_are_held_back_and_counted) {
  logging::LineLimiter limiter;
  core::Time now{};
  std::uint64_t written = 0;
  std::uint64_t told = 0;
  std::uint64_t lines = 0;
  std::uint64_t untold = 0;
  for (; now < core::Time(std::chrono::hours(1));
       now += std::chrono::milliseconds(1)) {
    ++lines;
    if (const auto held =
            limiter.Admit(logging::EventId::kFrameRejected, now)) {
      ++written;
      told += *held;
      untold = 0;
    } else {
      ++untold;
    }
  }
  BOOST_TEST(written <= 10 * (6 + 3600 / 64 + 1));
  BOOST_TEST(written + told + untold == lines);
  BOOST_TEST(limiter.Admit(logging::EventId::kPeerLost, now).has_value());
  now += std::chrono::minutes(3);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(
        limiter.Admit(logging::EventId::kFrameRejected, now).has_value());
  }
  now += logging::kShortestWindow;
  BOOST_TEST(limiter.Admit(logging::EventId::kFrameRejected, now).has_value());
}

// Guards against requests without a story: under load a VM wrote 10 lines a
// minute of each event, and a complaint could not be followed.
BOOST_AUTO_TEST_CASE(lines_of_requests_keep_their_rate) {
  logging::LineLimiter limiter;
  std::uint64_t written = 0;
  for (core::Time now{}; now < core::Time(std::chrono::minutes(2));
       now += std::chrono::milliseconds(1)) {
    written += limiter.Admit(logging::EventId::kRequestSent, now) ? 1 : 0;
  }
  BOOST_TEST(written == 120 * logging::kRequestLinesPerWindow);
}

// Guards against a lost line of an event that tells of a change of state.
BOOST_AUTO_TEST_CASE(other_events_are_never_held_back) {
  logging::LineLimiter limiter;
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST(limiter.Admit(logging::EventId::kTicketApplied, {}).value() ==
               0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

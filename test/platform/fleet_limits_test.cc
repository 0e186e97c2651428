#include "platform/fleet_limits.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/replace.h"

namespace platform = bambootack::platform;
using platform::LimitProblem;
using platform::Replace;
using std::chrono::milliseconds;

namespace {

/// All limits, as the platform fills them in, with values that differ from the
/// defaults.
const std::string kBounds =
    R"({"seedLagS":3,"reuseAfterS":2,"stableWindowMs":4000,"ackMs":5000,)"
    R"("catchUpS":6,"drainMs":3000,"graceS":10,"lossSlackMs":200,)"
    R"("configApplyMs":2500,"rollbackSlackMs":250,"outerMs":6000,)"
    R"("retryBudgetRatio":0.3,"retryWindowS":20,"retryBudgetSlack":630,)"
    R"("recoveryS":15,"probesPerS":3,"floorShare":0.7})";

/// "name:problem:value" of each notice.
std::vector<std::string> NoticesOf(const std::string& text) {
  std::vector<std::string> result;
  for (const auto& it : platform::ParseFleetLimits(text).notices) {
    result.push_back(
        it.name + ":" +
        std::string(platform::kLimitProblemNames.Name(it.problem)) + ":" +
        it.in_force);
  }
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_limits)

// Guards against limits that are silently ignored, so that a fleet of any size
// runs with those of the smallest one.
BOOST_AUTO_TEST_CASE(limits_are_read_as_the_platform_states_them) {
  const auto parsed = platform::ParseFleetLimits(kBounds);
  BOOST_TEST(parsed.limits.retry_ratio == 0.3);
  BOOST_TEST(parsed.limits.retry_burst == 630.0);
  BOOST_TEST((parsed.limits.retry_window == milliseconds(20'000)));
  BOOST_TEST((parsed.limits.stop_grace == milliseconds(10'000)));
  BOOST_TEST((parsed.limits.drain_time == milliseconds(3000)));
  BOOST_TEST((parsed.limits.config_time == milliseconds(2500)));
  BOOST_TEST(parsed.notices.empty());
}

BOOST_AUTO_TEST_CASE(each_limit_that_is_not_applied_is_reported) {
  using Notices = std::vector<std::string>;
  BOOST_TEST(NoticesOf(Replace(kBounds, "\"graceS\":10,", "")) ==
                 Notices{"graceS:missing:6"},
             boost::test_tools::per_element());
  BOOST_TEST(NoticesOf(Replace(kBounds, "3000", "\"3000\"")) ==
                 Notices{"drainMs:unreadable:2000"},
             boost::test_tools::per_element());
  BOOST_TEST(NoticesOf(Replace(kBounds, "630", "-1")) ==
                 Notices{"retryBudgetSlack:unreadable:80"},
             boost::test_tools::per_element());
  BOOST_TEST(NoticesOf(Replace(kBounds, "630", "true")) ==
                 Notices{"retryBudgetSlack:unreadable:80"},
             boost::test_tools::per_element());
  BOOST_TEST(NoticesOf(Replace(kBounds, "\"ackMs\"", "\"newMs\"")) ==
                 Notices{"newMs:unknown:"},
             boost::test_tools::per_element());
}

// Guards against withdrawn API keys and quotas that are not enforced because
// their limits were not read.
BOOST_AUTO_TEST_CASE(limits_of_customers_are_read_where_they_are_stated) {
  const std::string text =
      Replace(kBounds, R"("recoveryS":15)",
              R"("recoveryS":15,"failClosed":true,"revokeMs":4000,)"
              R"("quotaWindowS":6,"quotaOvershoot":0.2,"quotaSlack":30)");
  const auto parsed = platform::ParseFleetLimits(text);
  BOOST_TEST(parsed.notices.empty());
  BOOST_TEST(parsed.limits.keys_fail_closed);
  BOOST_TEST((parsed.limits.key_withdrawal_time == milliseconds(4000)));
  BOOST_TEST((parsed.limits.quota_window == milliseconds(6000)));
  BOOST_TEST(parsed.limits.quota_overshoot == 0.2);
  BOOST_TEST(parsed.limits.quota_slack == 30.0);
  BOOST_TEST(platform::ParseFleetLimits(Replace(text, "\"failClosed\":true",
                                                "\"failClosed\":\"true\""))
                 .limits.keys_fail_closed);
  BOOST_TEST(!platform::ParseFleetLimits(kBounds).limits.keys_fail_closed);
  BOOST_TEST(NoticesOf(Replace(text, "\"failClosed\":true",
                               "\"failClosed\":\"yes\"")) ==
                 std::vector<std::string>{"failClosed:unreadable:0"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_text_that_is_no_object_is_reported_and_defaults_hold) {
  for (const std::string text :
       {"graceS=6,drainMs=2000", "[1]", "{", "7", ""}) {
    const auto parsed = platform::ParseFleetLimits(text);
    BOOST_TEST_REQUIRE(parsed.notices.size() == 1U, text);
    BOOST_TEST(parsed.notices[0].name == "bounds", text);
    BOOST_TEST(
        (parsed.notices[0].problem ==
         (text.empty() ? LimitProblem::kMissing : LimitProblem::kUnreadable)),
        text);
    BOOST_TEST(parsed.notices[0].in_force.find("graceS=6") !=
               std::string::npos);
    BOOST_TEST(parsed.limits.retry_burst == 80.0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

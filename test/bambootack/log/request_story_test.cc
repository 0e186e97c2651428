#include "bambootack/log/request_story.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace logging = bambootack::log;

BOOST_AUTO_TEST_SUITE(request_story)

// Guards against a story out of order when logs of several files are read, and
// against lines of requests whose ids only begin like the one asked for.
BOOST_AUTO_TEST_CASE(lines_of_one_request_are_told_in_the_order_of_time) {
  std::istringstream late(
      "2026-08-02T20:36:18.946Z level=info event=704 request=ab status=200\n"
      "2026-08-02T20:36:18.946Z level=info event=704 request=abc status=200\n");
  std::istringstream early(
      "vm-7: 2026-08-02T20:36:18.724Z level=info event=701 request=ab\n"
      "2026-08-02T20:36:18.725Z level=info event=707 server=s1\n"
      "2026-08-02T20:36:18.800Z level=info event=702 vm=a request=ab\n"
      "2026-08-02T20:36:18.800Z level=info event=703 vm=a request=ab\n");
  logging::RequestStory story("ab");
  story.Read(late);
  story.Read(early);
  BOOST_TEST(story.Text() ==
             "2026-08-02T20:36:18.724Z level=info event=701 request=ab\n"
             "2026-08-02T20:36:18.800Z level=info event=702 vm=a request=ab\n"
             "2026-08-02T20:36:18.800Z level=info event=703 vm=a request=ab\n"
             "2026-08-02T20:36:18.946Z level=info event=704 request=ab "
             "status=200\n");
}

BOOST_AUTO_TEST_CASE(an_unknown_request_has_no_story) {
  std::istringstream log("\n level=\nrequest=ab\n");
  logging::RequestStory story("a");
  story.Read(log);
  BOOST_TEST(story.Text().empty());
}

BOOST_AUTO_TEST_SUITE_END()

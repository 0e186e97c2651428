#include <boost/leaf/result.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <string>
#include <string_view>

#include "daemon/command_line.h"

BOOST_AUTO_TEST_SUITE(start)

// Guards against a process that ends when it is asked to reload before it has
// begun to handle signals (soak, seed 434).
BOOST_AUTO_TEST_CASE(a_reload_during_the_start_ends_nothing) {
  std::string program = "gateway";
  std::string option = "--settings";
  std::string path = "/tmp/bambootack-start-test.toml";
  std::ofstream(path) << "";
  char* argv[] = {program.data(), option.data(), path.data(), nullptr};
  const int code = bambootack::daemon::RunDaemon(
      3, argv, "gateway",
      [](std::string_view, std::string_view) -> boost::leaf::result<int> {
        std::raise(SIGHUP);
        return 7;
      },
      [](int settings) { return settings; });
  BOOST_TEST(code == 7);
  std::remove(path.c_str());
}

BOOST_AUTO_TEST_SUITE_END()

#include "bambootack/log/event.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace logging = bambootack::log;
namespace settings = bambootack::settings;

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(event)

// Guards against an event that docs/events.md lacks or describes with another
// number, level, name, meaning or limit, and against a row without an event.
BOOST_AUTO_TEST_CASE(catalogue_matches_its_documentation) {
  const std::string doc = ReadFile("docs/events.md");
  std::set<std::string> documented;
  const std::regex row(
      R"(\n\| (\d+) \| (\w+) \| `([\w-]+)` \| ([^|]+) \| (yes|no|rate) \| [^|]+ \| [^|]+ \|)");
  // Rows share their newline characters, so each search starts one earlier.
  auto from = doc.cbegin();
  std::smatch match;
  while (std::regex_search(from, doc.cend(), match, row)) {
    documented.insert(fmt::format("{} {} {} {} {}", match[1].str(),
                                  match[2].str(), match[3].str(),
                                  match[4].str(), match[5].str()));
    from = match[0].second;
  }
  std::set<std::string> coded;
  for (const logging::EventInfo& it : logging::Catalogue()) {
    coded.insert(fmt::format("{} {} {} {} {}", static_cast<int>(it.id),
                             settings::kLogLevelNames.Name(it.level), it.name,
                             it.text, logging::kLineLimitNames.Name(it.limit)));
  }
  BOOST_TEST(coded.size() == logging::Catalogue().size());
  BOOST_TEST(documented == coded, boost::test_tools::per_element());
}

// Guards against an event of which an operator finds nothing in the runbook.
BOOST_AUTO_TEST_CASE(runbook_has_a_section_for_each_event) {
  const std::string runbook = ReadFile("docs/runbook.md");
  for (const logging::EventInfo& it : logging::Catalogue()) {
    const std::string title =
        fmt::format("\n### {} {}\n", static_cast<int>(it.id), it.name);
    BOOST_TEST(runbook.find(title) != std::string::npos, title);
  }
}

BOOST_AUTO_TEST_SUITE_END()

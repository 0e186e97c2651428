#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

#include "bambootack/core/error_kind.h"
#include "bambootack/gateway/settings.h"
#include "platform/fleet_limits.h"

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
namespace json = boost::json;
namespace platform = bambootack::platform;
using std::chrono::milliseconds;

namespace {

/// What the platform knows of a process, in the types in which it fills them
/// into a template.
constexpr std::string_view kFields = R"({
 "nodeName":"edge-west-1","role":"entry","machineClass":"edge",
 "serves":["edge","control"],"ip":"10.1.0.35","zone":"west","region":"coast",
 "internalPorts":[7660,7675],"seeds":["10.1.0.35:8146","10.2.0.28:8146"],
 "firstStart":true,"heartbeatMs":1500,
 "bounds":{"drainMs":3000,"graceS":10,"configApplyMs":2500,
   "retryBudgetRatio":0.3,"retryBudgetSlack":630,"retryWindowS":20},
 "listen":{"front":"10.1.0.35:8144","ready":"10.1.0.35:8140"},
 "limits":{"cpuShare":0.15,"memoryMb":198,"maxFds":3124},
 "platform":{"address":"10.200.1.7:8142","form":"log"}})";

std::string Render(const json::value& value) {
  if (value.is_string()) {
    return std::string(value.get_string());
  }
  if (!value.is_array()) {
    return json::serialize(value);
  }
  std::string result;
  for (const json::value& it : value.get_array()) {
    result += (result.empty() ? "" : ",") + Render(it);
  }
  return result;
}

const json::value* Find(const json::value& root, std::string_view path) {
  const json::value* value = &root;
  while (value != nullptr && !path.empty()) {
    const std::size_t dot = path.find('.');
    const std::string name(path.substr(0, dot));
    path.remove_prefix(dot == std::string_view::npos ? path.size() : dot + 1);
    if (const json::array* list = value->if_array()) {
      value = list->if_contains(std::stoul(name));
    } else {
      value =
          value->is_object() ? value->get_object().if_contains(name) : nullptr;
    }
  }
  return value;
}

/// Fills in the placeholders `{{a.b}}` of a template. Other tags of the
/// platform's templates fail the test.
std::string FillIn(std::string text, const json::value& fields) {
  constexpr std::size_t kBraces = 2;
  std::size_t begin = 0;
  while ((begin = text.find("{{", begin)) != std::string::npos) {
    const std::size_t end = text.find("}}", begin);
    BOOST_TEST_REQUIRE(end != std::string::npos);
    const std::string path =
        text.substr(begin + kBraces, end - begin - kBraces);
    BOOST_TEST_REQUIRE(path.find_first_of("#^/|@,{") == std::string::npos,
                       path);
    const json::value* value = Find(fields, path);
    BOOST_TEST(value != nullptr, "the platform has no field " + path);
    const std::string rendered = value == nullptr ? "" : Render(*value);
    text.replace(begin, end + kBraces - begin, rendered);
    begin += rendered.size();
  }
  return text;
}

gateway::GatewaySettings FilledInSettings(const json::value& fields) {
  std::ifstream in("deploy/gateway.toml");
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  BOOST_TEST_REQUIRE(!text.empty());
  return boost::leaf::try_handle_all(
      [&] {
        return gateway::ParseSettings(FillIn(text, fields), "gateway.toml");
      },
      [](const core::Error& error) {
        BOOST_FAIL(error.detail);
        return gateway::GatewaySettings{};
      },
      [] {
        BOOST_FAIL("settings are not parsed");
        return gateway::GatewaySettings{};
      });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_template)

// Guards against settings that the platform fills in in another form than the
// one that is parsed.
BOOST_AUTO_TEST_CASE(each_setting_has_the_value_of_the_platform) {
  const json::value fields =
      json::parse(json::string_view(kFields.data(), kFields.size()));
  const gateway::GatewaySettings settings = FilledInSettings(fields);
  BOOST_TEST(settings.name == "edge-west-1");
  BOOST_TEST(settings.failure_domain == "west");
  BOOST_TEST(settings.caller_address == "10.1.0.35:8144");
  BOOST_TEST(settings.operator_address == "10.1.0.35:8140");
  BOOST_TEST(settings.metrics_address == "10.1.0.35:9102");
  BOOST_TEST(settings.peer_address == "10.1.0.35:7660");
  BOOST_TEST(settings.store_address == "10.200.1.7:8142");
  BOOST_TEST(settings.memory_mb == 198);
  BOOST_TEST(settings.max_descriptors == 3124);
  BOOST_TEST(settings.first_start);

  const auto parsed = platform::ParseFleetLimits(settings.platform_bounds);
  BOOST_TEST(parsed.notices.empty());
  BOOST_TEST(parsed.limits.retry_ratio == 0.3);
  BOOST_TEST(parsed.limits.retry_burst == 630.0);
  BOOST_TEST((parsed.limits.retry_window == milliseconds(20'000)));
  BOOST_TEST((parsed.limits.stop_grace == milliseconds(10'000)));
  BOOST_TEST((parsed.limits.drain_time == milliseconds(3000)));
  BOOST_TEST((parsed.limits.config_time == milliseconds(2500)));
}

BOOST_AUTO_TEST_SUITE_END()

#include "bambootack/metrics/registry.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <vector>

#include "bambootack/gateway/metrics.h"

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
namespace metrics = bambootack::metrics;
namespace node = bambootack::node;

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

void CheckLine(const std::string& text, const std::string& line) {
  BOOST_TEST(text.find("\n" + line + "\n") != std::string::npos, line);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(registry)

// Guards against samples that are counted under another label or bucket. A
// bucket includes its upper bound.
BOOST_AUTO_TEST_CASE(samples_appear_under_their_labels) {
  metrics::Registry registry;
  registry.CountAnswer(core::Outcome::kDone, std::nullopt);
  registry.CountAnswer(core::Outcome::kNotRun, core::ErrorKind::kNoRoute);
  registry.CountRefusal(metrics::Stage::kDispatcher,
                        core::ErrorKind::kNoServer);
  registry.CountAttempt(node::AttemptEnd::kLost);
  registry.CountAttempt(node::AttemptEnd::kLost);
  registry.CountFrameRejected(bambootack::wire::FrameFault::kReplayed);
  registry.CountTokenRejected();
  registry.ObserveLatency(core::Rank::kUrgent, core::Duration(2'000));
  registry.ObserveLatency(core::Rank::kUrgent, core::Duration(2'001));
  registry.ObserveLatency(core::Rank::kUrgent, std::chrono::hours(1));
  registry.ObserveAddedTime(core::Duration(-5));
  registry.ObserveQueueWait(core::Rank::kBackground, core::Duration(0));
  const std::string text = registry.Text({.keys = 7, .ready = true});
  const std::string latency = "bambootack_request_latency_seconds";
  const std::string refused = "bambootack_refusals_total";
  for (const std::string& line : std::vector<std::string>{
           "bambootack_answers_total{outcome=\"done\",error=\"none\"} 1",
           "bambootack_answers_total{outcome=\"not-run\",error=\"no-route\"} 1",
           refused + "{stage=\"dispatcher\",error=\"no-server\"} 1",
           "bambootack_attempts_total{end=\"lost\"} 2",
           "bambootack_frames_rejected_total{reason=\"replayed\"} 1",
           "bambootack_tokens_rejected_total 1",
           latency + "_bucket{rank=\"urgent\",le=\"0.001\"} 0",
           latency + "_bucket{rank=\"urgent\",le=\"0.002\"} 1",
           latency + "_bucket{rank=\"urgent\",le=\"0.005\"} 2",
           latency + "_bucket{rank=\"urgent\",le=\"30\"} 2",
           latency + "_bucket{rank=\"urgent\",le=\"+Inf\"} 3",
           latency + "_sum{rank=\"urgent\"} 3600.004001",
           latency + "_count{rank=\"urgent\"} 3",
           latency + "_count{rank=\"normal\"} 0",
           "bambootack_added_time_seconds_sum 0",
           "bambootack_added_time_seconds_bucket{le=\"0.00025\"} 1",
           "bambootack_queue_wait_seconds_count{rank=\"background\"} 1",
           "bambootack_keys 7", "bambootack_ready 1"}) {
    CheckLine(text, line);
  }
}

// Guards against a metric that docs/metrics.md lacks, or describes with another
// type, and against names that change unnoticed.
BOOST_AUTO_TEST_CASE(metrics_match_their_documentation) {
  const std::string doc = ReadFile("docs/metrics.md");
  const std::string text =
      metrics::Registry().Text({}) + gateway::GatewayMetrics().Text({});
  std::set<std::string> documented;
  const std::regex row(R"(\n\| `(bambootack_\w+)` \| (\w+) \|)");
  for (std::sregex_iterator it(doc.begin(), doc.end(), row), end; it != end;
       ++it) {
    documented.insert((*it)[1].str() + " " + (*it)[2].str());
  }
  std::set<std::string> written;
  std::vector<metrics::MetricInfo> catalogue(metrics::Catalogue().begin(),
                                             metrics::Catalogue().end());
  catalogue.insert(catalogue.end(), gateway::GatewayCatalogue().begin(),
                   gateway::GatewayCatalogue().end());
  for (const metrics::MetricInfo& it : catalogue) {
    const std::string line = std::string(it.name) + " " + std::string(it.type);
    written.insert(line);
    BOOST_TEST(text.find("# TYPE " + line + "\n") != std::string::npos, line);
  }
  BOOST_TEST(documented == written, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

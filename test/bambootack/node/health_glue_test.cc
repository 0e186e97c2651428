#include "bambootack/node/health_glue.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "bambootack/node/dispatcher_role.h"

namespace config = bambootack::config;
namespace core = bambootack::core;
namespace dispatch = bambootack::dispatch;
namespace health = bambootack::health;
namespace node = bambootack::node;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kServers = 4;

/// A group of servers with the glue between its dispatcher and its health.
struct Fixture {
  Fixture() : key{"desk", "west-1", 0}, group(key) {
    config::FleetConfig config;
    config::Service& service = config.services["desk"];
    service.id = "desk";
    for (std::size_t i = 0; i < kServers; ++i) {
      config::Server server;
      server.id = std::to_string(i);
      server.failure_domain = "west-1";
      server.slots = 3;
      service.servers.push_back(std::move(server));
    }
    group.Configure(service.servers);
    glue.Configure(group, key, config, now);
  }

  node::Job MakeJob(std::size_t server, std::uint64_t fingerprint) {
    node::Job job;
    job.group = key;
    job.server_id = std::to_string(server);
    job.request.route = "read";
    job.request.fingerprint = fingerprint;
    job.deadline = now + seconds(2);
    return job;
  }

  void Run(std::size_t server, std::uint64_t fingerprint,
           node::AttemptEnd end) {
    const node::Job job = MakeJob(server, fingerprint);
    node::AttemptResult result;
    result.attempt = {++attempts, 1};
    result.end = end;
    result.answer.status = 200;
    glue.Start(result.attempt, job, now);
    now += milliseconds(5);
    glue.Finish(result, job, group, now);
  }

  config::GroupKey key;
  dispatch::Group group;
  node::HealthGlue glue;
  core::Time now{};
  std::uint32_t attempts = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(health_glue)

// Guards against an answer being taken for the wrong kind of evidence.
BOOST_AUTO_TEST_CASE(ends_map_to_evidence) {
  using health::EvidenceKind;
  using node::AttemptEnd;
  struct Row {
    AttemptEnd end;
    int status;
    const char* refusal;
    EvidenceKind kind;
  };
  const Row rows[] = {
      {AttemptEnd::kAnswered, 200, nullptr, EvidenceKind::kSuccess},
      {AttemptEnd::kAnswered, 404, nullptr, EvidenceKind::kClientError},
      {AttemptEnd::kAnswered, 500, nullptr, EvidenceKind::kError},
      {AttemptEnd::kAnswered, 503, nullptr, EvidenceKind::kError},
      {AttemptEnd::kAnswered, 503, "shed", EvidenceKind::kShed},
      {AttemptEnd::kAnswered, 503, "draining", EvidenceKind::kDraining},
      {AttemptEnd::kAnswered, 0, nullptr, EvidenceKind::kError},
      {AttemptEnd::kAnswered, 0, "shed", EvidenceKind::kError},
      {AttemptEnd::kAnswered, 199, nullptr, EvidenceKind::kError},
      {AttemptEnd::kNotConnected, 0, nullptr, EvidenceKind::kRefused},
      {AttemptEnd::kLost, 0, nullptr, EvidenceKind::kReset},
      {AttemptEnd::kTimedOut, 0, nullptr, EvidenceKind::kTimeout},
      {AttemptEnd::kInvalid, 0, nullptr, EvidenceKind::kError},
  };
  for (const Row& row : rows) {
    node::AttemptResult result;
    result.end = row.end;
    result.answer.status = row.status;
    if (row.refusal != nullptr) {
      result.answer.headers.push_back({"Bambootack-Not-Started", row.refusal});
    }
    BOOST_TEST((node::EvidenceOf(result) == row.kind),
               node::kAttemptEndNames.Name(row.end) << " " << row.status);
  }
}

// Guards against an ejection that does not reach the dispatcher's slots.
BOOST_AUTO_TEST_CASE(ejection_takes_the_slots_away) {
  Fixture it;
  for (int i = 0; i < 15; ++i) {
    for (std::size_t k = 0; k < kServers; ++k) {
      it.Run(k, 0,
             k == 0 ? node::AttemptEnd::kInvalid : node::AttemptEnd::kAnswered);
    }
  }
  BOOST_TEST(it.group.Servers()[0].admission.max_busy == 0);
  BOOST_TEST(it.group.Servers()[1].admission.max_busy == 3);
}

// Guards against a crashing request that reaches a third server, and against
// the ejection of the servers that it crashed.
BOOST_AUTO_TEST_CASE(a_crashing_request_is_held) {
  constexpr std::uint64_t kPoison = 9;
  Fixture it;
  it.Run(0, kPoison, node::AttemptEnd::kLost);
  BOOST_TEST(!it.glue.IsHeld(it.MakeJob(1, kPoison), it.now));
  it.Run(1, kPoison, node::AttemptEnd::kLost);
  BOOST_TEST(it.glue.IsHeld(it.MakeJob(2, kPoison), it.now));
  BOOST_TEST(!it.glue.IsHeld(it.MakeJob(2, kPoison + 1), it.now));
  for (const auto& server : it.glue.Groups().at(it.key).Servers()) {
    BOOST_TEST((server.state == health::ServerState::kServing));
  }
}

BOOST_AUTO_TEST_SUITE_END()

#include "bambootack/health/group_health.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>

namespace config = bambootack::config;
namespace core = bambootack::core;
namespace health = bambootack::health;

namespace {

using health::EvidenceKind;
using health::ServerState;
using std::chrono::milliseconds;
using std::chrono::seconds;

config::Service MakeService(std::size_t servers, int slots, int floor) {
  config::Service service;
  service.id = "desk";
  service.floor_slots = floor;
  for (std::size_t i = 0; i < servers; ++i) {
    config::Server server;
    server.id = std::to_string(i);
    server.failure_domain = "west-1";
    server.slots = slots;
    service.servers.push_back(std::move(server));
  }
  return service;
}

/// A group under test with its virtual time.
struct Fixture {
  explicit Fixture(config::Service it,
                   health::PolicyKind kind = health::PolicyKind::kSequential)
      : service(std::move(it)), group(kind) {
    Configure();
  }

  void Configure() { group.Configure(service, service.servers, now); }

  void Attempt(std::size_t server, EvidenceKind kind) {
    const core::Handle handle{++requests, 1};
    group.OnAttemptStarted(handle, std::to_string(server), "read", now);
    now += milliseconds(5);
    group.OnAttemptFinished(handle, kind, now);
  }

  /// Rounds of one request for every server, which ends as `first` on server 0
  /// and with success on the others.
  void Rounds(int n, EvidenceKind first) {
    for (int i = 0; i < n; ++i) {
      for (std::size_t k = 0; k < service.servers.size(); ++k) {
        Attempt(k, k == 0 ? first : EvidenceKind::kSuccess);
      }
    }
  }

  void AdvanceTime(core::Duration time) {
    for (const core::Time end = now + time; now < end;) {
      now += milliseconds(50);
      group.OnTimer(now);
    }
  }

  const health::ServerStatus& Server(std::size_t i) {
    return group.Servers().at(i);
  }

  config::Service service;
  health::GroupHealth group;
  core::Time now{};
  std::uint32_t requests = 0;
};

/// Slots of the servers that health decisions can admit: all but those that are
/// excluded by a pin, leaving or new.
int AvailableSlots(const health::GroupHealth& group) {
  int sum = 0;
  for (const health::ServerStatus& it : group.Servers()) {
    const bool excluded = it.pin == config::Pin::kOut ||
                          it.state == ServerState::kLeaving ||
                          (it.state == ServerState::kStarting &&
                           !it.restarting && it.pin != config::Pin::kIn);
    sum += excluded ? 0 : it.slots;
  }
  return sum;
}

void CheckFloor(const health::GroupHealth& group) {
  const int required = std::min(group.FloorShare(), AvailableSlots(group));
  RC_ASSERT(group.AdmittedSlots() >= required);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(group_health)

// Guards against ejection below the floor, with any sequence of evidence,
// leaving servers, pins and changes of the floor, under every policy.
RC_BOOST_PROP(the_floor_holds_at_every_instant, ()) {
  const auto kind = *rc::gen::element(health::PolicyKind::kSequential,
                                      health::PolicyKind::kConsecutive,
                                      health::PolicyKind::kSuccessRate);
  Fixture it(MakeService(*rc::gen::inRange<std::size_t>(1, 9), 3,
                         *rc::gen::inRange(0, 25)),
             kind);
  for (int step = 0; step < 150; ++step) {
    const auto server =
        *rc::gen::inRange<std::size_t>(0, it.service.servers.size());
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        it.service.floor_slots = *rc::gen::inRange(0, 25);
        it.Configure();
        break;
      case 1:
        it.service.servers[server].pin = *rc::gen::element(
            config::Pin::kNone, config::Pin::kIn, config::Pin::kOut);
        it.Configure();
        break;
      case 2:
        it.group.MarkLeaving(std::to_string(server),
                             health::LeavingSource::kPeer,
                             *rc::gen::arbitrary<bool>(), it.now);
        break;
      case 3:
        it.AdvanceTime(milliseconds(*rc::gen::inRange(50, 3000)));
        break;
      default:
        const auto end = static_cast<EvidenceKind>(
            *rc::gen::inRange<int>(0, health::kEvidenceKindCount));
        for (int i = 0; i < 6; ++i) {
          it.Attempt(server, end);
          CheckFloor(it.group);
        }
    }
    CheckFloor(it.group);
  }
}

// Guards against a service below its floor while two dispatchers temporarily
// serve the same group: whichever of their views applies in each group, the sum
// has to reach the floor.
RC_BOOST_PROP(the_floor_holds_for_every_choice_of_dispatcher, ()) {
  config::Service service =
      MakeService(*rc::gen::inRange<std::size_t>(2, 20), 3, 0);
  service.floor_slots =
      *rc::gen::inRange(0, 3 * static_cast<int>(service.servers.size()) + 1);
  int least = 0;
  for (const auto& [key, servers] : config::GroupsOf(service)) {
    int group_least = 1 << 20;
    for (int view = 0; view < 2; ++view) {
      Fixture it(service);
      it.service.servers = servers;
      it.group = health::GroupHealth();
      it.group.Configure(service, servers, it.now);
      const auto failing = *rc::gen::inRange<std::size_t>(0, servers.size());
      for (int i = 0; i < 60; ++i) {
        const auto k = static_cast<std::size_t>(i) % servers.size();
        const core::Handle handle{++it.requests, 1};
        it.group.OnAttemptStarted(handle, servers[k].id, "read", it.now);
        it.group.OnAttemptFinished(
            handle,
            k == failing ? EvidenceKind::kError : EvidenceKind::kSuccess,
            it.now);
        group_least = std::min(group_least, it.group.AdmittedSlots());
      }
    }
    least += group_least;
  }
  RC_ASSERT(least >= service.floor_slots);
}

// Guards against new requests to a server that any source reports as leaving.
BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_requests) {
  using health::LeavingSource;
  for (const auto source :
       {LeavingSource::kTicket, LeavingSource::kVmList, LeavingSource::kPeer}) {
    Fixture it(MakeService(4, 3, 12));
    it.group.MarkLeaving("0", source, true, it.now);
    BOOST_TEST(it.Server(0).admission.slots == 0);
    it.AdvanceTime(seconds(10));
    BOOST_TEST(it.Server(0).admission.slots == 0);
    it.group.MarkLeaving("0", source, false, it.now);
    BOOST_TEST(it.Server(0).admission.repeatable_only);
  }
  Fixture it(MakeService(4, 3, 12));
  it.Attempt(0, EvidenceKind::kDraining);
  BOOST_TEST(it.Server(0).admission.slots == 0);
}

// Guards against evidence that overrides an operator's pin.
BOOST_AUTO_TEST_CASE(pins_override_evidence) {
  Fixture it(MakeService(8, 3, 0));
  it.service.servers[0].pin = config::Pin::kIn;
  it.Configure();
  it.Rounds(50, EvidenceKind::kError);
  BOOST_TEST(it.Server(0).admission.slots == 3);
  it.service.servers[0].pin = config::Pin::kOut;
  it.Configure();
  BOOST_TEST(it.Server(0).admission.slots == 0);
}

// Guards against a raised floor that applies only after the next result or
// timer.
BOOST_AUTO_TEST_CASE(a_raised_floor_takes_effect_at_once) {
  Fixture it(MakeService(8, 3, 0));
  it.Rounds(10, EvidenceKind::kError);
  BOOST_REQUIRE((it.Server(0).state == ServerState::kEjected));
  BOOST_TEST(it.Server(0).admission.slots == 0);
  it.service.floor_slots = 23;
  it.Configure();
  BOOST_TEST(it.Server(0).admission.slots == 2);
  BOOST_TEST(!it.Server(0).admission.repeatable_only);
}

// Guards against readmission without probing or slow start, and against
// ejection times that do not grow while a server keeps failing.
BOOST_AUTO_TEST_CASE(a_server_returns_by_probing_and_slow_start) {
  Fixture it(MakeService(8, 4, 0));
  it.Rounds(10, EvidenceKind::kError);
  const core::Duration first = it.Server(0).until - it.Server(0).since;
  it.AdvanceTime(first + milliseconds(50));
  BOOST_REQUIRE((it.Server(0).state == ServerState::kProbing));
  BOOST_TEST((it.Server(0).admission == health::Admission{1, true, 0}));
  it.Attempt(0, EvidenceKind::kError);
  BOOST_REQUIRE((it.Server(0).state == ServerState::kEjected));
  const core::Duration second = it.Server(0).until - it.Server(0).since;
  BOOST_TEST((second > first));
  it.AdvanceTime(second + milliseconds(50));
  it.Rounds(3, EvidenceKind::kSuccess);
  BOOST_REQUIRE((it.Server(0).state == ServerState::kSlowStart));
  BOOST_TEST(it.Server(0).admission.slots == 1);
  it.AdvanceTime(seconds(2));
  BOOST_TEST(it.Server(0).admission.slots == 3);
  it.AdvanceTime(seconds(3));
  BOOST_TEST((it.Server(0).state == ServerState::kServing));
}

// Guards against probing that is decided by the result of a request sent before
// the ejection.
BOOST_AUTO_TEST_CASE(late_results_do_not_decide_probing) {
  Fixture it(MakeService(8, 4, 0));
  const core::Handle late{1'000'000, 1};
  it.group.OnAttemptStarted(late, "0", "read", it.now);
  it.Rounds(10, EvidenceKind::kError);
  it.AdvanceTime(seconds(3));
  BOOST_REQUIRE((it.Server(0).state == ServerState::kProbing));
  it.group.OnAttemptFinished(late, EvidenceKind::kTimeout, it.now);
  BOOST_TEST((it.Server(0).state == ServerState::kProbing));
}

BOOST_AUTO_TEST_SUITE_END()

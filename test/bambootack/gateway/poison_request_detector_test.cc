#include "bambootack/gateway/poison_request_detector.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "bambootack/gateway/gateway_fixture.h"

namespace bambootack::gateway {

using node::AttemptEnd;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kFingerprint = 77;

struct DetectorFixture {
  DetectorFixture() {
    Start("a", 1);
    Start("b", 1);
  }

  /// The server reports a start; `id` is a letter.
  void Start(const std::string& id, std::int64_t started) {
    Report(id, started, "10.0.0." + std::to_string(id[0] - 'a' + 1) + ":80");
  }

  void Report(const std::string& id, std::int64_t started,
              const std::string& address, bool draining = false) {
    ServerRecord record;
    record.id = id;
    record.service = "desk";
    record.address = address;
    record.started = started;
    record.draining = draining;
    record.sequence = static_cast<std::int64_t>(offset);
    registry.Apply(record, ++offset, now);
    detector.Update(registry, now);
  }

  void Remove(const std::string& id) {
    registry.Remove(id, ++offset, now);
    detector.Update(registry, now);
  }

  /// Carries out the checks that are due.
  void Check(ConnectionResult result) {
    for (const ConnectionCheck& it : detector.TakeDueChecks(now)) {
      detector.RecordCheck(it.server, result, now);
    }
  }

  /// Passes time and carries out the checks in it.
  void Pass(core::Duration time, ConnectionResult result) {
    for (const core::Time end = now + time; now < end;
         now += milliseconds(50)) {
      Check(result);
    }
  }

  bool IsQuarantined() { return detector.IsQuarantined(kFingerprint, now); }

  void LoseConnection(const std::string& server) {
    detector.RecordLostConnection(kFingerprint, server, registry, now);
  }

  core::Time now{core::Duration(1'000'000)};
  std::uint64_t offset = 0;
  ServerRegistry registry;
  PoisonRequestDetector detector;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(poison_request_detector, DetectorFixture)

// Guards against the quarantine of ordinary requests because faulty servers
// reset the connections of all requests.
BOOST_AUTO_TEST_CASE(lost_connections_to_running_servers_quarantine_nothing) {
  LoseConnection("a");
  LoseConnection("b");
  now += std::chrono::seconds(3);
  detector.RecordServerDown("a", now);
  detector.RecordServerDown("b", now);
  BOOST_TEST(!detector.IsQuarantined(kFingerprint, now));
  BOOST_TEST(detector.TakeCrashes().empty());
}

// Guards against a request that crashes one server after the other.
BOOST_AUTO_TEST_CASE(a_request_is_quarantined_after_two_crashes) {
  LoseConnection("a");
  detector.RecordServerDown("a", now);
  BOOST_TEST(!detector.IsQuarantined(kFingerprint, now));
  LoseConnection("b");
  detector.RecordServerDown("b", now);
  BOOST_TEST(detector.IsQuarantined(kFingerprint, now));
  BOOST_TEST(detector.TakeCrashes().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_restarted_or_removed_server_has_crashed) {
  LoseConnection("a");
  LoseConnection("b");
  Start("a", 2);
  registry.Remove("b", ++offset, now);
  detector.Update(registry, now);
  BOOST_TEST(detector.IsQuarantined(kFingerprint, now));
}

// Guards against a crash that is noticed only by further requests: a service
// may have none that are sent to a server that has just failed.
BOOST_AUTO_TEST_CASE(servers_that_refuse_connections_have_crashed) {
  for (const std::string server : {"a", "b"}) {
    BOOST_TEST(!IsQuarantined());
    LoseConnection(server);
    Pass(milliseconds(2000), ConnectionResult::kRefused);
  }
  BOOST_TEST(IsQuarantined());
}

// Guards against a connection for each request that a faulty server resets: the
// next request that is sent there shows as much.
BOOST_AUTO_TEST_CASE(servers_that_get_other_requests_are_not_checked) {
  for (int i = 0; i < 40; ++i) {
    detector.RecordContact("a", now);
    LoseConnection("a");
    now += milliseconds(500);
    BOOST_TEST(detector.TakeDueChecks(now).empty());
  }
  detector.RecordContact("a", now);
  now += std::chrono::seconds(2);
  BOOST_TEST(detector.TakeDueChecks(now).empty());
}

// Guards against an attempt that began before a crash and is taken for a sign
// that the server is up.
BOOST_AUTO_TEST_CASE(attempts_from_before_a_loss_show_nothing) {
  const core::Time start = now;
  now += milliseconds(1);
  LoseConnection("a");
  detector.RecordContact("a", start);
  now += std::chrono::seconds(2);
  BOOST_TEST(detector.TakeDueChecks(now).size() == 1U);
}

struct ReturnCase {
  std::string name;
  ConnectionResult check;  ///< Before the entry tells of the return.
  core::Duration after;
  std::function<void(DetectorFixture&, const std::string& server)> come_back;
};

/// Ways in which a server comes back after a crash.
const std::vector<ReturnCase> kReturns{
    {"at once, under a new id", ConnectionResult::kAccepted, milliseconds(200),
     [](DetectorFixture& it, const std::string& server) {
       it.Report("new-" + server, 2,
                 it.registry.Servers().find(server)->second.record.address);
     }},
    {"at once, under its id", ConnectionResult::kAccepted, milliseconds(200),
     [](DetectorFixture& it, const std::string& server) {
       it.Start(server, 2);
     }},
    {"at once, at another address", ConnectionResult::kAccepted,
     milliseconds(1500),
     [](DetectorFixture& it, const std::string& server) {
       it.Report(server, 2, "10.0.9.9:80");
     }},
    {"at once, and told after a heartbeat", ConnectionResult::kAccepted,
     milliseconds(2400),
     [](DetectorFixture& it, const std::string& server) {
       it.Start(server, 2);
     }},
    {"behind a cut link, under its id", ConnectionResult::kFailed,
     milliseconds(5000),
     [](DetectorFixture& it, const std::string& server) {
       it.Start(server, 2);
     }},
    {"told late, under its id", ConnectionResult::kFailed, milliseconds(8000),
     [](DetectorFixture& it, const std::string& server) {
       it.Start(server, 2);
     }},
    {"not at all, at an address that is silent", ConnectionResult::kFailed,
     milliseconds(6000),
     [](DetectorFixture& it, const std::string& server) { it.Remove(server); }},
    {"at once, before its entry tells", ConnectionResult::kAccepted,
     milliseconds(100),
     [](DetectorFixture& it, const std::string& server) {
       it.detector.RecordServerReplaced(server, it.now);
     }},
};

// Guards against a crash that is not noticed because the server is back before
// or after the time at which somebody looks.
BOOST_AUTO_TEST_CASE(a_crash_is_found_however_the_server_comes_back) {
  for (const ReturnCase& it : kReturns) {
    BOOST_TEST_CONTEXT(it.name) {
      DetectorFixture fixture;
      for (const std::string server : {"a", "b"}) {
        BOOST_TEST(!fixture.IsQuarantined());
        fixture.LoseConnection(server);
        fixture.Pass(it.after, it.check);
        it.come_back(fixture, server);
      }
      BOOST_TEST(fixture.IsQuarantined());
    }
  }
}

struct SoundCase {
  std::string name;
  std::function<void(DetectorFixture&, const std::string& server)> happens;
};

/// What may follow when a sound server has reset a connection.
const std::vector<SoundCase> kSound{
    {"nothing", [](DetectorFixture&, const std::string&) {}},
    {"it resets the next connections as well",
     [](DetectorFixture& it, const std::string& server) {
       it.LoseConnection(server);
       it.detector.RecordUnreachable(server, it.now);
     }},
    {"it refuses one connection",
     [](DetectorFixture& it, const std::string& server) {
       it.LoseConnection(server);
       it.Pass(milliseconds(1200), ConnectionResult::kAccepted);
       it.Check(ConnectionResult::kRefused);
       it.Pass(milliseconds(500), ConnectionResult::kAccepted);
     }},
    {"it leaves without having said so",
     [](DetectorFixture& it, const std::string& server) { it.Remove(server); }},
    {"it drains, leaves and another one has its address",
     [](DetectorFixture& it, const std::string& server) {
       const std::string address =
           it.registry.Servers().find(server)->second.record.address;
       it.Report(server, 1, address, true);
       it.Pass(milliseconds(3000), ConnectionResult::kRefused);
       it.Report("new-" + server, 2, address);
     }},
    {"another start has its address 3 s later",
     [](DetectorFixture& it, const std::string& server) {
       it.Pass(milliseconds(1500), ConnectionResult::kFailed);
       it.Report("new-" + server, 2,
                 it.registry.Servers().find(server)->second.record.address);
     }},
    {"it is restarted later",
     [](DetectorFixture& it, const std::string& server) {
       it.Pass(std::chrono::seconds(10), ConnectionResult::kAccepted);
       it.Start(server, 2);
     }},
};

// Guards against the quarantine of ordinary requests.
BOOST_AUTO_TEST_CASE(sound_servers_that_reset_connections_have_not_crashed) {
  for (const SoundCase& it : kSound) {
    BOOST_TEST_CONTEXT(it.name) {
      DetectorFixture fixture;
      for (const std::string server : {"a", "b"}) {
        fixture.LoseConnection(server);
        fixture.Pass(milliseconds(1500), ConnectionResult::kAccepted);
        it.happens(fixture, server);
        fixture.Pass(milliseconds(500), ConnectionResult::kAccepted);
      }
      BOOST_TEST(!fixture.IsQuarantined());
      BOOST_TEST(fixture.detector.TakeCrashes().empty());
    }
  }
}

// Guards against connections that servers end as they leave.
BOOST_AUTO_TEST_CASE(servers_that_leave_have_not_crashed) {
  Report("a", 1, "10.0.0.1:80", true);
  Remove("b");
  for (const std::string server : {"a", "b"}) {
    LoseConnection(server);
    Pass(milliseconds(2000), ConnectionResult::kRefused);
  }
  BOOST_TEST(!IsQuarantined());
}

// Guards against one crash that counts twice because two VMs have found it.
BOOST_AUTO_TEST_CASE(a_start_of_a_server_crashes_once) {
  LoseConnection("a");
  Pass(milliseconds(2000), ConnectionResult::kRefused);
  detector.RecordCrash(kFingerprint, "a", 1, now);
  detector.RecordCrash(kFingerprint, "a", 1, now);
  BOOST_TEST(!IsQuarantined());
  detector.RecordCrash(kFingerprint, "a", 2, now);
  BOOST_TEST(IsQuarantined());
}

BOOST_AUTO_TEST_CASE(a_request_that_was_served_is_not_quarantined) {
  LoseConnection("a");
  detector.RecordServerDown("a", now);
  detector.RecordServed(kFingerprint);
  LoseConnection("b");
  detector.RecordServerDown("b", now);
  BOOST_TEST(!detector.IsQuarantined(kFingerprint, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(poison_requests, GatewayFixture)

// Guards against a request that crashes all servers because its caller repeats
// it: the third and later ones are refused without being executed, while other
// requests are served.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_servers_is_refused) {
  Configure();
  const auto refuse_checks = [this] {
    for (const ConnectionCheck& it : checks) {
      gateway.OnConnectionChecked(it.server, ConnectionResult::kRefused, now);
    }
  };
  std::uint64_t caller = 0;
  for (int i = 0; i < 2; ++i) {
    SendRequest(++caller, "/book/poison");
    const std::string address = attempts[0].address;
    FinishAttempt(attempts[0].id, AttemptEnd::kLost);
    // The next request to the server cannot connect.
    for (bool down = false; !down;) {
      Advance(milliseconds(300));
      refuse_checks();
      ++caller;
      SendRequest(caller, "/read/" + std::to_string(caller));
      BOOST_TEST_REQUIRE(attempts.size() == 1U);
      down = attempts[0].address == address;
      const std::uint64_t attempt = attempts[0].id;
      if (down) {
        FinishAttempt(attempt, AttemptEnd::kNotConnected);
        BOOST_TEST_REQUIRE(attempts.size() == 1U);
        ServeAttempt(attempts[0].id, std::to_string(caller));
      } else {
        ServeAttempt(attempt, std::to_string(caller));
      }
    }
  }
  for (int i = 0; i < 3; ++i) {
    Advance(milliseconds(300));
    refuse_checks();
  }
  SendRequest(++caller, "/book/poison");
  BOOST_TEST(attempts.empty());
  BOOST_TEST(Status() == 503);
  SendRequest(++caller, "/book/other");
  BOOST_TEST(attempts.size() == 1U);
}

struct LossCase {
  std::string name;
  AttemptEnd end;
};

/// How the attempt ends that runs when its server crashes.
const std::vector<LossCase> kLosses{
    {"before the answer", AttemptEnd::kLost},
    {"within the answer", AttemptEnd::kInvalid},
};

// Guards against a request that crashes one server after the other at a service
// whose requests may all run once at most: none of them is sent to a server
// that has just failed.
BOOST_AUTO_TEST_CASE(a_request_is_held_at_a_service_without_repeatable_ones) {
  for (const LossCase& it : kLosses) {
    BOOST_TEST_CONTEXT(it.name) {
      GatewayFixture fixture;
      fixture.Configure();
      for (std::uint64_t caller = 1; caller <= 2; ++caller) {
        fixture.SendRequest(caller, "/book/poison");
        BOOST_TEST_REQUIRE(fixture.attempts.size() == 1U);
        const std::string address = fixture.attempts[0].address;
        fixture.FinishAttempt(fixture.attempts[0].id, it.end);
        for (int i = 0; i < 8; ++i) {
          fixture.Advance(milliseconds(250));
          for (const ConnectionCheck& check : fixture.checks) {
            BOOST_TEST(check.address == address);
            fixture.gateway.OnConnectionChecked(
                check.server, ConnectionResult::kRefused, fixture.now);
          }
        }
      }
      fixture.SendRequest(3, "/book/poison");
      BOOST_TEST(fixture.attempts.empty());
      BOOST_TEST(fixture.Status() == 503);
      fixture.SendRequest(4, "/book/other");
      BOOST_TEST(fixture.attempts.size() == 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway

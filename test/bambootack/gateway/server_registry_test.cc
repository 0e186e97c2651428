#include "bambootack/gateway/server_registry.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
using std::chrono::milliseconds;

namespace {

const core::Time kStart{core::Duration(1'000'000)};

gateway::ServerRecord Record(std::string id, std::int64_t started,
                             std::int64_t sequence) {
  gateway::ServerRecord record;
  record.id = std::move(id);
  record.service = "desk";
  record.address = "10.0.0.1:80";
  record.failure_domain = "west";
  record.started = started;
  record.sequence = sequence;
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_registry)

// Guards against a late report of an earlier start that revives its state.
BOOST_AUTO_TEST_CASE(reports_of_earlier_starts_are_ignored) {
  gateway::ServerRegistry registry;
  BOOST_TEST(registry.Apply(Record("a", 200, 1), 10, kStart));
  gateway::ServerRecord old = Record("a", 100, 9);
  old.draining = true;
  BOOST_TEST(!registry.Apply(old, 11, kStart));
  BOOST_TEST(!registry.Servers().at("a").record.draining);
  // Its counts start anew with each start.
  BOOST_TEST(registry.Apply(Record("a", 300, 0), 12, kStart));
  BOOST_TEST(registry.Servers().at("a").record.started == 300);
}

// Guards against a server that gets work again after it said that it leaves.
BOOST_AUTO_TEST_CASE(an_older_report_does_not_end_a_drain) {
  gateway::ServerRegistry registry;
  gateway::ServerRecord draining = Record("a", 100, 5);
  draining.draining = true;
  registry.Apply(draining, 10, kStart);
  BOOST_TEST(!registry.Apply(Record("a", 100, 4), 11, kStart));
  BOOST_TEST(registry.Servers().at("a").record.draining);
}

// Found on a day with a store that turned some VMs away: a VM that had read
// for itself knew a higher sequence number than the reader of its domain, and
// took the reader's report of a removal for an old one.
BOOST_AUTO_TEST_CASE(removals_are_ordered_by_their_place_in_the_store) {
  gateway::ServerRegistry member;
  member.Apply(Record("a", 100, 3), 20, kStart);
  gateway::ServerRegistry reader;
  reader.Apply(Record("a", 100, 1), 12, kStart);
  BOOST_TEST(reader.Remove("a", 30, kStart));
  const auto changes = reader.ChangesSince(25, kStart);
  BOOST_TEST_REQUIRE(changes.size() == 1);
  BOOST_TEST(member.ApplyChange(changes.front(), kStart));
  BOOST_TEST(member.Servers().empty());
  // The same news once more changes nothing; an older report neither.
  BOOST_TEST(!member.ApplyChange(changes.front(), kStart));
  BOOST_TEST(!member.Apply(Record("a", 100, 3), 20, kStart));
  // The server itself may come back.
  BOOST_TEST(member.Apply(Record("a", 100, 4), 31, kStart));
}

// Guards against the loss of all servers when their entries lapse during an
// outage of the store.
BOOST_AUTO_TEST_CASE(
    entries_that_lapsed_in_an_outage_are_kept_for_two_seconds) {
  gateway::ServerRegistry registry;
  registry.Apply(Record("a", 100, 1), 10, kStart);
  gateway::ServerRecord other = Record("b", 100, 1);
  other.address = "10.0.0.2:80";
  registry.Apply(other, 11, kStart);
  const core::Time back = kStart + milliseconds(5000);
  registry.DeferRemovals(back + milliseconds(2000));
  BOOST_TEST(!registry.Remove("a", 20, back + milliseconds(10)));
  BOOST_TEST(!registry.Remove("b", 21, back + milliseconds(10)));
  BOOST_TEST(registry.Servers().size() == 2U);
  registry.Apply(Record("a", 100, 2), 22, back + milliseconds(900));
  BOOST_TEST(registry.ApplyDueRemovals(23, back + milliseconds(2000)).size() ==
             1U);
  BOOST_TEST(registry.Servers().contains("a"));
  BOOST_TEST(!registry.Servers().contains("b"));
  // Others that know all up to 23 are told of the removal.
  BOOST_TEST(registry.ChangesSince(23, back + milliseconds(2000)).size() == 1U);
}

// Guards against two servers at one address, of which one has ended.
BOOST_AUTO_TEST_CASE(an_address_belongs_to_the_latest_start) {
  gateway::ServerRegistry registry;
  registry.Apply(Record("a", 100, 1), 10, kStart);
  registry.Apply(Record("b", 200, 1), 11, kStart);
  BOOST_TEST(!registry.Servers().contains("a"));
  BOOST_TEST(registry.Servers().contains("b"));
}

// Guards against a repeated announcement for each heartbeat.
BOOST_AUTO_TEST_CASE(a_new_sequence_alone_is_no_change) {
  gateway::ServerRegistry registry;
  BOOST_TEST(registry.Apply(Record("a", 100, 1), 10, kStart));
  BOOST_TEST(!registry.Apply(Record("a", 100, 2), 11, kStart));
  BOOST_TEST(registry.ChangesSince(11, kStart).empty());
}

BOOST_AUTO_TEST_SUITE_END()

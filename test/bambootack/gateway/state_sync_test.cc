#include "bambootack/gateway/state_sync.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>

namespace bambootack::gateway {

using std::chrono::milliseconds;

namespace {

ServerRecord Record(const std::string& id, std::int64_t sequence) {
  ServerRecord record;
  record.id = id;
  record.service = "desk";
  record.address = "10.0.0.1:80";
  record.sequence = sequence;
  return record;
}

struct Vm {
  Vm(core::VmId self, const std::string& domain)
      : broker(self), spread(self, domain, registry, broker) {}

  ServerRegistry registry;
  PeerDirectory broker;
  StateSync spread;
};

/// VMs of two failure domains that exchange messages at once.
struct Fleet {
  Fleet() {
    for (std::uint32_t i = 1; i <= 8; ++i) {
      vms[core::VmId{i}] =
          std::make_unique<Vm>(core::VmId{i}, i <= 4 ? "west" : "east");
    }
    for (auto& [a, vm] : vms) {
      for (std::uint32_t i = 1; i <= 8; ++i) {
        vm->broker.Add({core::VmId{i},
                        {},
                        "10.0.1." + std::to_string(i) + ":1",
                        i <= 4 ? "west" : "east"});
      }
      vm->spread.MarkFleetKnown();
    }
  }

  /// VMs for which a read of the store is due, with what they do.
  std::vector<core::VmId> Readers() {
    std::vector<core::VmId> readers;
    for (auto& [vm, it] : vms) {
      if (!stopped.contains(vm) && it->spread.ShouldReadStore(now)) {
        readers.push_back(vm);
      }
    }
    return readers;
  }

  void Read(core::VmId vm) {
    vms[vm]->spread.RecordStoreRead(position, now, now);
    Deliver();
  }

  void Deliver() {
    for (int round = 0; round < 5; ++round) {
      for (auto& [from, it] : vms) {
        for (auto& [to, message] : it->spread.TakeMessages()) {
          if (stopped.contains(from) || stopped.contains(to)) {
            continue;
          }
          Vm& receiver = *vms[to];
          if (auto* update = std::get_if<StateUpdate>(&message)) {
            receiver.spread.Receive(from, *update, now);
            if (update->config) {
              receiver.spread.UpdateConfig(*update->config, now);
            }
          } else if (auto* ask = std::get_if<StateQuery>(&message)) {
            receiver.spread.Receive(from, *ask, now);
          }
        }
      }
    }
  }

  void Tick() {
    for (auto& [vm, it] : vms) {
      if (!stopped.contains(vm)) {
        it->spread.OnTimer(now, random);
      }
    }
    Deliver();
  }

  core::Time now{core::Duration(10'000'000)};
  core::Random random{3};
  std::uint64_t position = 1;
  std::map<core::VmId, std::unique_ptr<Vm>> vms;
  std::set<core::VmId> stopped;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(state_sync, Fleet)

// Guards against a price that grows with the fleet: every VM reading the store.
BOOST_AUTO_TEST_CASE(one_vm_of_each_domain_reads) {
  for (auto& [vm, it] : vms) {
    it->spread.SetFirstReadTime(now + milliseconds(1000));
  }
  const auto readers = Readers();
  BOOST_TEST_REQUIRE(readers.size() == 2U);
  vms[readers[0]]->registry.Apply(Record("a", 1), 0, now);
  vms[readers[1]]->registry.Apply(Record("a", 1), 0, now);
  Read(readers[0]);
  Read(readers[1]);
  for (auto& [vm, it] : vms) {
    BOOST_TEST(it->registry.Servers().contains("a"));
  }
  BOOST_TEST((Readers() == readers));
}

// Guards against knowledge that grows old behind a reader that is stopped, cut
// off or frozen.
BOOST_AUTO_TEST_CASE(a_silent_reader_is_replaced) {
  const auto readers = Readers();
  for (const core::VmId it : readers) {
    Read(it);
  }
  const core::VmId lost = Readers().front();
  stopped.insert(lost);
  now += milliseconds(1500);
  Tick();
  const auto next = Readers();
  BOOST_TEST(!next.empty());
  for (const core::VmId it : next) {
    BOOST_TEST((it != lost));
    Read(it);
  }
  now += milliseconds(10);
  BOOST_TEST(Readers().size() == 2U);
}

// Guards against a VM whom the store turns away and that misses a drain.
BOOST_AUTO_TEST_CASE(a_vm_that_the_store_turns_away_learns_from_others) {
  for (const core::VmId it : Readers()) {
    Read(it);
  }
  // All VMs of the west are turned away; the reader of the east is not.
  now += milliseconds(1600);
  position = 6;
  for (const core::VmId it : Readers()) {
    if (it > core::VmId{4}) {
      vms[it]->registry.Apply(Record("b", 1), 5, now);
      Read(it);
    }
  }
  for (int i = 0; i < 12; ++i) {
    now += milliseconds(250);
    for (const core::VmId it : Readers()) {
      if (it > core::VmId{4}) {
        Read(it);
      }
    }
    Tick();
  }
  for (auto& [vm, it] : vms) {
    BOOST_TEST(it->registry.Servers().contains("b"));
  }
}

// Found on a day with silent connections: a VM that heard of a version but did
// not get it from the reader asks others, and reads for itself in the end.
BOOST_AUTO_TEST_CASE(a_vm_left_behind_reads_for_itself) {
  for (const core::VmId it : Readers()) {
    Read(it);
  }
  Vm& vm = *vms[core::VmId{1}];
  StateUpdate update;
  update.position = 1;
  update.config_version = 9;
  vm.spread.Receive(core::VmId{2}, update, now);
  now += milliseconds(499);
  const bool reader = vm.spread.ShouldReadStore(now);
  now += milliseconds(1);
  BOOST_TEST(vm.spread.ShouldReadStore(now));
  GatewayConfig config;
  config.version = 9;
  vm.spread.UpdateConfig(config, now);
  BOOST_TEST(vm.spread.ShouldReadStore(now) == reader);
}

BOOST_AUTO_TEST_CASE(missed_changes_are_asked_for) {
  for (const core::VmId it : Readers()) {
    Read(it);
  }
  const core::VmId reader = Readers().front();
  core::VmId member{};
  for (auto& [vm, it] : vms) {
    if (vm != reader && (vm <= core::VmId{4}) == (reader <= core::VmId{4})) {
      member = vm;
    }
  }
  // The first announcement is lost, the second one shows the gap.
  stopped.insert(member);
  vms[reader]->registry.Apply(Record("c", 1), 1, now);
  position = 2;
  Read(reader);
  stopped.erase(member);
  now += milliseconds(300);
  position = 3;
  Read(reader);
  BOOST_TEST(vms[member]->registry.Servers().contains("c"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway

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
  Vm(core::VmId self, const std::string& domain,
     core::Duration change_time = milliseconds(2000))
      : peers(self), sync(self, domain, change_time, registry, peers) {}

  ServerRegistry registry;
  PeerDirectory peers;
  StateSync sync;
};

/// VMs of two failure domains; messages are delivered without delay.
struct Fleet {
  Fleet() {
    for (std::uint32_t i = 1; i <= 8; ++i) {
      vms[core::VmId{i}] =
          std::make_unique<Vm>(core::VmId{i}, i <= 4 ? "west" : "east");
    }
    for (auto& [a, vm] : vms) {
      for (std::uint32_t i = 1; i <= 8; ++i) {
        vm->peers.Add({core::VmId{i},
                       {},
                       "10.0.1." + std::to_string(i) + ":1",
                       i <= 4 ? "west" : "east"});
      }
      vm->sync.MarkFleetKnown();
    }
  }

  /// Running VMs that should read the store.
  std::vector<core::VmId> StoreReaders() {
    std::vector<core::VmId> readers;
    for (auto& [vm, it] : vms) {
      if (!stopped.contains(vm) && it->sync.ShouldReadStore(now)) {
        readers.push_back(vm);
      }
    }
    return readers;
  }

  void ReadStore(core::VmId vm) {
    vms[vm]->sync.RecordStoreRead(position, now, now);
    Deliver();
  }

  void Deliver() {
    for (int round = 0; round < 5; ++round) {
      for (auto& [from, it] : vms) {
        for (auto& [to, message] : it->sync.TakeMessages()) {
          if (stopped.contains(from) || stopped.contains(to)) {
            continue;
          }
          Vm& receiver = *vms[to];
          if (auto* update = std::get_if<StateUpdate>(&message)) {
            receiver.sync.Receive(from, *update, now);
            if (update->config) {
              receiver.sync.UpdateConfig(*update->config, now);
            }
          } else if (auto* query = std::get_if<StateQuery>(&message)) {
            receiver.sync.Receive(from, *query, now);
          }
        }
      }
    }
  }

  void RunTimers() {
    for (auto& [vm, it] : vms) {
      if (!stopped.contains(vm)) {
        it->sync.OnTimer(now, random);
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

// Guards against every VM reading the store: the load of the store would
// grow with the fleet.
BOOST_AUTO_TEST_CASE(one_vm_of_each_domain_reads) {
  for (auto& [vm, it] : vms) {
    it->sync.SetFirstReadTime(now + milliseconds(1000));
  }
  const auto readers = StoreReaders();
  BOOST_TEST_REQUIRE(readers.size() == 2U);
  vms[readers[0]]->registry.Apply(Record("a", 1), 0, now);
  vms[readers[1]]->registry.Apply(Record("a", 1), 0, now);
  ReadStore(readers[0]);
  ReadStore(readers[1]);
  for (auto& [vm, it] : vms) {
    BOOST_TEST(it->registry.Servers().contains("a"));
  }
  BOOST_TEST((StoreReaders() == readers));
}

// Guards against stale state in a domain whose store reader is stopped,
// partitioned or frozen.
BOOST_AUTO_TEST_CASE(an_unresponsive_store_reader_is_replaced) {
  const auto readers = StoreReaders();
  for (const core::VmId it : readers) {
    ReadStore(it);
  }
  const core::VmId lost = StoreReaders().front();
  stopped.insert(lost);
  now += milliseconds(1500);
  RunTimers();
  const auto next = StoreReaders();
  BOOST_TEST(!next.empty());
  for (const core::VmId it : next) {
    BOOST_TEST((it != lost));
    ReadStore(it);
  }
  now += milliseconds(10);
  BOOST_TEST(StoreReaders().size() == 2U);
}

// Guards against many store readers after an outage of the store: each VM
// passed over the readers that could not update it until it was first itself.
BOOST_AUTO_TEST_CASE(an_outage_of_the_store_creates_no_store_readers) {
  for (const core::VmId it : StoreReaders()) {
    ReadStore(it);
  }
  for (int i = 0; i < 32; ++i) {
    now += milliseconds(250);
    RunTimers();
  }
  std::size_t readers = 0;
  for (auto& [vm, it] : vms) {
    readers += it->sync.IsStoreReader(now) ? 1 : 0;
  }
  BOOST_TEST(readers == 2U);
}

// Guards against a new store reader that sends its whole state to a domain that
// the reader before it has updated.
BOOST_AUTO_TEST_CASE(a_new_store_reader_sends_only_its_own_changes) {
  const auto readers = StoreReaders();
  for (const core::VmId it : readers) {
    for (std::uint64_t i = 0; i < 20; ++i) {
      vms[it]->registry.Apply(Record("s" + std::to_string(i), 1), i, now);
    }
  }
  position = 20;
  for (const core::VmId it : readers) {
    ReadStore(it);
  }
  RunTimers();
  stopped.insert(readers.front());
  now += milliseconds(1600);
  RunTimers();
  for (auto& [vm, it] : vms) {
    static_cast<void>(it->sync.TakeSentUpdates());
  }
  position = 21;
  for (const core::VmId it : StoreReaders()) {
    vms[it]->registry.Apply(Record("new", 1), 20, now);
    ReadStore(it);
  }
  for (auto& [vm, it] : vms) {
    for (const SentUpdate& update : it->sync.TakeSentUpdates()) {
      BOOST_TEST(update.changes <= 1U);
    }
  }
}

// Guards against a VM that cannot read the store and misses a change.
BOOST_AUTO_TEST_CASE(a_vm_rejected_by_the_store_is_updated_by_peers) {
  for (const core::VmId it : StoreReaders()) {
    ReadStore(it);
  }
  // The store rejects all VMs of the west, but not the reader of the east.
  now += milliseconds(1600);
  position = 6;
  for (const core::VmId it : StoreReaders()) {
    if (it > core::VmId{4}) {
      vms[it]->registry.Apply(Record("b", 1), 5, now);
      ReadStore(it);
    }
  }
  for (int i = 0; i < 12; ++i) {
    now += milliseconds(250);
    for (const core::VmId it : StoreReaders()) {
      if (it > core::VmId{4}) {
        ReadStore(it);
      }
    }
    RunTimers();
  }
  for (auto& [vm, it] : vms) {
    BOOST_TEST(it->registry.Servers().contains("b"));
  }
}

// Guards against a VM that stays behind because messages are lost without an
// error: a VM that was informed of a configuration version but did not
// receive it queries peers and finally reads the store itself.
BOOST_AUTO_TEST_CASE(a_vm_behind_its_peers_reads_the_store) {
  for (const core::VmId it : StoreReaders()) {
    ReadStore(it);
  }
  Vm& vm = *vms[core::VmId{1}];
  StateUpdate update;
  update.position = 1;
  update.config_version = 9;
  vm.sync.Receive(core::VmId{2}, update, now);
  now += milliseconds(499);
  const bool reader = vm.sync.ShouldReadStore(now);
  now += milliseconds(1);
  BOOST_TEST(vm.sync.ShouldReadStore(now));
  GatewayConfig config;
  config.version = 9;
  vm.sync.UpdateConfig(config, now);
  BOOST_TEST(vm.sync.ShouldReadStore(now) == reader);
}

BOOST_AUTO_TEST_CASE(missed_changes_are_queried) {
  for (const core::VmId it : StoreReaders()) {
    ReadStore(it);
  }
  const core::VmId reader = StoreReaders().front();
  core::VmId member{};
  for (auto& [vm, it] : vms) {
    if (vm != reader && (vm <= core::VmId{4}) == (reader <= core::VmId{4})) {
      member = vm;
    }
  }
  // The first update is lost, the second one shows the gap.
  stopped.insert(member);
  vms[reader]->registry.Apply(Record("c", 1), 1, now);
  position = 2;
  ReadStore(reader);
  stopped.erase(member);
  now += milliseconds(300);
  position = 3;
  ReadStore(reader);
  BOOST_TEST(vms[member]->registry.Servers().contains("c"));
}

// Guards against a VM that takes its own cut for an outage of the store and
// keeps removed servers, and against one that takes a state from before an
// outage for a sign that there was none (review/4).
BOOST_AUTO_TEST_CASE(a_peer_that_read_the_store_meanwhile_ends_a_deferral) {
  for (const milliseconds age : {milliseconds(100), milliseconds(4900)}) {
    Vm vm(core::VmId{1}, "west");
    vm.registry.Apply(Record("a", 1), 0, now);
    vm.sync.RecordStoreAvailable(now);
    vm.sync.RecordStoreRead(1, now, now);
    const core::Time back = now + milliseconds(5000);
    vm.sync.RecordStoreAvailable(back);
    BOOST_TEST(!vm.registry.Remove("a", 1, back));
    StateUpdate update;
    update.position = 1;
    update.age = age;
    update.available_for = std::chrono::seconds(60);
    vm.sync.Receive(core::VmId{2}, update, back);
    const bool peer_read_the_store = age < milliseconds(1000);
    BOOST_TEST(vm.registry.ApplyDueRemovals(back).empty() !=
               peer_read_the_store);
  }
}

// Guards against a VM that reads the store first after its cut and hears of no
// peer that has read it: it asks for one.
BOOST_AUTO_TEST_CASE(a_vm_that_defers_removals_queries_its_peers) {
  Vm vm(core::VmId{1}, "west");
  vm.peers.Add({core::VmId{2}, {}, "10.0.1.2:1", "east"});
  vm.sync.RecordStoreAvailable(now);
  vm.sync.RecordStoreRead(1, now, now);
  vm.sync.OnTimer(now + milliseconds(1000), random);
  BOOST_TEST(vm.sync.TakeMessages().empty());
  now += milliseconds(5000);
  vm.sync.RecordStoreAvailable(now);
  vm.sync.RecordStoreRead(1, now, now);
  static_cast<void>(vm.sync.TakeMessages());
  BOOST_TEST((vm.sync.NextTimer() <= now));
  vm.sync.OnTimer(now, random);
  BOOST_TEST(vm.sync.TakeMessages().size() == 1U);
  now += milliseconds(2000);
  vm.sync.RecordStoreRead(1, now, now);
  static_cast<void>(vm.sync.TakeMessages());
  vm.sync.OnTimer(now, random);
  BOOST_TEST(vm.sync.TakeMessages().empty());
}

// Guards against constants of one platform: a change may have to be in force
// within one second, or within three.
BOOST_AUTO_TEST_CASE(state_goes_stale_before_a_change_must_be_in_force) {
  constexpr core::Time kConfirmed{core::Duration(1'000'000)};
  for (const milliseconds change_time :
       {milliseconds(1000), milliseconds(2000), milliseconds(3000)}) {
    // A VM whose domain has a store reader that comes first.
    Vm vm(core::VmId{1}, "west", change_time);
    for (std::uint32_t i = 2; i <= 40; ++i) {
      vm.peers.Add({core::VmId{i}, {}, "10.0.1.2:1", "west"});
    }
    vm.sync.MarkFleetKnown();
    BOOST_TEST_REQUIRE(!vm.sync.IsStoreReader(kConfirmed));
    vm.sync.RecordStoreRead(1, kConfirmed, kConfirmed);
    const core::Duration age = change_time * 3 / 4;
    BOOST_TEST(!vm.sync.ShouldReadStore(kConfirmed + age - milliseconds(1)));
    BOOST_TEST(vm.sync.ShouldReadStore(kConfirmed + age));
  }
}

// Guards against an answer that a VM gives after it has read the newest records
// only: it lacks the removals before that, and the peer that asks for them
// would never learn of them (review/1).
BOOST_AUTO_TEST_CASE(a_vm_answers_no_query_from_before_its_history) {
  Vm restarted(core::VmId{1}, "west");
  restarted.sync.RecordFullRead(3);
  restarted.sync.RecordStoreRead(3, now, now);
  Vm member(core::VmId{2}, "west");
  member.registry.Apply(Record("a", 1), 0, now);
  member.sync.RecordStoreRead(1, now, now);
  restarted.sync.Receive(core::VmId{2}, StateQuery{1, 0}, now);
  for (auto& [to, message] : restarted.sync.TakeMessages()) {
    member.sync.Receive(core::VmId{1}, std::get<StateUpdate>(message), now);
  }
  BOOST_TEST(member.sync.Position() == 1U);
  // A VM without state starts from the servers that are left.
  Vm started(core::VmId{3}, "west");
  restarted.sync.Receive(core::VmId{3}, StateQuery{0, 0}, now);
  for (auto& [to, message] : restarted.sync.TakeMessages()) {
    started.sync.Receive(core::VmId{1}, std::get<StateUpdate>(message), now);
  }
  BOOST_TEST(started.sync.Position() == 3U);
  // It does not know the earlier removals either.
  started.sync.Receive(core::VmId{2}, StateQuery{1, 0}, now);
  for (auto& [to, message] : started.sync.TakeMessages()) {
    member.sync.Receive(core::VmId{3}, std::get<StateUpdate>(message), now);
  }
  BOOST_TEST(member.sync.Position() == 1U);
}

// Guards against a server that a VM, just started, has not found in the store
// and then takes from an earlier state of a peer.
BOOST_AUTO_TEST_CASE(an_earlier_state_of_a_peer_adds_no_removed_server) {
  Vm started(core::VmId{1}, "west");
  // The read of the configuration has not ended: the VM has no position.
  started.registry.RemoveMissing({}, 3, now);
  started.sync.RecordFullRead(3);
  StateUpdate update;
  update.position = 2;
  update.servers.push_back({Record("a", 1), false, 1});
  started.sync.Receive(core::VmId{2}, update, now);
  BOOST_TEST(!started.registry.Servers().contains("a"));
}

// Guards against servers of an unfinished read of the store that stay in use
// although the state of a peer is later and lacks them.
BOOST_AUTO_TEST_CASE(the_first_state_of_a_peer_replaces_a_partial_read) {
  Vm peer(core::VmId{1}, "west");
  peer.registry.Apply(Record("b", 1), 7, now);
  peer.sync.RecordFullRead(8);
  peer.sync.RecordStoreRead(8, now, now);
  Vm started(core::VmId{2}, "west");
  started.registry.Apply(Record("a", 1), 2, now);
  peer.sync.Receive(core::VmId{2}, StateQuery{0, 0}, now);
  for (auto& [to, message] : peer.sync.TakeMessages()) {
    started.sync.Receive(core::VmId{1}, std::get<StateUpdate>(message), now);
  }
  BOOST_TEST(!started.registry.Servers().contains("a"));
  BOOST_TEST(started.registry.Servers().contains("b"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::gateway

#include "bambootack/node/operator_api.h"

#include <cstdint>
#include <optional>
#include <utility>

#include "bambootack/node/dump_tables.h"

namespace bambootack::node {
namespace {

/// Age in seconds, or -1 for what never happened.
std::int64_t Seconds(std::optional<core::Time> at, core::Time now) {
  return at ? core::ToMilliseconds(now - *at) / 1000 : -1;
}

report::List MemberList(const Node& node, core::Time now) {
  const Shared& shared = node.State();
  const spread::PeerTable& peers = node.Control().Spread().Peers();
  report::List list;
  for (const membership::Member& it : shared.view.members) {
    const auto suspected = shared.suspected.find(it.vm);
    const bool silent =
        suspected != shared.suspected.end() && suspected->second > now;
    report::Map map{
        {"vm", static_cast<std::uint32_t>(it.vm)},
        {"incarnation", static_cast<std::uint64_t>(it.incarnation)},
        {"address", it.address},
        {"failure_domain", it.failure_domain},
        {"suspected", silent},
    };
    if (const spread::Peer* peer = peers.Find(it.vm)) {
      map["alive"] = peers.IsAlive(*peer, now);
      map["heard_s"] = Seconds(peer->heard, now);
      map["hears_me_s"] = Seconds(peer->hears_me, now);
      map["up_to_date"] = peer->reached >= shared.store.Where();
      map["leaving"] = peer->leaving;
    }
    list.emplace_back(std::move(map));
  }
  return list;
}

report::List ServerList(const Shared& shared) {
  report::List list;
  for (const auto& [id, service] : shared.store.Config().services) {
    for (const config::Server& it : service.servers) {
      list.emplace_back(report::Map{
          {"service", id},
          {"server", it.id},
          {"address", it.address},
          {"failure_domain", it.failure_domain},
          {"slots", it.slots},
          {"pin", config::kPinNames.Name(it.pin)},
          {"leaving", it.leaving},
      });
    }
  }
  return list;
}

report::List RankList(const dispatch::Group& group, core::Time now) {
  report::List list;
  for (std::size_t i = 0; i < core::kRankCount; ++i) {
    const auto rank = static_cast<core::Rank>(i);
    const dispatch::RankState state = group.StateOf(rank, now);
    list.emplace_back(report::Map{
        {"rank", core::kRankNames.Name(rank)},
        {"queued", state.queued},
        {"busy", state.busy},
        {"wait_ms", core::ToMilliseconds(state.wait)},
        {"service_ms", core::ToMilliseconds(state.service_time)},
    });
  }
  return list;
}

/// Decisions of this VM's dispatcher on the servers of a group.
report::List HealthList(const Node& node, const config::GroupKey& key) {
  report::List list;
  const auto& groups = node.Dispatcher().Health().Groups();
  const auto group = groups.find(key);
  if (group == groups.end()) {
    return list;
  }
  for (const health::ServerStatus& it : group->second.Servers()) {
    list.emplace_back(report::Map{
        {"server", it.id},
        {"state", health::kServerStateNames.Name(it.state)},
        {"pin", config::kPinNames.Name(it.pin)},
        {"admitted", it.admission.slots},
        {"repeatable_only", it.admission.repeatable_only},
        {"ejections", it.ejections},
        {"failure_rate", it.failure_rate},
    });
  }
  return list;
}

report::List GroupList(const Node& node, core::Time now) {
  report::List list;
  for (const auto& [key, group] : node.Dispatcher().Groups()) {
    report::List servers;
    for (const dispatch::ServerSlots& it : group.Servers()) {
      servers.emplace_back(report::Map{
          {"server", it.server.id},
          {"slots", it.server.slots},
          {"busy", it.busy},
          {"assumed_busy", now < it.assumed_busy_until ? it.assumed_busy : 0},
          {"shedding", now < it.refusal_limit_until}});
    }
    list.emplace_back(report::Map{{"group", config::ToString(key)},
                                  {"queued", group.QueueSize()},
                                  {"ranks", RankList(group, now)},
                                  {"servers", std::move(servers)},
                                  {"health", HealthList(node, key)}});
  }
  return list;
}

}  // namespace

report::Map StatusReport(const Node& node, core::Time now) {
  const Shared& shared = node.State();
  return report::Map{
      {"vm", static_cast<std::uint32_t>(shared.settings.vm)},
      {"failure_domain", shared.settings.failure_domain},
      {"ready", shared.HasControlState() && !shared.stopping},
      {"stopping", shared.stopping},
      {"log_available", node.Control().IsLogAvailable()},
      {"ticket", shared.store.HighestNumber()},
      {"position", report::Map{{"generation", shared.store.Where().generation},
                               {"offset", shared.store.Where().offset}}},
      {"view", static_cast<std::uint64_t>(shared.view.number)},
      {"vms", MemberList(node, now)},
      {"servers", ServerList(shared)},
  };
}

std::string MetricsText(const Node& node) {
  const Shared& shared = node.State();
  return shared.metrics.Text(
      {.entry_in_flight = node.EntryRole().InFlight(),
       .owner_in_flight = node.Owner().InFlight(),
       .dispatcher_in_flight = node.Dispatcher().InFlight(),
       .keys = node.Owner().KeyCount(),
       .ready = shared.store.HasState() && !shared.stopping});
}

report::Map DumpReport(const Node& node, core::Time now) {
  report::Map map = StatusReport(node, now);
  map["in_flight"] = report::Map{
      {"entry", node.EntryRole().InFlight()},
      {"owner", node.Owner().InFlight()},
      {"dispatcher", node.Dispatcher().InFlight()},
  };
  map["keys"] = node.Owner().KeyCount();
  map["groups"] = GroupList(node, now);
  AddTables(map, node, now);
  return map;
}

}  // namespace bambootack::node

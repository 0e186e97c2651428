#include "bambootack/node/dump_tables.h"

#include <cstdint>
#include <string>
#include <utility>

#include "bambootack/config/ticket_writer.h"

namespace bambootack::node {
namespace {

std::uint32_t Number(core::VmId vm) { return static_cast<std::uint32_t>(vm); }

report::Map RequestMap(const wire::RoutedRequest& request,
                       core::Duration remaining) {
  return report::Map{
      {"service", request.service},
      {"route", request.route},
      {"customer", request.customer},
      {"rank", core::kRankNames.Name(request.rank)},
      {"kind", core::kOperationKindNames.Name(request.kind)},
      {"key", request.key},
      {"fingerprint", std::to_string(request.fingerprint)},
      {"remaining_ms", core::ToMilliseconds(remaining)},
  };
}

/// Rows of a table of requests, with the fields that only this table has.
template <typename Table, typename Fields>
report::List Rows(const Table& table, core::Time now, const Fields& fields) {
  report::List list;
  for (const auto& row : table) {
    if (list.size() == kMaxDumpedRows) {
      break;
    }
    report::Map map = RequestMap(row.value.request, row.value.deadline - now);
    fields(row.value, map);
    list.emplace_back(std::move(map));
  }
  return list;
}

report::List RequestRows(const Node& node, core::Time now) {
  return Rows(node.EntryRole().Requests(), now,
              [](const EntryRequest& it, report::Map& map) {
                map["caller"] = static_cast<std::uint64_t>(it.caller);
                map["awaited"] = Number(it.awaited);
                map["sends"] = it.sends;
              });
}

report::List OperationRows(const Node& node, core::Time now) {
  return Rows(node.Owner().Operations(), now,
              [](const OwnedOperation& it, report::Map& map) {
                map["dispatcher"] = Number(it.dispatcher);
                map["sends"] = it.sends;
                map["waiters"] = it.waiters.size();
              });
}

report::List JobRows(const Node& node, core::Time now) {
  return Rows(node.Dispatcher().Jobs(), now,
              [](const Job& it, report::Map& map) {
                map["from"] = Number(it.from);
                map["group"] = config::ToString(it.group);
                map["server"] = it.server_id;
              });
}

report::List RouteList(const config::FleetConfig& config) {
  report::List list;
  for (const auto& [id, it] : config.routes) {
    list.emplace_back(config::RouteFields(it));
  }
  return list;
}

report::List ServiceList(const config::FleetConfig& config) {
  report::List list;
  for (const auto& [id, it] : config.services) {
    list.emplace_back(report::Map{{"id", id},
                                  {"floor_slots", it.floor_slots},
                                  {"retry_budget", it.retry_budget},
                                  {"servers", it.servers.size()}});
  }
  return list;
}

report::List LimitList(const config::FleetConfig& config) {
  report::List list;
  for (const auto& [id, it] : config.limits) {
    list.emplace_back(
        report::Map{{"id", id},
                    {"service", it.service},
                    {"route", it.route},
                    {"customer", it.customer},
                    {"rank", it.rank ? core::kRankNames.Name(*it.rank) : "any"},
                    {"per_second", it.per_second},
                    {"burst", it.burst}});
  }
  return list;
}

report::List RankList(const config::FleetConfig& config) {
  report::List list;
  for (const config::RankPolicy& it : config.ranks) {
    list.emplace_back(
        report::Map{{"rank", core::kRankNames.Name(it.rank)},
                    {"target_ms", core::ToMilliseconds(it.target)},
                    {"share", it.share}});
  }
  return list;
}

report::Map StoreMap(const config::Store& store) {
  const config::State& state = store.Whole();
  report::List recent;
  for (const config::AcceptedTicket& it : state.recent) {
    recent.emplace_back(report::Map{{"number", it.number},
                                    {"author", it.author},
                                    {"record_id", it.record_id},
                                    {"generation", it.at.generation},
                                    {"offset", it.at.offset}});
  }
  report::Map marks;
  for (const auto& [object, mark] : state.marks) {
    marks[object] = mark.number;
  }
  return report::Map{{"digest", std::to_string(store.Digest())},
                     {"last_id", state.last_id},
                     {"lowest_number", state.lowest_number},
                     {"number_ranges", state.numbers.All().size()},
                     {"marks", std::move(marks)},
                     {"recent_tickets", std::move(recent)},
                     {"services", ServiceList(state.config)},
                     {"routes", RouteList(state.config)},
                     {"limits", LimitList(state.config)},
                     {"ranks", RankList(state.config)}};
}

/// Partitions in sum: a list of all of them would hide what matters.
report::Map PartitionMap(const Node& node) {
  const membership::PartitionTable& table = node.Membership().Table();
  std::uint64_t owned = 0;
  std::uint64_t with_earlier = 0;
  std::uint64_t without_owner = 0;
  for (std::uint32_t i = 0; i < core::kPartitionCount; ++i) {
    const membership::Partition& it =
        table.At(core::PartitionId{static_cast<std::uint16_t>(i)});
    const bool own = it.owner == node.State().settings.vm;
    owned += own ? 1 : 0;
    with_earlier += own && !it.earlier.empty() ? 1 : 0;
    without_owner += it.owner == core::kNoVm ? 1 : 0;
  }
  return report::Map{{"view", static_cast<std::uint64_t>(table.Number())},
                     {"owned", owned},
                     {"owned_with_earlier_owners", with_earlier},
                     {"without_owner", without_owner}};
}

report::Map ControlMap(const Node& node) {
  report::List submissions;
  for (const auto& [id, it] : node.Control().Submissions()) {
    submissions.emplace_back(report::Map{{"id", id}, {"number", it.number}});
  }
  return report::Map{{"log_available", node.Control().IsLogAvailable()},
                     {"submissions", std::move(submissions)}};
}

report::Map SettingsMap(const settings::Settings& settings) {
  return report::Map{
      {"caller_address", settings.caller_address},
      {"operator_address", settings.operator_address},
      {"peer_address", settings.peer_address},
      {"platform_address", settings.platform_address},
      {"peer_keys", settings.peer_keys.size()},
      {"log_level", settings::kLogLevelNames.Name(settings.log_level)},
      {"dispatch", settings::kDispatchModeNames.Name(settings.dispatch)},
      {"traffic_threads", settings.traffic_threads},
      {"stop_limit_ms", core::ToMilliseconds(settings.stop_limit)}};
}

}  // namespace

void AddTables(report::Map& map, const Node& node, core::Time now) {
  const Shared& shared = node.State();
  map["incarnation"] = static_cast<std::uint64_t>(shared.incarnation);
  map["joined"] = static_cast<std::uint64_t>(node.Membership().Joined());
  map["membership_ended"] = node.Membership().Ended();
  map["settings"] = SettingsMap(shared.settings);
  map["requests"] = RequestRows(node, now);
  map["operations"] = OperationRows(node, now);
  map["jobs"] = JobRows(node, now);
  map["control"] = ControlMap(node);
  map["store"] = StoreMap(shared.store);
  map["partitions"] = PartitionMap(node);
  map["held_fingerprints"] = node.Dispatcher().Health().Guard().size();
}

}  // namespace bambootack::node

#include "bambootack/config/ticket_writer.h"

#include <fmt/format.h>

#include <utility>

namespace bambootack::config {
namespace {

report::Map ToMap(const Server& it) {
  return {{"id", it.id},
          {"address", it.address},
          {"failure_domain", it.failure_domain},
          {"slots", it.slots},
          {"pin", kPinNames.Name(it.pin)},
          {"leaving", it.leaving}};
}

report::Map ToMap(const Route& it) { return RouteFields(it); }

report::Map ToMap(const RankPolicy& it) {
  return {{"name", core::kRankNames.Name(it.rank)},
          {"target_ms", core::ToMilliseconds(it.target)},
          {"share", it.share}};
}

report::Map ToMap(const Limit& it) {
  return {{"id", it.id},
          {"service", it.service},
          {"route", it.route},
          {"customer", it.customer},
          {"rank", it.rank ? core::kRankNames.Name(*it.rank) : ""},
          {"per_second", it.per_second},
          {"burst", it.burst}};
}

template <typename Objects>
report::List ToList(const Objects& objects);

report::Map ToMap(const Service& it) {
  return {{"id", it.id},
          {"floor_slots", it.floor_slots},
          {"retry_budget", it.retry_budget},
          {"server", ToList(it.servers)}};
}

template <typename Objects>
report::List ToList(const Objects& objects) {
  report::List list;
  for (const auto& it : objects) {
    list.emplace_back(ToMap(it));
  }
  return list;
}

void AddIds(report::Map& map, const char* key,
            const std::vector<std::string>& ids) {
  if (!ids.empty()) {
    map[key] = report::List(ids.begin(), ids.end());
  }
}

}  // namespace

report::Map RouteFields(const Route& route) {
  return {{"id", route.id},
          {"method", route.method},
          {"path", route.path},
          {"service", route.service},
          {"rank", core::kRankNames.Name(route.rank)},
          {"kind", core::kOperationKindNames.Name(route.kind)},
          {"timeout_ms", core::ToMilliseconds(route.timeout)},
          {"mint_key", route.mint_key}};
}

std::string WriteTicket(const Ticket& ticket) {
  report::Map map{{"number", ticket.number}, {"author", ticket.author}};
  const auto add = [&](const char* key, report::List list) {
    if (!list.empty()) {
      map[key] = std::move(list);
    }
  };
  add("service", ToList(ticket.services));
  add("route", ToList(ticket.routes));
  add("limit", ToList(ticket.limits));
  if (ticket.ranks) {
    add("rank", ToList(*ticket.ranks));
  }
  AddIds(map, "remove_services", ticket.removed_services);
  AddIds(map, "remove_routes", ticket.removed_routes);
  AddIds(map, "remove_limits", ticket.removed_limits);
  return report::Write(map, report::Format::kToml);
}

Ticket TicketInForce(const Store& store) {
  const FleetConfig& config = store.Config();
  Ticket ticket;
  ticket.number = store.HighestNumber();
  for (const auto& [id, it] : config.services) {
    ticket.services.push_back(it);
  }
  for (const auto& [id, it] : config.routes) {
    ticket.routes.push_back(it);
  }
  for (const auto& [id, it] : config.limits) {
    ticket.limits.push_back(it);
  }
  ticket.ranks.emplace(config.ranks.begin(), config.ranks.end());
  return ticket;
}

std::variant<Ticket, std::string> PinTicket(const Store& store,
                                            std::string_view server, Pin pin) {
  Ticket ticket;
  ticket.number = store.HighestNumber() + 1;
  for (const auto& [id, service] : store.Config().services) {
    for (std::size_t i = 0; i < service.servers.size(); ++i) {
      const std::string& name = service.servers[i].id;
      if (server != name && server != fmt::format("{}/{}", id, name)) {
        continue;
      }
      ticket.services.push_back(service);
      ticket.services.back().servers[i].pin = pin;
    }
  }
  if (ticket.services.empty()) {
    return fmt::format("no server {}", server);
  }
  if (ticket.services.size() > 1) {
    return fmt::format("{} is a server of several services; name it as {}/{}",
                       server, ticket.services.front().id, server);
  }
  return ticket;
}

}  // namespace bambootack::config

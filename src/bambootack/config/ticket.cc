#include "bambootack/config/ticket.h"

#include <boost/leaf/error.hpp>
#include <numeric>
#include <set>

#include "bambootack/core/error_kind.h"
#include "bambootack/toml/reader.h"

namespace bambootack::config {
namespace {

using toml_reader::Reader;

constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxTimeoutMs = 600'000;

Server ReadServer(Reader& reader) {
  Server server;
  server.id = reader.String("id");
  server.address = reader.String("address");
  server.failure_domain = reader.String("failure_domain");
  server.slots = static_cast<int>(reader.Integer("slots", 1, kMaxSlots));
  server.pin = reader.Enum("pin", kPinNames, &server.pin);
  server.leaving = reader.Boolean("leaving", false);
  return server;
}

Service ReadService(Reader& reader) {
  Service service;
  service.id = reader.String("id");
  service.floor_slots =
      static_cast<int>(reader.Integer("floor_slots", 0, kMaxSlots * 1000));
  service.retry_budget = reader.Number("retry_budget", 0.0, 1.0, 0.1);
  std::set<std::string> ids;
  reader.Tables("server", [&](Reader& it) {
    service.servers.push_back(ReadServer(it));
    if (!ids.insert(service.servers.back().id).second) {
      it.Fail("id", "must be unique within the service");
    }
  });
  const int slots =
      std::accumulate(service.servers.begin(), service.servers.end(), 0,
                      [](int sum, const Server& it) { return sum + it.slots; });
  if (service.floor_slots > slots) {
    reader.Fail(
        "floor_slots",
        fmt::format("must not exceed the {} slots of the servers", slots));
  }
  return service;
}

Route ReadRoute(Reader& reader) {
  Route route;
  route.id = reader.String("id");
  route.method = reader.String("method");
  route.path = reader.String("path");
  if (!route.path.starts_with('/')) {
    reader.Fail("path", "must start with /");
  }
  route.service = reader.String("service");
  route.rank = reader.Enum("rank", core::kRankNames);
  route.kind = reader.Enum("kind", core::kOperationKindNames);
  route.timeout =
      reader.Milliseconds("timeout_ms", 1, kMaxTimeoutMs, route.timeout);
  route.mint_key = reader.Boolean("mint_key", false);
  return route;
}

RankPolicy ReadRank(Reader& reader) {
  RankPolicy policy;
  policy.rank = reader.Enum("name", core::kRankNames);
  policy.target =
      reader.Milliseconds("target_ms", 1, kMaxTimeoutMs, policy.target);
  policy.share = reader.Number("share", 0.0, 1.0, 0.0);
  return policy;
}

Limit ReadLimit(Reader& reader) {
  Limit limit;
  limit.id = reader.String("id");
  limit.service = reader.String("service", "");
  limit.route = reader.String("route", "");
  limit.customer = reader.String("customer", "");
  if (const std::string rank = reader.String("rank", ""); !rank.empty()) {
    limit.rank = reader.Enum("rank", core::kRankNames);
  }
  limit.per_second = reader.Number("per_second", 0.0, 1e9, 0.0);
  limit.burst = reader.Number("burst", 1.0, 1e9, 1.0);
  return limit;
}

void ReadRanks(Reader& reader, Ticket& ticket) {
  std::vector<RankPolicy> ranks;
  const bool present =
      reader.Tables("rank", [&](Reader& it) { ranks.push_back(ReadRank(it)); });
  if (!present) {
    return;
  }
  double total = 0.0;
  std::set<core::Rank> seen;
  for (const RankPolicy& it : ranks) {
    total += it.share;
    seen.insert(it.rank);
  }
  if (seen.size() != core::kRankCount || ranks.size() != core::kRankCount) {
    reader.Fail("rank", "must name urgent, normal and background once each");
  }
  if (total > 1.0) {
    reader.Fail("rank", "the shares must not add up to more than 1");
  }
  ticket.ranks = std::move(ranks);
}

/// Notes the line of an object; a second object of the same name is an error.
void Note(Reader& reader, Ticket& ticket, std::string object) {
  if (!ticket.lines.emplace(std::move(object), reader.Line()).second) {
    reader.Fail("id", "must be unique within the ticket");
  }
}

/// Reads a list of ids to remove. An id cannot be set and removed at once.
std::vector<std::string> ReadRemoved(Reader& reader, Ticket& ticket,
                                     std::string_view key,
                                     std::string_view kind) {
  std::vector<std::string> ids = reader.Strings(key);
  for (const std::string& id : ids) {
    if (!ticket.lines.emplace(fmt::format("{}/{}", kind, id), reader.Line(key))
             .second) {
      reader.Fail(key, fmt::format("{} is named twice", id));
    }
  }
  return ids;
}

Ticket ReadTicket(Reader& reader, std::string_view source) {
  Ticket ticket;
  ticket.source = source;
  ticket.number = static_cast<std::uint64_t>(
      reader.Integer("number", 1, std::numeric_limits<std::int64_t>::max()));
  ticket.lines["number"] = reader.Line("number");
  ticket.author = reader.String("author", "");
  reader.Tables("service", [&](Reader& it) {
    ticket.services.push_back(ReadService(it));
    Note(it, ticket, "service/" + ticket.services.back().id);
  });
  reader.Tables("route", [&](Reader& it) {
    ticket.routes.push_back(ReadRoute(it));
    Note(it, ticket, "route/" + ticket.routes.back().id);
  });
  reader.Tables("limit", [&](Reader& it) {
    ticket.limits.push_back(ReadLimit(it));
    Note(it, ticket, "limit/" + ticket.limits.back().id);
  });
  ReadRanks(reader, ticket);
  ticket.removed_services =
      ReadRemoved(reader, ticket, "remove_services", "service");
  ticket.removed_routes = ReadRemoved(reader, ticket, "remove_routes", "route");
  ticket.removed_limits = ReadRemoved(reader, ticket, "remove_limits", "limit");
  return ticket;
}

}  // namespace

std::uint32_t LineOf(const Ticket& ticket, std::string_view object) noexcept {
  const auto it = ticket.lines.find(object);
  return it != ticket.lines.end() ? it->second : 1;
}

boost::leaf::result<Ticket> ParseTicket(std::string_view text,
                                        std::string_view source) {
  Ticket ticket;
  std::string problem = toml_reader::ReadDocument(
      text, source,
      [&](Reader& reader) { ticket = ReadTicket(reader, source); });
  if (!problem.empty()) {
    return boost::leaf::new_error(
        core::Error{core::ErrorKind::kTicketMalformed, std::move(problem)});
  }
  return ticket;
}

}  // namespace bambootack::config

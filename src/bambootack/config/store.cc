#include "bambootack/config/store.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "bambootack/config/cross_check.h"
#include "bambootack/core/hash.h"

namespace bambootack::config {
namespace {

constexpr std::string_view kServicePrefix = "service/";
constexpr std::string_view kRoutePrefix = "route/";
constexpr std::string_view kLimitPrefix = "limit/";
constexpr std::string_view kRanksName = "ranks";

template <typename Objects>
void AddNames(std::vector<std::string>& names, std::string_view prefix,
              const Objects& objects) {
  for (const auto& it : objects) {
    if constexpr (requires { it.id; }) {
      names.push_back(fmt::format("{}{}", prefix, it.id));
    } else {
      names.push_back(fmt::format("{}{}", prefix, it));
    }
  }
}

std::vector<std::string> ObjectsOf(const Ticket& ticket) {
  std::vector<std::string> names;
  AddNames(names, kServicePrefix, ticket.services);
  AddNames(names, kServicePrefix, ticket.removed_services);
  AddNames(names, kRoutePrefix, ticket.routes);
  AddNames(names, kRoutePrefix, ticket.removed_routes);
  AddNames(names, kLimitPrefix, ticket.limits);
  AddNames(names, kLimitPrefix, ticket.removed_limits);
  if (ticket.ranks) {
    names.emplace_back(kRanksName);
  }
  return names;
}

std::uint64_t HashOf(std::uint64_t a, std::uint64_t b) {
  const std::array<std::uint64_t, 2> pair{a, b};
  return core::HashBytes(
      {reinterpret_cast<const char*>(pair.data()), sizeof(pair)});
}

template <typename Map>
void CopyObject(Map& to, const Map& from, std::string_view id) {
  const auto it = from.find(id);
  if (it != from.end()) {
    to.insert_or_assign(it->first, it->second);
  } else if (const auto mine = to.find(id); mine != to.end()) {
    to.erase(mine);
  }
}

/// Calls a function with the maps that hold a named object and with its id.
template <typename F>
void WithMap(FleetConfig& to, const FleetConfig& from, std::string_view name,
             F use) {
  if (name.starts_with(kServicePrefix)) {
    use(to.services, from.services, name.substr(kServicePrefix.size()));
  } else if (name.starts_with(kRoutePrefix)) {
    use(to.routes, from.routes, name.substr(kRoutePrefix.size()));
  } else if (name.starts_with(kLimitPrefix)) {
    use(to.limits, from.limits, name.substr(kLimitPrefix.size()));
  }
}

void TakeObject(FleetConfig& to, const FleetConfig& from,
                std::string_view name) {
  if (name == kRanksName) {
    to.ranks = from.ranks;
    return;
  }
  WithMap(to, from, name, [](auto& mine, const auto& theirs, auto id) {
    CopyObject(mine, theirs, id);
  });
}

bool Exists(const FleetConfig& config, std::string_view name) {
  const auto has = [&](const auto& map, std::string_view prefix) {
    return name.starts_with(prefix) && map.contains(name.substr(prefix.size()));
  };
  return name == kRanksName || has(config.services, kServicePrefix) ||
         has(config.routes, kRoutePrefix) || has(config.limits, kLimitPrefix);
}

std::vector<AcceptedTicket> MergeRecent(std::vector<AcceptedTicket> a,
                                        const std::vector<AcceptedTicket>& b) {
  const auto same = [](const AcceptedTicket& x, const AcceptedTicket& y) {
    return x.number == y.number && x.body_hash == y.body_hash;
  };
  for (const AcceptedTicket& it : b) {
    if (std::none_of(a.begin(), a.end(),
                     [&](const auto& own) { return same(own, it); })) {
      a.push_back(it);
    }
  }
  std::stable_sort(a.begin(), a.end(),
                   [](const auto& x, const auto& y) { return x.at < y.at; });
  if (a.size() > kMaxRecentTickets) {
    a.erase(a.begin(), a.end() - kMaxRecentTickets);
  }
  return a;
}

}  // namespace

std::string Store::Winner(std::uint64_t number) const {
  const auto it = std::find_if(
      state_.recent.rbegin(), state_.recent.rend(),
      [&](const AcceptedTicket& ticket) { return ticket.number == number; });
  if (it == state_.recent.rend()) {
    return fmt::format("ticket {}", number);
  }
  return fmt::format("ticket {} of {} at offset {}", number,
                     it->author.empty() ? "an unnamed author" : it->author,
                     it->at.offset);
}

Verdict Store::Judge(const Ticket& ticket, const RecordInfo& record) const {
  for (const AcceptedTicket& it : state_.recent) {
    if (it.number == ticket.number && it.body_hash == record.body_hash &&
        record.body_hash != 0) {
      return {false, core::ErrorKind::kTicketConflict,
              Winner(it.number) + " has the same content and is in force",
              true};
    }
  }
  if (state_.numbers.Contains(ticket.number)) {
    return {false, core::ErrorKind::kTicketConflict,
            fmt::format("{} won the number; the next free number is {}",
                        Winner(ticket.number), HighestNumber() + 1)};
  }
  if (ticket.number <= state_.lowest_number) {
    return {false, core::ErrorKind::kTicketStale,
            fmt::format("numbers up to {} are closed; the next free number "
                        "is {}",
                        state_.lowest_number, HighestNumber() + 1)};
  }
  if (HasState() && ticket.number > HighestNumber() + kMaxNumberStep) {
    return {false, core::ErrorKind::kTicketMalformed,
            fmt::format("{}:{}: number: must be at most {}, {} above the "
                        "highest in force",
                        ticket.source, LineOf(ticket, "number"),
                        HighestNumber() + kMaxNumberStep, kMaxNumberStep)};
  }
  for (const std::string& name : ObjectsOf(ticket)) {
    const auto it = state_.marks.find(name);
    if (it != state_.marks.end() && it->second.number > ticket.number) {
      return {false, core::ErrorKind::kTicketStale,
              fmt::format("{} is set by {}; the next free number is {}", name,
                          Winner(it->second.number), HighestNumber() + 1)};
    }
  }
  std::string problem = CrossCheck(state_.config, ticket);
  if (!problem.empty()) {
    return {false, core::ErrorKind::kTicketMalformed, std::move(problem)};
  }
  return {true, {}, {}};
}

Verdict Store::Apply(const Ticket& ticket, const RecordInfo& record) {
  Verdict verdict = Judge(ticket, record);
  if (!verdict.accepted) {
    return verdict;
  }
  state_.numbers.Insert(ticket.number, ticket.number);
  state_.numbers.Compact(kMaxNumberRanges);
  for (const std::string& name : ObjectsOf(ticket)) {
    state_.marks[name] = {ticket.number, record.body_hash};
  }
  ReplaceObjects(state_.config, ticket);
  Remember(ticket, record);
  DropRemovedMarks();
  UpdateDigest();
  return verdict;
}

void Store::Remember(const Ticket& ticket, const RecordInfo& record) {
  state_.recent.push_back({ticket.number, record.body_hash, ticket.author,
                           record.id, state_.position});
  if (state_.recent.size() > kMaxRecentTickets) {
    state_.recent.erase(state_.recent.begin());
  }
}

void Store::DropRemovedMarks() {
  const FleetConfig& config = state_.config;
  const std::size_t live =
      config.services.size() + config.routes.size() + config.limits.size() + 1;
  if (state_.marks.size() <= live + kMaxRemovedMarks) {
    return;
  }
  std::vector<std::uint64_t> removed;
  for (const auto& [name, mark] : state_.marks) {
    if (!Exists(config, name)) {
      removed.push_back(mark.number);
    }
  }
  if (removed.size() <= kMaxRemovedMarks) {
    return;
  }
  const std::size_t surplus = removed.size() - kMaxRemovedMarks;
  std::nth_element(removed.begin(),
                   removed.begin() + static_cast<std::ptrdiff_t>(surplus - 1),
                   removed.end());
  state_.lowest_number = std::max(state_.lowest_number, removed[surplus - 1]);
  std::erase_if(state_.marks, [&](const auto& it) {
    return it.second.number <= state_.lowest_number &&
           !Exists(config, it.first);
  });
}

void Store::Advance(Position position, std::string_view last_id) {
  if (position > state_.position) {
    state_.position = position;
    state_.last_id = last_id;
  }
}

bool Store::Join(const State& other) {
  const std::uint64_t before = digest_;
  std::set<std::string, std::less<>> names;
  for (const auto& it : state_.marks) {
    names.insert(it.first);
  }
  for (const auto& it : other.marks) {
    names.insert(it.first);
  }
  for (const std::string& name : names) {
    const auto mine = state_.marks.find(name);
    const auto theirs = other.marks.find(name);
    // A mark that one side lacks, at or below the side's lowest number, was
    // dropped there after the removal of its object.
    const ObjectMark own = mine != state_.marks.end()
                               ? mine->second
                               : ObjectMark{state_.lowest_number, ~0ULL};
    const ObjectMark their = theirs != other.marks.end()
                                 ? theirs->second
                                 : ObjectMark{other.lowest_number, ~0ULL};
    if (their > own) {
      TakeObject(state_.config, other.config, name);
      if (theirs != other.marks.end()) {
        state_.marks[name] = their;
      } else {
        state_.marks.erase(name);
      }
    }
  }
  state_.numbers.InsertAll(other.numbers);
  state_.numbers.Compact(kMaxNumberRanges);
  state_.lowest_number = std::max(state_.lowest_number, other.lowest_number);
  state_.recent = MergeRecent(std::move(state_.recent), other.recent);
  DropRemovedMarks();
  Advance(other.position, other.last_id);
  UpdateDigest();
  return digest_ != before;
}

void Store::UpdateDigest() {
  // A sum of hashes does not depend on the order, and an empty store sums to 0.
  digest_ = state_.lowest_number;
  for (const auto& [first, last] : state_.numbers.All()) {
    digest_ += HashOf(first, last);
  }
  for (const auto& [name, mark] : state_.marks) {
    digest_ += core::HashBytes(name, HashOf(mark.number, mark.body_hash));
  }
}

}  // namespace bambootack::config

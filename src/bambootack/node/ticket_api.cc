#include "bambootack/node/ticket_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <utility>

#include "bambootack/config/ticket_writer.h"
#include "bambootack/node/answers.h"
#include "bambootack/report/value.h"

namespace bambootack::node {
namespace {

std::string ShowConfiguration(const Shared& shared) {
  const config::State& state = shared.store.Whole();
  std::string text =
      fmt::format("# Configuration in force at position {}:{}.\n",
                  state.position.generation, state.position.offset);
  for (const auto& it : state.recent) {
    text += fmt::format("# ticket {} of {} at {}:{}\n", it.number,
                        it.author.empty() ? "an unnamed author" : it.author,
                        it.at.generation, it.at.offset);
  }
  return text + config::WriteTicket(config::TicketInForce(shared.store));
}

/// Position after the record of an accepted ticket.
std::optional<config::Position> PositionAfter(const Shared& shared,
                                              std::uint64_t number) {
  for (const config::AcceptedTicket& it : shared.store.Whole().recent) {
    if (it.number == number) {
      return config::Position{it.at.generation, it.at.offset + 1};
    }
  }
  return std::nullopt;
}

report::Map Progress(std::uint64_t number, config::Position after,
                     const spread::PeerTable& peers) {
  std::int64_t in_force = 1;
  report::List lacking;
  for (const spread::Peer& it : peers.All()) {
    if (it.reached >= after) {
      ++in_force;
    } else {
      lacking.emplace_back(static_cast<std::uint32_t>(it.vm));
    }
  }
  return {{"ticket", number},
          {"vms", peers.All().size() + 1},
          {"in_force", in_force},
          {"lacking", std::move(lacking)}};
}

}  // namespace

ParsedTicket ParseTicket(std::string_view text, std::string_view source) {
  namespace leaf = boost::leaf;
  ParsedTicket parsed;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(parsed.ticket, config::ParseTicket(text, source));
        return {};
      },
      [&](const core::Error& error) { parsed.problem = error.detail; },
      [&] { parsed.problem = "unreadable ticket"; });
  return parsed;
}

core::HttpAnswer ShowTickets(std::string_view path, bool json,
                             const Shared& shared,
                             const spread::PeerTable& peers) {
  if (path.empty()) {
    return TextAnswer(200, ShowConfiguration(shared));
  }
  std::uint64_t number = 0;
  const auto parsed =
      std::from_chars(path.data() + 1, path.data() + path.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != path.data() + path.size()) {
    return OperatorError(core::ErrorKind::kUnknownCommand, path);
  }
  const auto after = PositionAfter(shared, number);
  if (!after) {
    return OperatorError(core::ErrorKind::kUnknownCommand,
                         fmt::format("ticket {} is not among the last {} "
                                     "tickets in force on this VM",
                                     number, config::kMaxRecentTickets));
  }
  return TextAnswer(
      200, report::Write(Progress(number, *after, peers),
                         json ? report::Format::kJson : report::Format::kToml));
}

}  // namespace bambootack::node

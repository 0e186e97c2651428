#ifndef BAMBOOTACK_NODE_TICKET_API_H_
#define BAMBOOTACK_NODE_TICKET_API_H_

#include <string>
#include <string_view>

#include "bambootack/config/ticket.h"
#include "bambootack/node/context.h"
#include "bambootack/spread/peer_table.h"

namespace bambootack::node {

/// @brief A ticket, or the reason why it is malformed.
struct ParsedTicket {
  config::Ticket ticket;
  std::string problem;  ///< Empty if the ticket is valid.
};

/// @brief Reads a ticket.
/// @param text TOML text.
/// @param source Name of the file for messages.
/// @return The ticket or the problem.
[[nodiscard]] ParsedTicket ParseTicket(std::string_view text,
                                       std::string_view source);

/// @brief Answers a request to show tickets.
/// @param path Rest of the path: empty for the configuration in force, "/N" for
/// the VMs on which ticket N is in force.
/// @param json Whether to answer the latter with JSON.
/// @param shared Shared state.
/// @param peers The other VMs.
/// @return The answer.
[[nodiscard]] core::HttpAnswer ShowTickets(std::string_view path, bool json,
                                           const Shared& shared,
                                           const spread::PeerTable& peers);

}  // namespace bambootack::node

#endif  // BAMBOOTACK_NODE_TICKET_API_H_

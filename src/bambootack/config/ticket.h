#ifndef BAMBOOTACK_CONFIG_TICKET_H_
#define BAMBOOTACK_CONFIG_TICKET_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/config/model.h"

namespace bambootack::config {

/// @brief A numbered change with the whole new state of what it touches.
struct Ticket {
  std::uint64_t number = 0;
  std::string author;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<Limit> limits;
  std::optional<std::vector<RankPolicy>> ranks;
  std::vector<std::string> removed_services;
  std::vector<std::string> removed_routes;
  std::vector<std::string> removed_limits;
  std::string source = "ticket";  ///< Name of the file for messages.
  /// Line of each object, by "service/ID", "route/ID", "limit/ID", "number".
  std::map<std::string, std::uint32_t, std::less<>> lines;
};

/// @brief Line of an object in the ticket's text.
/// @param ticket The ticket.
/// @param object Name as in `Ticket::lines`.
/// @return The line, 1 if it is not known.
[[nodiscard]] std::uint32_t LineOf(const Ticket& ticket,
                                   std::string_view object) noexcept;

/// @brief Reads a ticket from TOML text and checks every field.
/// @param text TOML text.
/// @param source Name of the file for error messages.
/// @return The ticket, or `core::Error` of kind `kTicketMalformed` with source,
/// line and reason.
[[nodiscard]] boost::leaf::result<Ticket> ParseTicket(std::string_view text,
                                                      std::string_view source);

}  // namespace bambootack::config

#endif  // BAMBOOTACK_CONFIG_TICKET_H_

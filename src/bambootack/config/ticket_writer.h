#ifndef BAMBOOTACK_CONFIG_TICKET_WRITER_H_
#define BAMBOOTACK_CONFIG_TICKET_WRITER_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "bambootack/config/store.h"
#include "bambootack/config/ticket.h"
#include "bambootack/report/value.h"

namespace bambootack::config {

/// @brief Fields of a route as they stand in tickets and dumps.
/// @param route The route.
/// @return Its fields.
[[nodiscard]] report::Map RouteFields(const Route& route);

/// @brief Writes a ticket as TOML. `ParseTicket` reads back the same objects.
/// @param ticket The ticket.
/// @return TOML text.
[[nodiscard]] std::string WriteTicket(const Ticket& ticket);

/// @brief Ticket with every object in force.
/// @param store The store.
/// @return The ticket, numbered with the highest number in force.
[[nodiscard]] Ticket TicketInForce(const Store& store);

/// @brief Ticket that changes the pin of one server: its service as in force
/// with the changed pin, and the next number.
/// @param store The store.
/// @param server Id of the server, or "SERVICE/ID" where the id is ambiguous.
/// @param pin The new pin.
/// @return The ticket, or the reason why there is none.
[[nodiscard]] std::variant<Ticket, std::string> PinTicket(
    const Store& store, std::string_view server, Pin pin);

}  // namespace bambootack::config

#endif  // BAMBOOTACK_CONFIG_TICKET_WRITER_H_

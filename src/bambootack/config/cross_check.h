#ifndef BAMBOOTACK_CONFIG_CROSS_CHECK_H_
#define BAMBOOTACK_CONFIG_CROSS_CHECK_H_

#include <string>

#include "bambootack/config/model.h"
#include "bambootack/config/ticket.h"

namespace bambootack::config {

/// @brief Replaces the objects that a ticket touches.
/// @param config Configuration to change.
/// @param ticket The ticket.
void ReplaceObjects(FleetConfig& config, const Ticket& ticket);

/// @brief Checks a ticket's references against the configuration in force.
/// @param config Configuration in force.
/// @param ticket The ticket.
/// @return "SOURCE:LINE: reason" of the first violation, or an empty text.
[[nodiscard]] std::string CrossCheck(const FleetConfig& config,
                                     const Ticket& ticket);

}  // namespace bambootack::config

#endif  // BAMBOOTACK_CONFIG_CROSS_CHECK_H_

#ifndef GATEWAY_IDENTITY_H_
#define GATEWAY_IDENTITY_H_

#include <string>

#include "bambootack/core/ids.h"
#include "bambootack/gateway/gateway.h"
#include "bambootack/gateway/settings.h"
#include "platform/fleet_limits.h"

namespace bambootack::gateway_daemon {

/// @brief Derives the id of a VM from its IPv4 address, which is unique in the
/// fleet.
/// @param address IP:port of the VM.
[[nodiscard]] core::VmId VmIdOf(const std::string& address);

/// @brief Generates a random key for the messages of a fleet.
/// @return 64 hex digits.
/// @throw std::runtime_error if libsodium cannot be initialized.
[[nodiscard]] std::string GenerateFleetKey();

/// @brief Derives the options of the gateway from the settings of its daemon
/// and the limits of the platform, with a random secret for API keys.
/// @throw std::runtime_error if libsodium cannot be initialized.
[[nodiscard]] gateway::GatewayOptions MakeGatewayOptions(
    const gateway::GatewaySettings& settings,
    const platform::FleetLimits& limits);

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_IDENTITY_H_

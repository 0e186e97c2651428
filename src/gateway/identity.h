#ifndef GATEWAY_IDENTITY_H_
#define GATEWAY_IDENTITY_H_

#include <string>

#include "bambootack/core/ids.h"
#include "bambootack/gateway/gateway.h"
#include "bambootack/gateway/settings.h"

namespace bambootack::gateway_daemon {

/// @brief Number of a VM. Its address is unique in the fleet.
/// @param address IP:port of the VM.
/// @return The number.
[[nodiscard]] core::VmId NumberOf(const std::string& address);

/// @brief Draws a key for the messages of a fleet.
/// @return 64 hex digits.
/// @throw std::runtime_error if libsodium cannot be initialized.
[[nodiscard]] std::string DrawKey();

/// @brief Options of the gateway of a VM.
/// @param settings Settings of the daemon.
/// @return The options.
[[nodiscard]] gateway::GatewayOptions OptionsOf(
    const gateway::GatewaySettings& settings);

}  // namespace bambootack::gateway_daemon

#endif  // GATEWAY_IDENTITY_H_

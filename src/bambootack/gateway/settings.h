#ifndef BAMBOOTACK_GATEWAY_SETTINGS_H_
#define BAMBOOTACK_GATEWAY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bambootack/core/time.h"
#include "bambootack/settings/settings.h"

namespace bambootack::gateway {

/// @brief Settings of a gateway daemon.
struct GatewaySettings {
  std::string name;  ///< Name of the VM in logs.
  std::string failure_domain;
  std::string caller_address;        ///< IP:port for callers.
  std::string operator_address;      ///< IP:port for readiness and reports.
  std::string metrics_address;       ///< IP:port for metrics.
  std::string peer_address;          ///< IP:port for peers.
  std::string store_address;         ///< IP:port of the platform's store.
  std::string platform_bounds;       ///< Limits in the platform's own format.
  std::int64_t memory_mb = 0;        ///< Memory of the VM; 0: not known.
  std::int64_t max_descriptors = 0;  ///< Of the process; 0: not known.
  bool first_start = false;  ///< The whole fleet starts for the first time.
  settings::LogLevel log_level = settings::LogLevel::kInfo;
  /// Time that a graceful shutdown may take; absent or 0 in the
  /// file: the platform's.
  std::optional<core::Duration> stop_limit;
};

/// @brief Parses settings in TOML and checks every key.
/// @param source Name of the file for error messages.
/// @return The settings, or `core::Error` of kind `kSettingsInvalid` that names
/// file, line, key and what is allowed.
[[nodiscard]] boost::leaf::result<GatewaySettings> ParseSettings(
    std::string_view text, std::string_view source);

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_SETTINGS_H_

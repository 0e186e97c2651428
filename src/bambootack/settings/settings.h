#ifndef BAMBOOTACK_SETTINGS_SETTINGS_H_
#define BAMBOOTACK_SETTINGS_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"

namespace bambootack::settings {

/// @brief Least severe log events that are written.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// @brief Names of the log levels.
inline constexpr core::EnumNames<LogLevel, 4> kLogLevelNames{
    {"debug", "info", "warning", "error"}};

/// @brief Who decides where a request runs.
enum class DispatchMode : std::uint8_t {
  kGroup,  ///< One dispatcher for each group of servers.
  kLocal,  ///< Every entry for itself; the baseline of measurements.
};

/// @brief Names of the dispatch modes.
inline constexpr core::EnumNames<DispatchMode, 2> kDispatchModeNames{
    {"group", "local"}};

/// @brief Another VM of the fleet.
struct Peer {
  core::VmId vm{};
  std::string address;  ///< IP:port for TCP and UDP between VMs.
  std::string failure_domain;

  friend bool operator==(const Peer&, const Peer&) = default;
};

/// @brief Settings of one daemon.
struct Settings {
  core::VmId vm{};
  std::string failure_domain;
  std::string caller_address;    ///< IP:port for callers.
  std::string operator_address;  ///< IP:port for operators.
  std::string peer_address;      ///< IP:port for other VMs.
  std::string platform_address;  ///< IP:port of the log and VM list.
  std::string operator_token;
  std::vector<std::string> peer_keys;  ///< Hex keys, the first one seals.
  std::vector<Peer> peers;             ///< First VMs to contact.
  LogLevel log_level = LogLevel::kInfo;
  DispatchMode dispatch = DispatchMode::kGroup;
  std::uint32_t traffic_threads = 2;
  /// Time after the start of a planned stop in which requests still arrive,
  /// because the load balancer has yet to notice that the VM is not ready.
  core::Duration stop_grace = std::chrono::seconds(2);
  core::Duration stop_limit = std::chrono::seconds(30);
};

/// @brief Reads settings from TOML text and checks every key.
/// @param text TOML text.
/// @param source Name of the file for error messages.
/// @return The settings, or `core::Error` of kind `kSettingsInvalid` that names
/// file, line, key and what is allowed.
[[nodiscard]] boost::leaf::result<Settings> Parse(std::string_view text,
                                                  std::string_view source);

}  // namespace bambootack::settings

#endif  // BAMBOOTACK_SETTINGS_SETTINGS_H_

#ifndef BAMBOOTACK_GATEWAY_ROUTE_TABLE_H_
#define BAMBOOTACK_GATEWAY_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/gateway/model.h"

namespace bambootack::gateway {

/// @brief Routes of one configuration, indexed by host and path prefix.
class RouteTable {
 public:
  RouteTable() = default;

  /// @brief Builds the index.
  /// @param config The configuration.
  explicit RouteTable(GatewayConfig config);

  /// @brief Finds the route of a request.
  /// @param host Value of its host field, with or without a port.
  /// @param path Path of its target.
  /// @return The route of that host with the longest matching prefix, or null.
  [[nodiscard]] const GatewayRoute* Find(std::string_view host,
                                         std::string_view path) const;

  /// @brief Tells whether the requests of a route can wait for more urgent ones
  /// of the same service.
  /// @param service The service.
  /// @param route The route.
  /// @return True if they may be repeated and have several times as long a
  /// target as the most urgent requests of the service.
  [[nodiscard]] bool IsDelayTolerant(std::string_view service,
                                     const GatewayRoute& route) const;

  /// @brief Version of the configuration, zero before the first one.
  /// @return The version.
  [[nodiscard]] std::uint64_t Version() const noexcept {
    return config_.version;
  }

  /// @brief The configuration.
  /// @return The configuration.
  [[nodiscard]] const GatewayConfig& Config() const noexcept { return config_; }

 private:
  using Prefixes = std::map<std::string, std::size_t, std::less<>>;

  GatewayConfig config_;
  std::map<std::string, Prefixes, std::less<>> hosts_;
  /// Most urgent route to each service.
  std::map<std::string, std::size_t, std::less<>> most_urgent_;
};

/// @brief Chooses the service of one request among the parts of a route. The
/// same request id gives the same part on every VM, so that the shares hold
/// over the fleet without shared state.
/// @param route The route.
/// @param request_id Id of the request.
/// @return The service, or an empty name if no part has a weight.
[[nodiscard]] std::string_view ChooseService(const GatewayRoute& route,
                                             std::string_view request_id);

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_ROUTE_TABLE_H_

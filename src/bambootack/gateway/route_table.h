#ifndef BAMBOOTACK_GATEWAY_ROUTE_TABLE_H_
#define BAMBOOTACK_GATEWAY_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/customers/directory.h"
#include "bambootack/gateway/model.h"

namespace bambootack::gateway {

/// @brief Routes of one configuration, indexed by host and path prefix, and its
/// customers.
class RouteTable {
 public:
  RouteTable() = default;

  /// @param secret Secret under which the API keys are hashed.
  explicit RouteTable(GatewayConfig config,
                      const customers::HashSecret& secret = {});

  /// @brief Finds the route of a request.
  /// @param host Value of the Host field, with or without a port.
  /// @param path Path of the request target, without a query.
  /// @return The route of that host with the longest matching prefix, or null
  /// if none matches.
  [[nodiscard]] const GatewayRoute* Find(std::string_view host,
                                         std::string_view path) const;

  /// @brief Whether requests of a route can wait for more urgent ones of the
  /// same service: they are repeatable and have a latency target several times
  /// that of the service's most urgent route.
  [[nodiscard]] bool IsDelayTolerant(std::string_view service,
                                     const GatewayRoute& route) const;

  /// @brief Version of the configuration, 0 before the first one.
  [[nodiscard]] std::uint64_t Version() const noexcept {
    return config_.version;
  }

  /// @brief Customers of the configuration.
  [[nodiscard]] const customers::Directory& Customers() const noexcept {
    return customers_;
  }

  [[nodiscard]] const GatewayConfig& Config() const noexcept { return config_; }

 private:
  using Prefixes = std::map<std::string, std::size_t, std::less<>>;

  GatewayConfig config_;
  customers::Directory customers_;
  std::map<std::string, Prefixes, std::less<>> hosts_;
  /// Index of the most urgent route of each service.
  std::map<std::string, std::size_t, std::less<>> most_urgent_;
};

/// @brief Chooses the service of a request by the weights of a route. Every VM
/// chooses the same service for a request id, so that the shares hold over the
/// fleet without shared state.
/// @return The service, or an empty name if all weights are 0.
[[nodiscard]] std::string_view ChooseService(const GatewayRoute& route,
                                             std::string_view request_id);

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_ROUTE_TABLE_H_

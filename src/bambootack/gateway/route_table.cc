#include "bambootack/gateway/route_table.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::gateway {
namespace {

/// Minimum ratio of the latency target of a delay-tolerant route to that of the
/// most urgent route of the service. Such requests lose little by waiting for
/// more urgent ones.
constexpr int kDelayTolerantFactor = 4;

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

/// Maps a hash to [0, 1).
double ToUnitInterval(std::uint64_t hash) {
  constexpr int kMantissaBits = 53;
  return static_cast<double>(hash >> (64 - kMantissaBits)) /
         static_cast<double>(1ULL << kMantissaBits);
}

}  // namespace

RouteTable::RouteTable(GatewayConfig config,
                       const customers::HashSecret& secret)
    : config_(std::move(config)), customers_(config_.customers, secret) {
  for (std::size_t i = 0; i < config_.routes.size(); ++i) {
    const GatewayRoute& it = config_.routes[i];
    hosts_[boost::algorithm::to_lower_copy(it.host)][it.path_prefix] = i;
    for (const WeightedService& service : it.weighted_services) {
      const auto [most_urgent, added] =
          most_urgent_.try_emplace(service.service, i);
      if (it.priority < config_.routes[most_urgent->second].priority) {
        most_urgent->second = i;
      }
    }
  }
}

bool RouteTable::IsDelayTolerant(std::string_view service,
                                 const GatewayRoute& route) const {
  const auto it = most_urgent_.find(service);
  if (it == most_urgent_.end() || !route.repeatable) {
    return false;
  }
  const GatewayRoute& urgent = config_.routes[it->second];
  return urgent.priority < route.priority &&
         route.latency_target >= urgent.latency_target * kDelayTolerantFactor;
}

const GatewayRoute* RouteTable::Find(std::string_view host,
                                     std::string_view path) const {
  const auto prefixes = hosts_.find(
      boost::algorithm::to_lower_copy(std::string(WithoutPort(host))));
  if (prefixes == hosts_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the parts of a path up to a slash match.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found = prefixes->second.find(path.substr(0, end + 1));
    if (found != prefixes->second.end()) {
      return &config_.routes[found->second];
    }
    end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
  }
  return nullptr;
}

std::string_view ChooseService(const GatewayRoute& route,
                               std::string_view request_id) {
  if (route.weighted_services.size() == 1) {
    return route.weighted_services.front().service;
  }
  double total = 0.0;
  for (const WeightedService& it : route.weighted_services) {
    total += it.weight;
  }
  double position = ToUnitInterval(core::HashBytes(request_id)) * total;
  for (const WeightedService& it : route.weighted_services) {
    if (position < it.weight) {
      return it.service;
    }
    position -= it.weight;
  }
  return {};
}

}  // namespace bambootack::gateway

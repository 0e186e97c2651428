#include "gateway/identity.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <asio/ip/address_v4.hpp>
#include <stdexcept>

#include "bambootack/net/address.h"
#include "platform/headers.h"

namespace bambootack::gateway_daemon {

core::VmId VmIdOf(const std::string& address) {
  const net::Endpoint endpoint = net::SplitAddress(address);
  return core::VmId{asio::ip::make_address_v4(endpoint.ip).to_uint()};
}

std::string GenerateFleetKey() {
  if (sodium_init() < 0) {
    throw std::runtime_error("libsodium cannot be initialized");
  }
  std::array<unsigned char, 32> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::string key;
  for (const unsigned char byte : bytes) {
    key += fmt::format("{:02x}", byte);
  }
  return key;
}

gateway::GatewayOptions MakeGatewayOptions(
    const gateway::GatewaySettings& settings,
    const platform::FleetLimits& limits) {
  if (sodium_init() < 0) {
    throw std::runtime_error("libsodium cannot be initialized");
  }
  gateway::GatewayOptions options;
  options.vm = VmIdOf(settings.peer_address);
  options.peer_address = settings.peer_address;
  options.failure_domain = settings.failure_domain;
  options.header_names = platform::MakeHeaderNames();
  options.retry_ratio = limits.retry_ratio;
  options.retry_burst = limits.retry_burst;
  options.retry_window = limits.retry_window;
  if (limits.keys_fail_closed) {
    options.key_withdrawal_time = limits.key_withdrawal_time;
  }
  options.quota_tolerance = {limits.quota_overshoot, limits.quota_slack};
  options.change_time = std::min(limits.drain_time, limits.config_time);
  randombytes_buf(options.key_secret.data(), options.key_secret.size());
  return options;
}

}  // namespace bambootack::gateway_daemon

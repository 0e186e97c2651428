#include "gateway/identity.h"

#include <fmt/format.h>
#include <sodium.h>

#include <array>
#include <asio/ip/address_v4.hpp>
#include <stdexcept>

#include "bambootack/net/address.h"
#include "platform/bounds.h"
#include "platform/headers.h"

namespace bambootack::gateway_daemon {

core::VmId NumberOf(const std::string& address) {
  const net::Endpoint endpoint = net::SplitAddress(address);
  return core::VmId{asio::ip::make_address_v4(endpoint.ip).to_uint()};
}

std::string DrawKey() {
  if (sodium_init() < 0) {
    throw std::runtime_error("libsodium cannot be initialized");
  }
  std::array<unsigned char, 32> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::string key;
  for (const unsigned char it : bytes) {
    key += fmt::format("{:02x}", it);
  }
  return key;
}

gateway::GatewayOptions OptionsOf(const gateway::GatewaySettings& settings) {
  const platform::FleetBounds bounds =
      platform::ParseBounds(settings.platform_bounds);
  gateway::GatewayOptions options;
  options.vm = NumberOf(settings.peer_address);
  options.peer_address = settings.peer_address;
  options.failure_domain = settings.failure_domain;
  options.header_names = platform::Headers();
  options.retry_ratio = bounds.repeat_share;
  options.retry_burst = bounds.repeat_slack;
  return options;
}

}  // namespace bambootack::gateway_daemon

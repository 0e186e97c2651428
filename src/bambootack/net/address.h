#ifndef BAMBOOTACK_NET_ADDRESS_H_
#define BAMBOOTACK_NET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bambootack::net {

/// @brief IP and port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
};

/// @brief Splits a checked address.
/// @param address IP:port
/// @return Its parts; the port is 0 if it cannot be read.
[[nodiscard]] Endpoint SplitAddress(std::string_view address);

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_ADDRESS_H_

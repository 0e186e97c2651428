#ifndef BAMBOOTACK_CORE_ADDRESS_H_
#define BAMBOOTACK_CORE_ADDRESS_H_

#include <string>

namespace bambootack::core {

/// @brief Tells whether a text is an address.
/// @param text The text.
/// @return True for IP:port with a port above zero.
[[nodiscard]] bool IsAddress(const std::string& text);

/// @brief Tells whether a text is an IPv4 address with a port above zero.
[[nodiscard]] bool IsIpv4Address(const std::string& text);

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_ADDRESS_H_

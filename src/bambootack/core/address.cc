#include "bambootack/core/address.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <cstddef>
#include <optional>
#include <system_error>

namespace bambootack::core {

namespace {

bool IsPort(const char* begin, const char* end) {
  unsigned port = 0;
  const auto parsed = std::from_chars(begin, end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port > 0 &&
         port <= 65535;
}

/// Splits an address at its port, or returns nothing if that is not valid.
std::optional<std::string> HostOf(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const bool valid = colon != std::string::npos &&
                     IsPort(text.data() + colon + 1, text.data() + text.size());
  return valid ? std::optional(text.substr(0, colon)) : std::nullopt;
}

}  // namespace

bool IsAddress(const std::string& text) {
  const auto host = HostOf(text);
  std::error_code ec;
  return host && (asio::ip::make_address(*host, ec), !ec);
}

bool IsIpv4Address(const std::string& text) {
  const auto host = HostOf(text);
  std::error_code ec;
  return host && (asio::ip::make_address_v4(*host, ec), !ec);
}

}  // namespace bambootack::core

#include "bambootack/gateway/settings.h"

#include <charconv>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "bambootack/toml/address.h"
#include "bambootack/toml/reader.h"
#include "bambootack/toml/settings_file.h"

namespace bambootack::gateway {
namespace {

using toml_reader::Address;
using toml_reader::Reader;

constexpr std::int64_t kMaxStopMs = 3'600'000;
constexpr std::int64_t kMaxMemoryMb = 1'048'576;
constexpr std::int64_t kMaxDescriptors = 10'000'000;

/// Reads a number that the platform fills in as text. A platform that does not
/// know it leaves the placeholder or nothing; the defaults hold then.
/// @return The number, or 0.
std::int64_t Quantity(Reader& reader, std::string_view key, std::int64_t most) {
  const std::string text = reader.String(key, "");
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     value >= 0 && value <= most;
  return valid ? value : 0;
}

GatewaySettings ReadSettings(Reader& reader) {
  GatewaySettings result;
  result.name = reader.String("name");
  result.failure_domain = reader.String("failure_domain");
  result.caller_address = Address(reader, "caller_address");
  result.operator_address = Address(reader, "operator_address");
  result.metrics_address = Address(reader, "metrics_address");
  result.peer_address = Address(reader, "peer_address");
  result.store_address = Address(reader, "store_address");
  result.platform_bounds = reader.String("platform_bounds", "");
  result.memory_mb = Quantity(reader, "memory_mb", kMaxMemoryMb);
  result.max_descriptors = Quantity(reader, "max_descriptors", kMaxDescriptors);
  result.first_start = reader.Boolean("first_start", false);
  result.log_level =
      reader.Enum("log_level", settings::kLogLevelNames, &result.log_level);
  // Accepted and not used: when requests are refused follows from the limit.
  reader.Milliseconds("stop_grace_ms", 0, kMaxStopMs, core::Duration{});
  const core::Duration limit =
      reader.Milliseconds("stop_limit_ms", 0, kMaxStopMs, core::Duration{});
  if (limit.count() > 0) {
    result.stop_limit = limit;
  }
  return result;
}

}  // namespace

boost::leaf::result<GatewaySettings> ParseSettings(std::string_view text,
                                                   std::string_view source) {
  return toml_reader::ParseSettingsFile(text, source, &ReadSettings);
}

}  // namespace bambootack::gateway

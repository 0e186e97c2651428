#include "bambootack/settings/settings.h"

#include <algorithm>
#include <optional>

#include "bambootack/toml/address.h"
#include "bambootack/toml/reader.h"
#include "bambootack/toml/settings_file.h"

namespace bambootack::settings {
namespace {

using toml_reader::Address;
using toml_reader::Reader;

constexpr std::int64_t kMaxVmNumber = 0xFFFFFFFF;
constexpr std::size_t kKeyHexDigits = 64;
constexpr std::size_t kMaxPeerKeys = 2;
constexpr std::int64_t kMaxTrafficThreads = 64;
constexpr std::int64_t kMaxStopMs = 3'600'000;

std::vector<std::string> PeerKeys(Reader& reader) {
  std::vector<std::string> keys = reader.Strings("peer_keys");
  const bool valid =
      !keys.empty() && keys.size() <= kMaxPeerKeys &&
      std::all_of(keys.begin(), keys.end(), [](const std::string& it) {
        return it.size() == kKeyHexDigits &&
               it.find_first_not_of("0123456789abcdef") == std::string::npos;
      });
  if (!valid) {
    reader.Fail("peer_keys", "must be 1 or 2 keys of 64 hex digits each");
  }
  return keys;
}

core::VmId Vm(Reader& reader) {
  return static_cast<core::VmId>(reader.Integer("vm", 1, kMaxVmNumber));
}

Settings ReadSettings(Reader& reader) {
  Settings result;
  result.vm = Vm(reader);
  result.failure_domain = reader.String("failure_domain");
  result.caller_address = Address(reader, "caller_address");
  result.operator_address = Address(reader, "operator_address");
  result.peer_address = Address(reader, "peer_address");
  result.platform_address = Address(reader, "platform_address");
  result.operator_token = reader.String("operator_token");
  result.peer_keys = PeerKeys(reader);
  result.log_level =
      reader.Enum("log_level", kLogLevelNames, &result.log_level);
  result.dispatch =
      reader.Enum("dispatch", kDispatchModeNames, &result.dispatch);
  result.traffic_threads = static_cast<std::uint32_t>(reader.Integer(
      "traffic_threads", 1, kMaxTrafficThreads, result.traffic_threads));
  result.stop_grace =
      reader.Milliseconds("stop_grace_ms", 0, kMaxStopMs, result.stop_grace);
  result.stop_limit =
      reader.Milliseconds("stop_limit_ms", 0, kMaxStopMs, result.stop_limit);
  reader.Tables("peer", [&](Reader& it) {
    Peer peer;
    peer.vm = Vm(it);
    peer.address = Address(it, "address");
    peer.failure_domain = it.String("failure_domain");
    result.peers.push_back(std::move(peer));
  });
  return result;
}

}  // namespace

boost::leaf::result<Settings> Parse(std::string_view text,
                                    std::string_view source) {
  return toml_reader::ParseSettingsFile(text, source, &ReadSettings);
}

}  // namespace bambootack::settings

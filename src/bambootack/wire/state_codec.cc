#include "bambootack/wire/state_codec.h"

#include <fmt/format.h>
#include <sodium.h>

#include <boost/interprocess/streams/bufferstream.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <utility>

#include "bambootack/core/hash.h"
#include "bambootack/wire/serialize_state.h"

namespace bambootack::wire {
namespace {

constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
constexpr std::size_t kChecksumDigits = 16;

std::string Checksum(std::string_view bytes) {
  return fmt::format("{:016x}", core::HashBytes(bytes));
}

std::optional<std::string> FromBase64(std::string_view text) {
  std::string bytes(text.size(), '\0');
  std::size_t n = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                        bytes.size(), text.data(), text.size(), nullptr, &n,
                        nullptr, kVariant) != 0) {
    return std::nullopt;
  }
  bytes.resize(n);
  return bytes;
}

}  // namespace

std::string EncodeState(const config::State& state) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(state);
  }
  return std::move(out).str();
}

std::optional<config::State> DecodeState(std::string_view bytes) {
  if (bytes.size() > kMaxStateBytes) {
    return std::nullopt;
  }
  try {
    boost::interprocess::ibufferstream in(bytes.data(), bytes.size());
    cereal::PortableBinaryInputArchive archive(in);
    config::State state;
    archive(state);
    return state;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string SnapshotText(const config::State& state) {
  const std::string bytes = EncodeState(state);
  std::string text(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  text.pop_back();  // The terminating zero.
  return Checksum(bytes) + text;
}

std::optional<config::State> ReadSnapshot(std::string_view text) {
  if (text.size() < kChecksumDigits) {
    return std::nullopt;
  }
  const auto bytes = FromBase64(text.substr(kChecksumDigits));
  if (!bytes || Checksum(*bytes) != text.substr(0, kChecksumDigits)) {
    return std::nullopt;
  }
  return DecodeState(*bytes);
}

}  // namespace bambootack::wire

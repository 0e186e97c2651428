#include "bambootack/node/operator_token.h"

#include <sodium.h>

#include <array>

namespace bambootack::node {
namespace {

constexpr std::string_view kScheme = "Bearer ";

using Digest = std::array<unsigned char, crypto_generichash_BYTES>;

/// Digests have one length, so their comparison does not tell the length of
/// the token.
Digest DigestOf(std::string_view text) {
  Digest digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(text.data()),
                     text.size(), nullptr, 0);
  return digest;
}

}  // namespace

bool HasToken(const core::Headers& headers, std::string_view token) {
  const auto field = core::FindHeader(headers, "Authorization");
  if (!field || !field->starts_with(kScheme)) {
    return false;
  }
  const Digest given = DigestOf(field->substr(kScheme.size()));
  const Digest right = DigestOf(token);
  return sodium_memcmp(given.data(), right.data(), right.size()) == 0;
}

}  // namespace bambootack::node

#include "bambootack/customers/directory.h"

#include <fmt/format.h>
#include <sodium.h>

#include <boost/algorithm/string/predicate.hpp>
#include <cstring>

namespace bambootack::customers {
namespace {

constexpr std::string_view kField = "Authorization";
constexpr std::string_view kScheme = "Bearer ";

/// Reads the key from the value of the field.
/// @return The key, or nothing if the value has another form.
std::optional<std::string_view> KeyOf(std::string_view value) {
  if (!boost::algorithm::istarts_with(value, kScheme)) {
    return std::nullopt;
  }
  value.remove_prefix(kScheme.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  const bool is_token =
      !value.empty() && value.find_first_of(" \t,") == std::string_view::npos;
  return is_token ? std::optional(value) : std::nullopt;
}

}  // namespace

std::size_t Directory::HashOfHash::operator()(
    const KeyHash& it) const noexcept {
  std::size_t result = 0;
  std::memcpy(&result, it.data(), sizeof(result));
  return result;
}

Directory::Directory(const std::vector<Customer>& customers,
                     const HashSecret& secret)
    : secret_(secret) {
  entries_.reserve(customers.size());
  for (const Customer& it : customers) {
    for (const std::string& key : it.keys) {
      by_key_.try_emplace(HashOf(key), entries_.size());
    }
    entries_.push_back({it.name, it.rank, it.rate, it.burst});
    has_quotas_ = has_quotas_ || it.rate > 0.0;
  }
}

Directory::KeyHash Directory::HashOf(std::string_view key) const {
  KeyHash hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), secret_.data(), secret_.size());
  return hash;
}

Directory::Identity Directory::Identify(const core::Headers& headers) const {
  std::optional<std::string_view> value;
  for (const core::HeaderField& it : headers) {
    if (!boost::algorithm::iequals(it.name, kField)) {
      continue;
    }
    if (value) {
      return {KeyCheck::kMalformed, nullptr, std::nullopt};
    }
    value = it.value;
  }
  if (!value) {
    return {};
  }
  const auto key = KeyOf(*value);
  if (!key) {
    return {KeyCheck::kMalformed, nullptr, std::nullopt};
  }
  const KeyHash hash = HashOf(*key);
  const auto found = by_key_.find(hash);
  if (found == by_key_.end()) {
    return {KeyCheck::kUnknown, nullptr, hash};
  }
  return {KeyCheck::kValid, &entries_[found->second], hash};
}

std::string ShortText(const Directory::KeyHash& hash) {
  return fmt::format("{:02x}{:02x}{:02x}{:02x}", hash[0], hash[1], hash[2],
                     hash[3]);
}

}  // namespace bambootack::customers

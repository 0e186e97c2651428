#ifndef BAMBOOTACK_CUSTOMERS_DIRECTORY_H_
#define BAMBOOTACK_CUSTOMERS_DIRECTORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/http_message.h"
#include "bambootack/customers/customer.h"

namespace bambootack::customers {

/// @brief Secret of one process under which the API keys are hashed, so that
/// the time of a lookup tells nothing about the keys of other customers.
using HashSecret = std::array<unsigned char, 32>;

/// @brief Result of the check of a request's API key.
enum class KeyCheck : std::uint8_t {
  kValid,
  kMissing,
  kMalformed,  ///< Another scheme, no key, or several fields.
  kUnknown,    ///< No customer has the key.
};

/// @brief Names of the results in logs and metrics.
inline constexpr core::EnumNames<KeyCheck, 4> kKeyCheckNames{
    {"valid", "missing", "malformed", "unknown"}};

/// @brief Maps API keys to customers. It keeps the names and ranks of the
/// customers and hashes of their keys.
class Directory {
 public:
  /// @brief Hash of an API key.
  using KeyHash = std::array<unsigned char, 16>;

  /// @brief Customer of a request.
  struct Entry {
    std::string name;
    int rank = 0;
    double rate = 0.0;  ///< Quota in requests per second; 0 for no limit.
    double burst = 0.0;
  };

  /// @brief Result of `Identify`.
  struct Identity {
    KeyCheck check = KeyCheck::kMissing;
    const Entry* customer = nullptr;  ///< Set if the check is `kValid`.
    std::optional<KeyHash> key_hash;  ///< Set if the request holds one key.
  };

  Directory() = default;

  /// @param customers Customers; of those that share a key the first holds it.
  Directory(const std::vector<Customer>& customers, const HashSecret& secret);

  /// @brief Whether any customer has a quota.
  [[nodiscard]] bool HasQuotas() const noexcept { return has_quotas_; }

  /// @brief Finds the customer of a request by its `Authorization` field.
  [[nodiscard]] Identity Identify(const core::Headers& headers) const;

 private:
  struct HashOfHash {
    std::size_t operator()(const KeyHash& it) const noexcept;
  };

  [[nodiscard]] KeyHash HashOf(std::string_view key) const;

  HashSecret secret_{};
  std::vector<Entry> entries_;
  bool has_quotas_ = false;
  std::unordered_map<KeyHash, std::size_t, HashOfHash> by_key_;
};

/// @brief Text of the first four bytes of a hash, which names an unknown key in
/// logs.
[[nodiscard]] std::string ShortText(const Directory::KeyHash& hash);

}  // namespace bambootack::customers

#endif  // BAMBOOTACK_CUSTOMERS_DIRECTORY_H_

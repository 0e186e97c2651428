#ifndef BAMBOOTACK_IDEMPOTENCY_KEY_TABLE_H_
#define BAMBOOTACK_IDEMPOTENCY_KEY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bambootack/core/ids.h"
#include "bambootack/core/time.h"
#include "bambootack/idempotency/limits.h"
#include "bambootack/wire/answer.h"
#include "bambootack/wire/ownership_messages.h"

namespace bambootack::idempotency {

/// @brief Header field of a repeated answer whose stored body was dropped.
inline constexpr std::string_view kBodyHeader = "Bambootack-Body";
/// @brief Its value.
inline constexpr std::string_view kBodyNotKept = "not-kept";

/// @brief State of one idempotency key.
enum class KeyPhase : std::uint8_t {
  kPending,  ///< Being run by this VM; the answer is awaited.
  kFinal,    ///< The answer is recorded.
};

/// @brief What is recorded for one key.
struct KeyRecord {
  KeyPhase phase = KeyPhase::kPending;
  std::uint64_t fingerprint = 0;  ///< Hash of method, target and body.
  wire::Answer answer;
  core::Time expires{};  ///< Set when final.
};

/// @brief Key records by partition, within limits on number and memory.
class KeyTable {
 public:
  /// @brief Creates an empty table.
  /// @param limits KeyTableLimits on what is stored.
  explicit KeyTable(KeyTableLimits limits = {});

  /// @brief Finds a record.
  /// @param key Canonical text of the key.
  /// @return The record, or null.
  [[nodiscard]] const KeyRecord* Find(const std::string& key) const;

  /// @brief Tells whether another record of a partition may be added.
  /// @param partition The partition.
  /// @return False at a limit.
  [[nodiscard]] bool HasCapacity(core::PartitionId partition) const noexcept;

  /// @brief Adds a pending record. There must be none for the key.
  /// @param key Canonical text of the key.
  /// @param fingerprint Hash of the request.
  void Add(const std::string& key, std::uint64_t fingerprint);

  /// @brief Records an outcome. A known outcome is never replaced.
  /// @param key Canonical text of the key.
  /// @param answer The answer.
  /// @param now Current time.
  /// @return True if the record changed.
  bool RecordOutcome(const std::string& key, wire::Answer answer,
                     core::Time now);

  /// @brief Takes over a record of another owner, even beyond the limit on the
  /// number: without the record the key could run again.
  /// @param state The record.
  /// @param now Current time.
  /// @return True if this table did not have the outcome.
  bool Import(const wire::KeyState& state, core::Time now);

  /// @brief Record of a key in the form in which it travels.
  /// @param key Canonical text of the key; its record must exist.
  /// @param now Current time.
  /// @return The record.
  [[nodiscard]] wire::KeyState Export(const std::string& key,
                                      core::Time now) const;

  /// @brief Keys of a partition.
  /// @param partition The partition.
  /// @return The keys.
  [[nodiscard]] std::vector<std::string> KeysOf(
      core::PartitionId partition) const;

  /// @brief Forgets expired records of some partitions; repeated calls reach
  /// all partitions.
  /// @param now Current time.
  void EraseExpired(core::Time now);

  /// @brief Number of records.
  /// @return The count.
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

  /// @brief Memory of the stored answers.
  /// @return Bytes of bodies and header fields.
  [[nodiscard]] std::size_t AnswerBytes() const noexcept {
    return answer_bytes_;
  }

 private:
  using Records = std::unordered_map<std::string, KeyRecord>;

  Records& Of(const std::string& key);
  void Store(KeyRecord& record, wire::Answer answer, core::Time expires);

  KeyTableLimits limits_;
  std::vector<Records> partitions_;
  std::size_t size_ = 0;
  std::size_t answer_bytes_ = 0;
  std::size_t next_expiry_ = 0;
};

}  // namespace bambootack::idempotency

#endif  // BAMBOOTACK_IDEMPOTENCY_KEY_TABLE_H_

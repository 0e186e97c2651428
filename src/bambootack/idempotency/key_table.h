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

/// @brief Header field that marks a replayed answer whose stored body was
/// dropped.
inline constexpr std::string_view kBodyHeader = "Bambootack-Body";
/// @brief Value of `kBodyHeader`.
inline constexpr std::string_view kBodyNotKept = "not-kept";

/// @brief State of one idempotency key.
enum class KeyPhase : std::uint8_t {
  kPending,  ///< Being executed by this VM; no answer yet.
  kFinal,    ///< The answer is recorded.
};

/// @brief Record of one key.
struct KeyRecord {
  KeyPhase phase = KeyPhase::kPending;
  std::uint64_t fingerprint = 0;  ///< Hash of method, target and body.
  wire::Answer answer;
  core::Time expires{};  ///< Set when final.
};

/// @brief Key records by partition, with limits on their number and on the
/// memory of their answers.
class KeyTable {
 public:
  explicit KeyTable(KeyTableLimits limits = {});

  /// @brief Finds a record.
  /// @param key Canonical text of the key.
  /// @return The record, or null if the key has none.
  [[nodiscard]] const KeyRecord* Find(const std::string& key) const;

  /// @brief Tells whether another record of a partition may be added.
  /// @return False if the table or the partition has its largest number of
  /// records.
  [[nodiscard]] bool HasCapacity(core::PartitionId partition) const noexcept;

  /// @brief Adds a pending record. The key must not have a record yet.
  /// @param key Canonical text of the key.
  /// @param fingerprint Hash of the request.
  void Add(const std::string& key, std::uint64_t fingerprint);

  /// @brief Records an outcome. A known outcome is never replaced.
  /// @param key Canonical text of the key.
  /// @return True if the record changed.
  bool RecordOutcome(const std::string& key, wire::Answer answer,
                     core::Time now);

  /// @brief Adds a record of another owner, even beyond the limit on their
  /// number: without the record the key could be executed again.
  /// @return True if this table did not have the outcome.
  bool Import(const wire::KeyState& state, core::Time now);

  /// @brief Converts the record of a key to the message sent to other owners.
  /// @param key Canonical text of the key; its record must exist.
  [[nodiscard]] wire::KeyState Export(const std::string& key,
                                      core::Time now) const;

  /// @return Keys of the partition, sorted.
  [[nodiscard]] std::vector<std::string> KeysOf(
      core::PartitionId partition) const;

  /// @brief Erases the expired records of some partitions; repeated calls cover
  /// all partitions.
  void EraseExpired(core::Time now);

  [[nodiscard]] std::size_t size() const noexcept { return size_; }

  /// @return Bytes of the bodies and header fields of the stored answers.
  [[nodiscard]] std::size_t AnswerBytes() const noexcept {
    return answer_bytes_;
  }

 private:
  using Records = std::unordered_map<std::string, KeyRecord>;

  Records& RecordsOf(const std::string& key);
  void StoreAnswer(KeyRecord& record, wire::Answer answer, core::Time expires);

  KeyTableLimits limits_;
  std::vector<Records> partitions_;
  std::size_t size_ = 0;
  std::size_t answer_bytes_ = 0;
  std::size_t next_sweep_partition_ = 0;
};

}  // namespace bambootack::idempotency

#endif  // BAMBOOTACK_IDEMPOTENCY_KEY_TABLE_H_

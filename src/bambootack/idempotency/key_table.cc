#include "bambootack/idempotency/key_table.h"

#include <algorithm>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::idempotency {
namespace {

/// Partitions examined by one call of `EraseExpired`. With one call every 50 ms
/// all partitions are examined in 13 s, which is short compared to
/// `kRetention`.
constexpr std::size_t kPartitionsPerSweep = 64;

bool HasDroppedBody(const wire::Answer& answer) noexcept {
  return answer.http.headers.size() == 1 &&
         answer.http.headers.front().name == kBodyHeader;
}

/// Bytes of an answer that count towards `max_answer_bytes`. An answer with a
/// dropped body needs no memory beyond its record.
std::size_t BytesOf(const wire::Answer& answer) noexcept {
  if (HasDroppedBody(answer)) {
    return 0;
  }
  std::size_t bytes = answer.http.body.size();
  for (const core::HeaderField& it : answer.http.headers) {
    bytes += it.name.size() + it.value.size();
  }
  return bytes;
}

bool IsUnresolved(const KeyRecord& record) noexcept {
  return record.phase == KeyPhase::kPending ||
         record.answer.outcome == core::Outcome::kUnknown;
}

wire::Answer WithoutBody(wire::Answer answer) {
  answer.http.body.clear();
  answer.http.headers = {{std::string(kBodyHeader), std::string(kBodyNotKept)}};
  return answer;
}

/// Answer that another VM may give for a key that this VM is still executing.
wire::Answer ExecutingElsewhere() {
  wire::Answer answer;
  answer.outcome = core::Outcome::kUnknown;
  answer.error = core::ErrorKind::kOwnershipMoving;
  return answer;
}

}  // namespace

KeyTable::KeyTable(KeyTableLimits limits)
    : limits_(limits), partitions_(core::kPartitionCount) {}

KeyTable::Records& KeyTable::RecordsOf(const std::string& key) {
  return partitions_[static_cast<std::size_t>(core::PartitionOf(key))];
}

const KeyRecord* KeyTable::Find(const std::string& key) const {
  const Records& records =
      partitions_[static_cast<std::size_t>(core::PartitionOf(key))];
  const auto it = records.find(key);
  return it == records.end() ? nullptr : &it->second;
}

bool KeyTable::HasCapacity(core::PartitionId partition) const noexcept {
  return size_ < limits_.max_records &&
         partitions_[static_cast<std::size_t>(partition)].size() <
             limits_.max_records_per_partition;
}

void KeyTable::Add(const std::string& key, std::uint64_t fingerprint) {
  const auto [it, inserted] = RecordsOf(key).try_emplace(key);
  if (inserted) {
    it->second.fingerprint = fingerprint;
    ++size_;
  }
}

bool KeyTable::RecordOutcome(const std::string& key, wire::Answer answer,
                             core::Time now) {
  Records& records = RecordsOf(key);
  const auto it = records.find(key);
  if (it == records.end() || !IsUnresolved(it->second)) {
    return false;
  }
  StoreAnswer(it->second, std::move(answer), now + kRecordLifetime);
  return true;
}

bool KeyTable::Import(const wire::KeyState& state, core::Time now) {
  const auto [it, inserted] = RecordsOf(state.key).try_emplace(state.key);
  KeyRecord& record = it->second;
  if (inserted) {
    record.fingerprint = state.fingerprint;
    ++size_;
  } else if (record.phase == KeyPhase::kPending || !IsUnresolved(record) ||
             state.answer.outcome == core::Outcome::kUnknown) {
    return false;
  }
  StoreAnswer(record, state.answer, now + state.remaining);
  return true;
}

void KeyTable::StoreAnswer(KeyRecord& record, wire::Answer answer,
                           core::Time expires) {
  answer_bytes_ -= BytesOf(record.answer);
  if (answer_bytes_ + BytesOf(answer) > limits_.max_answer_bytes) {
    answer = WithoutBody(std::move(answer));
  }
  answer_bytes_ += BytesOf(answer);
  record.phase = KeyPhase::kFinal;
  record.answer = std::move(answer);
  record.expires = std::max(record.expires, expires);
}

wire::KeyState KeyTable::Export(const std::string& key, core::Time now) const {
  const KeyRecord& record = *Find(key);
  if (record.phase == KeyPhase::kPending) {
    return {key, record.fingerprint, ExecutingElsewhere(), kRecordLifetime};
  }
  return {key, record.fingerprint, record.answer,
          std::max(record.expires - now, core::Duration{})};
}

std::vector<std::string> KeyTable::KeysOf(core::PartitionId partition) const {
  std::vector<std::string> keys;
  for (const auto& [key, record] :
       partitions_[static_cast<std::size_t>(partition)]) {
    keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

void KeyTable::EraseExpired(core::Time now) {
  for (std::size_t i = 0; i < kPartitionsPerSweep; ++i) {
    Records& records = partitions_[next_sweep_partition_];
    next_sweep_partition_ = (next_sweep_partition_ + 1) % partitions_.size();
    for (auto it = records.begin(); it != records.end();) {
      const bool expired =
          it->second.phase == KeyPhase::kFinal && it->second.expires <= now;
      if (expired) {
        answer_bytes_ -= BytesOf(it->second.answer);
        --size_;
      }
      it = expired ? records.erase(it) : std::next(it);
    }
  }
}

}  // namespace bambootack::idempotency

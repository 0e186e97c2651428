#ifndef BAMBOOTACK_SPREAD_LOG_CLIENT_H_
#define BAMBOOTACK_SPREAD_LOG_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/config/state.h"
#include "bambootack/core/enum_names.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/wire/spread_messages.h"

namespace bambootack::spread {

/// @brief Time between two reads while the log answers.
inline constexpr core::Duration kReadInterval = std::chrono::milliseconds(250);

/// @brief Longest pause after failed reads, before jitter.
inline constexpr core::Duration kMaxBackOff = std::chrono::seconds(4);

/// @brief Time after which a read without an answer counts as failed; above the
/// 2 s that the platform client waits.
inline constexpr core::Duration kReadPatience = std::chrono::seconds(3);

/// @brief Time in which an append has to appear in the log.
inline constexpr core::Duration kResolvePatience = std::chrono::seconds(10);

/// @brief Appends per second of one VM. All 55 VMs together stay below half of
/// the several hundred that the log takes.
inline constexpr double kAppendsPerSecond = 2.0;
inline constexpr double kAppendBurst = 4.0;

/// @brief Appends that may wait for their turn.
inline constexpr std::size_t kMaxWaitingAppends = 64;

/// @brief Equal reads of a record with a wrong checksum after which it counts
/// as stored like that.
inline constexpr int kMaxTruncatedReads = 5;

/// @brief Answer of the log to a read.
struct LogBatch {
  bool ok = false;
  std::uint64_t first = 0;  ///< Oldest offset that the log still holds.
  std::uint64_t next = 0;   ///< Offset of the next record to be appended.
  std::vector<wire::TicketRecord> records;
};

/// @brief Meaning of an answer.
enum class ReadOutcome : std::uint8_t {
  kUnavailable,  ///< No answer or a malformed one.
  kUpToDate,     ///< Nothing new; the end is reached.
  kRecords,      ///< New records follow the position.
  kGap,          ///< The oldest record lies beyond the position.
  kSuspect,      ///< Looks like a reset; the next read decides.
  kReset,        ///< The log has started again at lower offsets.
  kTruncated,    ///< The next record is incomplete and is read again.
};

/// @brief Names of the outcomes in events and tests.
inline constexpr core::EnumNames<ReadOutcome, 7> kReadOutcomeNames{
    {"unavailable", "up-to-date", "records", "gap", "suspect", "reset",
     "truncated"}};

/// @brief Result of a read.
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::kUnavailable;
  std::vector<wire::TicketRecord> records;  ///< New ones, without gaps.
  bool at_end = false;  ///< Nothing is left to read after them.
};

/// @brief Append that is to be sent to the log.
struct PendingAppend {
  std::string id;
  std::string body;
};

/// @brief Makes the id of a record, which carries a checksum of its body.
/// @param unique Unique text without dots.
/// @param body Body of the record.
/// @return The id.
[[nodiscard]] std::string RecordId(std::string_view unique,
                                   std::string_view body);

/// @brief Tells whether a body matches the checksum in its id. A record of
/// another writer carries none and matches.
/// @param record The record.
/// @return True if it matches.
[[nodiscard]] bool BodyMatches(const wire::TicketRecord& record);

/// @brief Decisions on reading the ticket stream and appending to it.
class LogClient {
 public:
  /// @brief Starts a read when it is time.
  /// @param position Own position.
  /// @param wanted Whether this VM reads the log at present.
  /// @param now Current time.
  /// @return Offset to read from. It includes the last record already judged,
  /// whose id tells whether the log is still the same.
  [[nodiscard]] std::optional<std::uint64_t> NextRead(
      const config::Position& position, bool wanted, core::Time now);

  /// @brief Judges the answer to a read.
  /// @param batch The answer.
  /// @param position Own position.
  /// @param last_id Id of the last record judged, empty if not known.
  /// @param now Current time.
  /// @param random Source of the jitter.
  /// @return What to do.
  [[nodiscard]] ReadResult Receive(LogBatch batch,
                                   const config::Position& position,
                                   std::string_view last_id, core::Time now,
                                   core::Random& random);

  /// @brief Queues an append.
  /// @param id Unique id of the record.
  /// @param body Body of the record.
  /// @param now Current time.
  /// @return False if too many are waiting.
  [[nodiscard]] bool Submit(std::string id, std::string body, core::Time now);

  /// @brief Appends that may be sent now. Each is returned once: an append
  /// whose answer was lost is never sent again.
  /// @param now Current time.
  /// @return The appends.
  [[nodiscard]] std::vector<PendingAppend> DueAppends(core::Time now);

  /// @brief Notes that a record was read, which resolves its append.
  /// @param id Id of the record.
  void Seen(const std::string& id);

  /// @brief Appends that were not seen in time; they are forgotten.
  /// @param now Current time.
  /// @return Their ids.
  [[nodiscard]] std::vector<std::string> Expired(core::Time now);

  /// @brief Tells whether an append waits to be seen in the log.
  /// @return True if so.
  [[nodiscard]] bool HasPending() const noexcept { return !pending_.empty(); }

  /// @brief Notes that another VM has read the log to its end. A VM that no
  /// longer reads would otherwise take the log for down for ever.
  /// @param at Time of that read.
  void ReadElsewhere(core::Time at) noexcept {
    if (at > last_failure_) {
      failures_ = 0;
    }
  }

  /// @brief Tells whether the last read known failed.
  /// @return True if so.
  [[nodiscard]] bool IsDown() const noexcept { return failures_ > 0; }

 private:
  [[nodiscard]] ReadOutcome Compare(const LogBatch& batch,
                                    const config::Position& position,
                                    std::string_view last_id) const;
  void Collect(LogBatch& batch, std::uint64_t expected, ReadResult& result);
  void Schedule(ReadOutcome outcome, bool at_end, core::Time now,
                core::Random& random);

  core::Time next_read_{};
  std::optional<core::Time> reading_since_;
  int failures_ = 0;
  core::Time last_failure_{};
  int suspicions_ = 0;
  int truncated_reads_ = 0;
  std::deque<PendingAppend> waiting_;
  std::map<std::string, core::Time> pending_;  ///< With the time submitted.
  double tokens_ = kAppendBurst;
  core::Time refilled_{};
};

}  // namespace bambootack::spread

#endif  // BAMBOOTACK_SPREAD_LOG_CLIENT_H_

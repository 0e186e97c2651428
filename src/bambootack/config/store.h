#ifndef BAMBOOTACK_CONFIG_STORE_H_
#define BAMBOOTACK_CONFIG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "bambootack/config/model.h"
#include "bambootack/config/state.h"
#include "bambootack/config/ticket.h"
#include "bambootack/core/error_kind.h"

namespace bambootack::config {

/// @brief Ranges of ticket numbers kept; beyond it the lowest gaps are closed.
inline constexpr std::size_t kMaxNumberRanges = 1024;

/// @brief Marks of removed objects kept; beyond it the lowest are dropped.
inline constexpr std::size_t kMaxRemovedMarks = 4096;

/// @brief Accepted tickets kept for answers to operators.
inline constexpr std::size_t kMaxRecentTickets = 64;

/// @brief Largest step above the highest number. A typing error near the end of
/// the number range would otherwise leave no higher number to correct it.
inline constexpr std::uint64_t kMaxNumberStep = 1'000'000;

/// @brief Result of judging a ticket.
struct Verdict {
  bool accepted = false;
  core::ErrorKind reason = core::ErrorKind::kTicketMalformed;
  std::string detail;
  bool repeated = false;  ///< The same ticket is already in force.
};

/// @brief Where a ticket stands in the log.
struct RecordInfo {
  std::string id;
  std::uint64_t body_hash = 0;
};

/// @brief Configuration in force, a pure function of the records judged.
/// Every operation raises marks only, so no order of reading, transfer and
/// replay puts an object back to an earlier ticket.
class Store {
 public:
  /// @brief Judges a ticket without applying it.
  /// @param ticket The ticket.
  /// @param record Its record; an empty one for a ticket not yet in the log.
  /// @return Whether it would be accepted now.
  [[nodiscard]] Verdict Judge(const Ticket& ticket,
                              const RecordInfo& record = {}) const;

  /// @brief Judges the next record of the log and applies it if accepted.
  /// @param ticket The ticket of the record.
  /// @param record Its record.
  /// @return The verdict, the same on every VM.
  Verdict Apply(const Ticket& ticket, const RecordInfo& record = {});

  /// @brief Moves the position past a record.
  /// @param position New position; a lower one has no effect.
  /// @param last_id Id of the record just before the position.
  void Advance(Position position, std::string_view last_id = {});

  /// @brief Takes over the state of a peer or snapshot by joining it with the
  /// own one: for each object the higher mark wins.
  /// @param other The other state.
  /// @return True if anything but the position changed.
  bool Join(const State& other);

  /// @brief Position up to which records have been judged.
  /// @return The position.
  [[nodiscard]] Position Where() const noexcept { return state_.position; }

  /// @brief Configuration in force.
  /// @return The configuration.
  [[nodiscard]] const FleetConfig& Config() const noexcept {
    return state_.config;
  }

  /// @brief Whole state, for transfer.
  /// @return The state.
  [[nodiscard]] const State& Whole() const noexcept { return state_; }

  /// @brief Hash of the marks and numbers. Stores with equal digests have the
  /// same configuration.
  /// @return The hash.
  [[nodiscard]] std::uint64_t Digest() const noexcept { return digest_; }

  /// @brief Tells whether any ticket is in force.
  /// @return True if so.
  [[nodiscard]] bool HasState() const noexcept {
    return !state_.numbers.empty();
  }

  /// @brief Highest ticket number accepted.
  /// @return The number, 0 if none.
  [[nodiscard]] std::uint64_t HighestNumber() const noexcept {
    return state_.numbers.Highest();
  }

 private:
  [[nodiscard]] std::string Winner(std::uint64_t number) const;
  void Remember(const Ticket& ticket, const RecordInfo& record);
  void DropRemovedMarks();
  void UpdateDigest();

  State state_;
  std::uint64_t digest_ = 0;
};

}  // namespace bambootack::config

#endif  // BAMBOOTACK_CONFIG_STORE_H_

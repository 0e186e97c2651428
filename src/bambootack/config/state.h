#ifndef BAMBOOTACK_CONFIG_STATE_H_
#define BAMBOOTACK_CONFIG_STATE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bambootack/config/interval_set.h"
#include "bambootack/config/model.h"

namespace bambootack::config {

/// @brief Position in the ticket stream. A log that starts again at lower
/// offsets begins a new generation.
struct Position {
  std::uint64_t generation = 0;
  std::uint64_t offset = 0;  ///< Offset of the next record to read.

  friend auto operator<=>(const Position&, const Position&) = default;
};

/// @brief Ticket that set an object. After a reset of the log two tickets may
/// carry one number; the hash then gives every VM the same winner.
struct ObjectMark {
  std::uint64_t number = 0;
  std::uint64_t body_hash = 0;

  friend auto operator<=>(const ObjectMark&, const ObjectMark&) = default;
};

/// @brief An accepted ticket, kept to tell the loser of a race what won.
struct AcceptedTicket {
  std::uint64_t number = 0;
  std::uint64_t body_hash = 0;
  std::string author;
  std::string record_id;
  Position at;

  friend bool operator==(const AcceptedTicket&,
                         const AcceptedTicket&) = default;
};

/// @brief Whole state of a `Store`, as transferred between VMs.
struct State {
  FleetConfig config;
  Position position;
  std::string last_id;  ///< Id of the record just before the position.
  IntervalSet numbers;  ///< Ticket numbers that are taken.
  /// Tickets at or below this number are stale: marks of removed objects up to
  /// it have been dropped.
  std::uint64_t lowest_number = 0;
  /// Ticket of each object, by "service/ID", "route/ID", "limit/ID", "ranks".
  /// A mark without an object records its removal.
  std::map<std::string, ObjectMark, std::less<>> marks;
  std::vector<AcceptedTicket> recent;  ///< In log order, oldest first.

  friend bool operator==(const State&, const State&) = default;
};

}  // namespace bambootack::config

#endif  // BAMBOOTACK_CONFIG_STATE_H_

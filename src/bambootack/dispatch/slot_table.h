#ifndef BAMBOOTACK_DISPATCH_SLOT_TABLE_H_
#define BAMBOOTACK_DISPATCH_SLOT_TABLE_H_

#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

#include "bambootack/config/model.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"

namespace bambootack::dispatch {

/// @brief Limits on the requests that a server may get, derived from its
/// health.
struct ServerAdmission {
  int max_busy = std::numeric_limits<int>::max();  ///< 0 excludes the server.
  bool repeatable_only = false;  ///< Set while an ejected server is probed.
  /// Overdue requests in flight. They are left out when the loads of servers
  /// are compared, because they say nothing about the current load.
  int overdue = 0;

  friend bool operator==(const ServerAdmission&,
                         const ServerAdmission&) = default;
};

/// @brief Slot usage of one server of the group.
struct ServerSlots {
  config::Server server;
  int busy = 0;  ///< Slots in use by this dispatcher's requests.
  ServerAdmission admission;
  /// Slots that requests of the previous dispatcher may still occupy.
  int assumed_busy = 0;
  core::Time assumed_busy_until{};
  /// Upper bound of `busy` for a short time after the server refused a request.
  int refusal_limit = 0;
  core::Time refusal_limit_until{};
};

/// @brief Load balancing policy among the servers with a free slot.
enum class ServerSelection : std::uint8_t {
  kLeastLoaded,
  /// The less loaded of two random servers. Used with `dispatch = local`.
  kPowerOfTwoChoices,
};

/// @brief Tracks the slots of the servers of one group and selects a server for
/// each request.
class SlotTable {
 public:
  /// @param max_busy Upper bound of the slots in use over all servers.
  /// @param seed Seed of the random server selection.
  SlotTable(ServerSelection selection, int max_busy, std::uint64_t seed)
      : selection_(selection), max_busy_(max_busy), random_(seed) {}

  /// @brief Replaces the servers. A server that is still configured keeps its
  /// slots in use, its admission and its temporary limits.
  void Configure(const std::vector<config::Server>& servers);

  /// @brief Sets the upper bound of the slots in use over all servers.
  void SetMaxBusy(int max_busy) noexcept { max_busy_ = max_busy; }

  /// @brief Sets the admission limits of a server; an unknown server is
  /// ignored.
  void SetAdmission(std::string_view server_id, ServerAdmission admission);

  /// @brief Treats every slot as occupied by requests of the previous
  /// dispatcher until a load report of the server shows otherwise.
  /// @param until Time by which all of these requests have ended.
  void AssumeBusy(core::Time until);

  /// @brief Updates the assumed busy slots from a server's load report.
  /// @param load Fraction of the server's slots in use, 0 to 1; other values
  /// are ignored.
  void RecordServerLoad(std::string_view server_id, double load);

  /// @brief Records that a server refused a request or a connection. For a
  /// short time it gets no more requests than it has now.
  void RecordRefusal(std::string_view server_id, core::Time now);

  /// @brief Selects a server with a free slot and counts the slot as in use.
  /// @param repeatable Whether the request is safe to execute more than once.
  /// @return The server, or null if no slot is available.
  [[nodiscard]] ServerSlots* Acquire(bool repeatable, core::Time now);

  /// @brief Frees a slot of a server.
  void Release(std::string_view server_id);

  /// @brief Slots that the current limits allow, in use or free.
  [[nodiscard]] int Usable(core::Time now) const noexcept;

  /// @brief Free slots that the current limits allow.
  [[nodiscard]] int Free(core::Time now) const noexcept;

  [[nodiscard]] const std::vector<ServerSlots>& Servers() const noexcept {
    return servers_;
  }

 private:
  ServerSlots* Find(std::string_view server_id) noexcept;
  ServerSlots* LeastLoaded(const std::vector<ServerSlots*>& available);
  ServerSlots* LessLoadedOfTwo(const std::vector<ServerSlots*>& available);

  std::vector<ServerSlots> servers_;
  /// Scratch buffer of `Acquire`, kept to avoid an allocation for each call.
  std::vector<ServerSlots*> available_;
  ServerSelection selection_;
  int max_busy_;
  int busy_ = 0;
  std::size_t scan_start_ = 0;
  core::Random random_;
};

}  // namespace bambootack::dispatch

#endif  // BAMBOOTACK_DISPATCH_SLOT_TABLE_H_

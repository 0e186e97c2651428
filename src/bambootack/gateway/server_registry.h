#ifndef BAMBOOTACK_GATEWAY_SERVER_REGISTRY_H_
#define BAMBOOTACK_GATEWAY_SERVER_REGISTRY_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/time.h"
#include "bambootack/gateway/model.h"

namespace bambootack::gateway {

/// @brief A change of one server, as sent to peers.
struct ServerChange {
  ServerRecord record;
  bool removed = false;      ///< If true, only `record.id` is set.
  std::uint64_t offset = 0;  ///< In the store's topic of servers.

  friend bool operator==(const ServerChange&, const ServerChange&) = default;
};

/// @brief A registered server.
struct Registration {
  ServerRecord record;
  std::uint64_t offset = 0;  ///< Of its last change in the topic.
  core::Time warmup_end{};
  /// Set while a removal is deferred: the entry may have expired only because
  /// the store was unavailable.
  std::optional<core::Time> remove_at;
};

/// @brief Servers as they report themselves through the platform's store. The
/// store orders the reports, but a delayed report may stem from an earlier
/// start of the server.
class ServerRegistry {
 public:
  /// @brief Applies a report unless a newer one is known.
  /// @param offset Offset of the report in the topic.
  /// @return True if anything changed except its sequence number and remaining
  /// warm-up.
  bool Apply(ServerRecord record, std::uint64_t offset, core::Time now);

  /// @brief Removes a server whose entry was removed or cannot be decoded.
  /// @param offset Offset of the removal in the topic.
  /// @return True if the server was removed now; false if it was unknown, a
  /// newer change is known, or its removal is deferred. The removal of an
  /// unknown server is kept for peers that know it.
  bool Remove(std::string_view id, std::uint64_t offset, core::Time now);

  /// @brief Removes the servers that a complete list lacks.
  /// @param ids Ids in the list.
  /// @param position Offset up to which the list is complete; servers with a
  /// later change stay.
  /// @return Ids of the servers that were removed now.
  std::vector<std::string> RemoveMissing(
      const std::set<std::string, std::less<>>& ids, std::uint64_t position,
      core::Time now);

  /// @brief Applies a change that a peer has sent; a removal like one that was
  /// read from the store.
  /// @return True if anything changed except the sequence number and remaining
  /// warm-up.
  bool ApplyChange(const ServerChange& change, core::Time now);

  /// @brief Sets the services that the configuration names. An address belongs
  /// to the server of one of them that started last; an entry of another
  /// service, which may come from another writer, takes no server out.
  void SetServices(std::set<std::string, std::less<>> services);

  /// @brief Records that a start of a server is leaving, as it has told a VM.
  /// It counts as draining from then on, whatever it reports to the store; a
  /// later start under the same id does not.
  /// @param started Start time of the server, as in its reports.
  /// @return False if this was known.
  bool MarkLeaving(std::string_view id, std::int64_t started);

  /// @brief Latest change of each server that changed at or after an offset.
  [[nodiscard]] std::vector<ServerChange> ChangesSince(std::uint64_t offset,
                                                       core::Time now) const;

  /// @brief Defers removals that arrive before a time until that time, and
  /// drops those of servers that report again: their entries may have expired
  /// while the store was unavailable. Peers are told of them all the same and
  /// decide for themselves.
  /// @param until End of the deferral. An earlier end than before also applies
  /// to the removals that are deferred, a later one does not.
  void DeferRemovals(core::Time until) noexcept;

  /// @brief Carries out deferred removals that are due.
  /// @return Ids of the servers that were removed.
  std::vector<std::string> ApplyDueRemovals(core::Time now);

  /// @brief Next time to call `ApplyDueRemovals`, or nothing without deferred
  /// removals.
  [[nodiscard]] std::optional<core::Time> NextTimer() const noexcept;

  /// @brief Records that all servers up to an offset are known. An earlier
  /// report of another one is then outdated.
  void SetCompleteUntil(std::uint64_t position) noexcept {
    complete_until_ = std::max(complete_until_, position);
  }

  /// @brief All servers by id.
  [[nodiscard]] const std::map<std::string, Registration, std::less<>>&
  Servers() const noexcept {
    return servers_;
  }

 private:
  /// Identifies the latest report or removal of an id; kept after its removal.
  struct LatestChange {
    std::int64_t started = 0;
    std::int64_t sequence = 0;
    std::optional<std::uint64_t> offset;
    bool removed = false;  ///< Also while the removal is deferred.
    /// Latest start that is known to be leaving.
    std::optional<std::int64_t> leaving_start;
  };

  void RemovePreviousServersAt(const ServerRecord& record,
                               std::uint64_t offset);
  static void SetRemoved(LatestChange& latest, std::uint64_t offset) noexcept;

  std::map<std::string, Registration, std::less<>> servers_;
  std::map<std::string, LatestChange, std::less<>> latest_changes_;
  std::set<std::string, std::less<>> services_;
  std::uint64_t complete_until_ = 0;
  core::Time defer_removals_until_{};
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_SERVER_REGISTRY_H_

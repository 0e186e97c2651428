#ifndef BAMBOOTACK_GATEWAY_SERVER_REGISTRY_H_
#define BAMBOOTACK_GATEWAY_SERVER_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/time.h"
#include "bambootack/gateway/model.h"

namespace bambootack::gateway {

/// @brief A change of one server, for other VMs.
struct ServerChange {
  ServerRecord record;
  bool removed = false;      ///< Only the id of `record` counts.
  std::uint64_t offset = 0;  ///< Place in the store.

  friend bool operator==(const ServerChange&, const ServerChange&) = default;
};

/// @brief A registered server.
struct Registration {
  ServerRecord record;
  std::uint64_t offset = 0;  ///< Place in the store of its last change.
  core::Time warmup_end{};   ///< When its warm-up ends.
  /// Set while a removal waits: the entry may only have lapsed because the
  /// store was away.
  std::optional<core::Time> remove_at;
};

/// @brief Servers by their own reports, which come through the platform's
/// store. The store orders them; a report that it took late may still be of an
/// earlier start of the server.
class ServerRegistry {
 public:
  /// @brief Takes over a report.
  /// @param record The report.
  /// @param offset Its place in the store.
  /// @param now Current time.
  /// @return True if anything but its sequence number changed.
  bool Apply(ServerRecord record, std::uint64_t offset, core::Time now);

  /// @brief Removes a server whose entry is gone or unreadable.
  /// @param id The server.
  /// @param offset Place of the removal in the store.
  /// @param now Current time.
  /// @return True if the server was usable until now.
  bool Remove(std::string_view id, std::uint64_t offset, core::Time now);

  /// @brief Takes over a change that another VM has read.
  /// @param change The change.
  /// @param now Current time.
  /// @return True if it changed anything but a sequence number.
  bool ApplyChange(const ServerChange& change, core::Time now);

  /// @brief Lists the changes from a place in the store on.
  /// @param offset The place.
  /// @param now Current time.
  /// @return The newest change of each server concerned.
  [[nodiscard]] std::vector<ServerChange> ChangesSince(std::uint64_t offset,
                                                       core::Time now) const;

  /// @brief Keeps entries that vanish from now on until a time, unless they
  /// come back: they may have lapsed while the store was away.
  /// @param until The time.
  void DeferRemovals(core::Time until) noexcept { hold_until_ = until; }

  /// @brief Carries out removals that are due.
  /// @param position Place in the store up to which all is known.
  /// @param now Current time.
  /// @return Servers that were removed.
  std::vector<std::string> ApplyDueRemovals(std::uint64_t position,
                                            core::Time now);

  /// @brief When `ApplyDueRemovals` is due.
  /// @return The time, or nothing.
  [[nodiscard]] std::optional<core::Time> NextTimer() const noexcept;

  /// @brief All servers by id.
  /// @return The servers.
  [[nodiscard]] const std::map<std::string, Registration, std::less<>>&
  Servers() const noexcept {
    return servers_;
  }

 private:
  /// What the store last said of an id, kept after its removal.
  struct Newest {
    std::int64_t started = 0;
    std::int64_t sequence = 0;
    std::optional<std::uint64_t> offset;
    bool removed = false;
    std::uint64_t told_from = 0;  ///< Others need it if they know less.
  };

  void DropFormerHolder(const ServerRecord& record, std::uint64_t offset);
  void Erase(std::string_view id, std::uint64_t offset);

  std::map<std::string, Registration, std::less<>> servers_;
  std::map<std::string, Newest, std::less<>> newest_;
  core::Time hold_until_{};
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_SERVER_REGISTRY_H_

#ifndef BAMBOOTACK_SPREAD_STATE_FETCHER_H_
#define BAMBOOTACK_SPREAD_STATE_FETCHER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/config/state.h"
#include "bambootack/core/random.h"
#include "bambootack/spread/gossiper.h"
#include "bambootack/spread/peer_table.h"

namespace bambootack::spread {

/// @brief A request and its receiver.
struct FetchRequest {
  core::VmId to{};
  wire::StateRequest request;
};

/// @brief Decides from which VM to fetch state, and assembles it.
class StateFetcher {
 public:
  /// @brief Requests that are due.
  /// @param own Own state.
  /// @param peers The other VMs.
  /// @param now Current time.
  /// @param random Source of the choices.
  /// @return The requests.
  [[nodiscard]] std::vector<FetchRequest> Tick(const OwnState& own,
                                               const PeerTable& peers,
                                               core::Time now,
                                               core::Random& random);

  /// @brief Takes in a reply.
  /// @param from Its sender.
  /// @param reply The reply.
  /// @param now Current time.
  /// @return The whole state once its last part has arrived.
  [[nodiscard]] std::optional<config::State> Receive(
      core::VmId from, const wire::StateReply& reply, core::Time now);

  /// @brief Gives up a request to a VM whose connection failed.
  /// @param vm The VM.
  /// @param now Current time.
  void PeerLost(core::VmId vm, core::Time now);

  /// @brief Since when another VM is known to be ahead.
  /// @return The time, or nothing while this VM is not behind.
  [[nodiscard]] std::optional<core::Time> BehindSince() const noexcept {
    return behind_since_;
  }

 private:
  struct Assembly {
    core::VmId from{};
    std::uint64_t digest = 0;
    config::Position position;
    std::string bytes;
  };

  [[nodiscard]] bool IsUseful(const Peer& peer, const OwnState& own) const;
  [[nodiscard]] std::optional<core::VmId> Choose(const OwnState& own,
                                                 const PeerTable& peers,
                                                 core::Time now,
                                                 core::Random& random) const;
  void Expire(core::Time now);
  void Avoid(core::VmId vm, core::Time now);

  std::map<core::VmId, core::Time> in_flight_;  ///< With the end of patience.
  std::map<core::VmId, core::Time> avoided_;
  std::optional<Assembly> assembly_;
  std::optional<core::Time> behind_since_;
};

}  // namespace bambootack::spread

#endif  // BAMBOOTACK_SPREAD_STATE_FETCHER_H_

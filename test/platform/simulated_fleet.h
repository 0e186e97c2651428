#ifndef TEST_PLATFORM_SIMULATED_FLEET_H_
#define TEST_PLATFORM_SIMULATED_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/gateway/gateway.h"
#include "bench/common/event_queue.h"
#include "platform/store_client.h"

namespace bambootack::platform {

/// @brief Size of a simulated fleet. All VMs are in one failure domain.
struct FleetShape {
  std::size_t vms = 64;
  std::size_t servers = 350;
  std::uint64_t link_bytes_per_second = 1'250'000;  ///< Of each VM, outward.
  std::uint64_t seed = 1;
};

/// @brief Gateways with their store clients in virtual time. What a VM sends
/// passes its link in order, so that a large message delays all that follow.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(FleetShape shape);

  /// @brief Processes all events of a period.
  void RunFor(core::Duration time);

  /// @brief Appends a configuration with a number of routes to the store.
  void PublishConfig(std::uint64_t version, std::size_t routes = 20);

  /// @brief Appends a report of a server to the store.
  void ReportServer(std::size_t number, bool draining);

  /// @brief Appends the removal of a server's entry to the store.
  void RemoveServer(std::size_t number);

  /// @brief VMs that have a server in their registry.
  [[nodiscard]] std::vector<std::size_t> VmsWithServer(
      std::size_t number) const;

  /// @brief Lets the store answer, or refuse all requests.
  void SetStoreAvailable(bool available) noexcept {
    store_available_ = available;
  }

  /// @brief Separates a VM from all others and from the store, or reconnects
  /// it. Messages that arrive meanwhile are lost.
  void SetConnected(std::size_t vm, bool connected);

  /// @brief Drops what peers send to a VM, or delivers it again.
  void SetReceivesFromPeers(std::size_t vm, bool receives) {
    vms_[vm].receives_from_peers = receives;
  }

  /// @brief Replaces the process on a VM by a new one.
  void Restart(std::size_t vm);

  /// @brief Version in force on a VM.
  [[nodiscard]] std::uint64_t Version(std::size_t vm) const;

  /// @brief VMs on which another version is in force.
  [[nodiscard]] std::vector<std::size_t> VmsWithoutVersion(
      std::uint64_t version) const;

  /// @brief Whether a VM takes itself for the store reader of the domain.
  [[nodiscard]] bool IsStoreReader(std::size_t vm) const;

  /// @brief First VM that takes itself for the store reader of the domain.
  [[nodiscard]] std::size_t StoreReader() const;

  /// @brief Time since the store confirmed the state of a VM.
  [[nodiscard]] core::Duration StateAge(std::size_t vm) const {
    return vms_[vm]
        .gateway->Sync()
        .StateAge(events_.Now())
        .value_or(core::Duration::max());
  }

  /// @brief Longest time that a message waited for the link of its VM since the
  /// last call.
  [[nodiscard]] core::Duration TakeLongestLinkWait() {
    return std::exchange(longest_link_wait_, {});
  }

 private:
  struct Vm {
    std::unique_ptr<gateway::Gateway> gateway;
    std::unique_ptr<StoreClient> store;
    core::Time link_free_at{};
    core::Time timer{};
    bool connected = true;
    bool receives_from_peers = true;
    /// Counts starts; what was sent to an earlier one is lost.
    std::uint64_t epoch = 0;
  };

  struct Topic {
    std::vector<KeyedRecord> records;
    std::map<std::string, std::size_t> newest;  ///< Offset by key.
  };

  using Answer = std::optional<core::HttpAnswer>;

  void Start(std::size_t vm);
  void Process(std::size_t vm);
  void SendToPeer(std::size_t vm, const gateway::SendToPeer& action);
  void SendToStore(std::size_t vm, StoreClient::Request request);
  void AnswerFromStore(const std::string& target, core::Time hold_until,
                       std::function<void(Answer)> on_answer);
  [[nodiscard]] core::Time PassLink(Vm& vm, std::size_t bytes);
  void Append(const std::string& topic, std::string key,
              std::optional<std::string> value);
  [[nodiscard]] static std::string NewestPage(const Topic& topic);
  [[nodiscard]] static std::string ReadPage(const Topic& topic,
                                            std::uint64_t from);

  FleetShape shape_;
  bench::EventQueue events_{core::Time(core::Duration(1'000'000))};
  core::Random random_;
  std::vector<Vm> vms_;
  std::map<std::string, Topic, std::less<>> topics_;
  bool store_available_ = true;
  core::Duration longest_link_wait_{};
};

}  // namespace bambootack::platform

#endif  // TEST_PLATFORM_SIMULATED_FLEET_H_

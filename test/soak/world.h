#ifndef TEST_SOAK_WORLD_H_
#define TEST_SOAK_WORLD_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/scenario/process.h"
#include "soak/backend.h"
#include "soak/fault_proxy.h"
#include "soak/ledger.h"
#include "standin/platform/store.h"

namespace soak {

/// @brief Port on which the path of callers to a gateway listens.
inline constexpr std::uint16_t kFrontPort = 9104;

/// @brief What a run of the soak looks like.
struct SoakOptions {
  std::string build = "build";  ///< Folder of the programs.
  std::string folder;           ///< For settings and logs.
  std::uint64_t seed = 1;
  std::size_t gateways = 6;
  std::size_t servers = 9;
  double seconds = 20.0;  ///< Time in which faults begin.
  double requests_a_second = 60.0;
};

/// @brief A gateway with the paths to and from it.
struct Vm {
  std::string ip;
  std::string failure_domain;
  std::string log_file;
  std::unique_ptr<FaultProxy> front;       ///< Path of its callers.
  std::unique_ptr<FaultProxy> store_path;  ///< Path to the store.
  std::unique_ptr<bench::Process> process;
  std::uint64_t start = 0;  ///< Counts the processes.
  bool stop_expected = false;
  int missed = 2;  ///< Questions for readiness without a 200, in a row.

  [[nodiscard]] bool IsReady() const noexcept { return missed < 2; }
};

/// @brief A server with the path to it and its entry in the store.
struct Server {
  std::unique_ptr<Backend> backend;
  std::unique_ptr<FaultProxy> path;
  std::string address;
  std::string failure_domain;
  std::string service;
  std::int64_t started = 0;
  std::int64_t reports = 0;
  bool up = true;
  bool draining = false;
};

/// @brief Processes, servers, store and paths of one run, and the means to
/// disturb them.
class World {
 public:
  /// @brief Creates everything but the processes.
  /// @param options What the run looks like.
  explicit World(SoakOptions options);

  /// @brief Starts a gateway.
  /// @param vm Its number.
  /// @param first True for the first start of the whole fleet.
  void Start(std::size_t vm, bool first);

  /// @brief Kills a gateway and starts it again later.
  /// @param vm Its number.
  /// @param down How long it is down.
  void Kill(std::size_t vm, core::Duration down);

  /// @brief Asks a gateway to stop, and starts it again after its end.
  /// @param vm Its number.
  void Stop(std::size_t vm);

  /// @brief Suspends a gateway.
  /// @param vm Its number.
  /// @param time For how long.
  void Pause(std::size_t vm, core::Duration time);

  /// @brief Takes a server down at once; it comes back with or without its id.
  /// @param server Its number.
  /// @param down How long it is down.
  void Crash(std::size_t server, core::Duration down);

  /// @brief Lets a server leave and come back as another one, at times of
  /// another service.
  /// @param server Its number.
  void Drain(std::size_t server);

  /// @brief Lets a server say in its answers that it is leaving before it
  /// reports it to the store and drains.
  /// @param server Its number.
  /// @param until_report Time until its report.
  void AnnounceLeaving(std::size_t server, core::Duration until_report);

  /// @brief Writes the entries of all servers that are up.
  void Report();

  /// @brief Drops half of the entries, which are back soon, as after an outage.
  void Lapse();

  /// @brief Puts the next version of the configuration in force.
  void ChangeConfig();

  /// @brief Notices ends of processes.
  void WatchProcesses();

  /// @brief Asks all gateways to stop for good, and waits for them.
  void StopAll();

  /// @brief Runs something later.
  /// @param delay How much later.
  /// @param run What to run.
  void After(core::Duration delay, std::function<void()> run);

  /// @brief Runs a fault that ends by itself, and counts it as active.
  /// @param time How long it lasts.
  /// @param calm What it disturbs.
  /// @param begin Begins it.
  /// @param end Ends it.
  void Disturb(core::Duration time, Calm& calm,
               const std::function<void()>& begin, std::function<void()> end);

  [[nodiscard]] static core::Time Now();

  SoakOptions options;
  asio::io_context io;
  core::Random random;
  View view;
  Ledger ledger;
  standin::Store store;
  std::vector<Vm> vms;
  std::vector<Server> servers;
  Calm unwatched;  ///< Of disturbances that excuse nothing.
  int active_faults = 0;

 private:
  [[nodiscard]] std::string Ip(std::size_t host) const;
  void AddVm(std::size_t number);
  void AddServer(std::size_t number);
  void WriteEntry(Server& server);
  void RemoveEntry(const std::string& id);
  void ReportLeaving(std::size_t number, const std::string& id);
  void ComeBack(Server& server, std::string id);
  [[nodiscard]] std::string NewId();

  std::string network_;
  std::uint64_t last_id_ = 0;
  std::uint64_t version_ = 0;
  bool flipped_ = false;
  bool ending_ = false;
};

}  // namespace soak

#endif  // TEST_SOAK_WORLD_H_

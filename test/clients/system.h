#ifndef TEST_CLIENTS_SYSTEM_H_
#define TEST_CLIENTS_SYSTEM_H_

#include <asio.hpp>
#include <cstddef>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "bambootack/net/http_server.h"
#include "bench/scenario/process.h"
#include "clients/rogue_server.h"
#include "standin/platform/store.h"

namespace clients {

/// @brief Limits of the system under test.
struct SystemLimits {
  std::size_t memory_mb = 64;
  std::size_t descriptors = 2870;
  std::size_t body_bytes = 8UL << 20;
  int header_timeout_ms = 3000;
  int idle_timeout_ms = 15000;
};

/// @brief A gateway as a process, with a store and a backend server in this
/// process, on loopback addresses of its own.
class System {
 public:
  /// @brief Starts it and waits until it takes traffic.
  explicit System(SystemLimits limits);
  ~System();
  System(const System&) = delete;
  System& operator=(const System&) = delete;

  /// @brief Address for callers.
  [[nodiscard]] std::string Address() const;

  /// @brief Address for messages between VMs.
  [[nodiscard]] std::string PeerAddress() const;

  /// @brief Address at which the faulty server of "/rogue/" is expected.
  [[nodiscard]] std::string RogueAddress() const;

  /// @brief Replaces the store by a faulty server.
  void ReplaceStore(const RogueAnswer& answer);

  /// @brief Whether the process runs.
  [[nodiscard]] bool IsRunning() { return process_->IsRunning(); }

  /// @brief Largest resident memory so far, in MB.
  [[nodiscard]] double PeakMb() const;

  /// @brief Open descriptors.
  [[nodiscard]] std::size_t Descriptors() const;

  /// @brief Sends a request with a body of this size until it is answered with
  /// success, with pauses, for a bounded number of times.
  /// @return Whether it was.
  [[nodiscard]] bool IsServed(std::size_t body_bytes, int tries = 50);

  /// @brief Sends a small request once and waits for its answer.
  /// @return Whether it was answered with success.
  [[nodiscard]] bool IsServedAtOnce();

  /// @brief Sends a signal.
  void Signal(int signal) { process_->Signal(signal); }

  /// @brief Waits for the end, for a bounded time.
  /// @return Its exit code, or nothing if it still runs.
  [[nodiscard]] std::optional<int> WaitForEnd();

 private:
  void StopStore();
  void PutState(const SystemLimits& limits);
  void PutServer(std::string_view id, std::string_view service,
                 const std::string& address);
  void WriteSettings(const SystemLimits& limits);

  std::string network_;
  std::filesystem::path folder_;
  asio::io_context io_;
  std::optional<asio::io_context> store_io_;
  std::optional<standin::Store> store_;
  std::optional<RogueServer> rogue_store_;
  bambootack::net::HttpServer backend_;
  std::thread thread_;
  std::thread store_thread_;
  std::unique_ptr<bench::Process> process_;
};

}  // namespace clients

#endif  // TEST_CLIENTS_SYSTEM_H_

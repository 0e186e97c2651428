#ifndef TEST_SOAK_FAULT_PROXY_H_
#define TEST_SOAK_FAULT_PROXY_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bambootack/core/random.h"

namespace soak {

/// @brief What a path does to its connections.
struct PathFaults {
  bool refuse = false;                ///< New connections are reset at once.
  bool drop_requests = false;         ///< Bytes to the target vanish.
  bool drop_answers = false;          ///< Bytes of the target vanish.
  std::chrono::milliseconds delay{};  ///< Of each piece of data.
  double reset = 0.0;     ///< Share of requests after which it is reset.
  double truncate = 0.0;  ///< Share of answers that break off in the middle.
};

/// @brief A TCP proxy on loopback that stands for a network path.
class FaultProxy {
 public:
  /// @brief Starts to listen.
  /// @param io Context; all runs on its thread.
  /// @param listen IP:port of the path.
  /// @param target IP:port where connections go.
  /// @param seed Seed of the choice of connections.
  FaultProxy(asio::io_context& io, const std::string& listen,
             const std::string& target, std::uint64_t seed);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// @brief Faults to be changed by the test; they hold for open connections,
  /// too.
  /// @return The faults.
  [[nodiscard]] PathFaults& Faults() noexcept { return faults_; }

  /// @brief Sets whether the target is down: connections are reset, whatever
  /// the faults of the path are.
  /// @param down True if it is.
  void SetDown(bool down);

  /// @brief Resets all open connections.
  void ResetAll();

 private:
  struct Link;

  void Accept();
  void Pump(const std::shared_ptr<Link>& link, bool to_target);
  void Pass(const std::shared_ptr<Link>& link, bool to_target, std::size_t n);
  void Write(const std::shared_ptr<Link>& link, bool to_target, std::size_t n);

  asio::io_context& io_;
  asio::ip::tcp::endpoint target_;
  asio::ip::tcp::acceptor acceptor_;
  bambootack::core::Random random_;
  PathFaults faults_;
  bool down_ = false;
  std::vector<std::weak_ptr<Link>> links_;
};

}  // namespace soak

#endif  // TEST_SOAK_FAULT_PROXY_H_

#ifndef TEST_SOAK_BACKEND_H_
#define TEST_SOAK_BACKEND_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/http_message.h"
#include "bambootack/core/ids.h"
#include "bambootack/core/random.h"
#include "bambootack/gateway/server_protocol.h"
#include "bambootack/net/http_server.h"

namespace soak {

/// @brief Header fields that callers and servers speak.
/// @return The names.
[[nodiscard]] const bambootack::gateway::HeaderNames& Names();

/// @brief Prefix of the route of downloads.
inline constexpr std::string_view kDownloadPrefix = "/fetch/";

/// @brief The body that a backend server gives to a request.
/// @param id Id of the request.
/// @param target Its target.
/// @return The body, some kilobytes; up to half a megabyte for downloads.
[[nodiscard]] std::string BodyOf(std::string_view id, std::string_view target);

/// @brief The signature that a backend server gives to a request.
/// @param id Id of the request.
/// @return The signature.
[[nodiscard]] std::string SignatureOf(std::string_view id);

/// @brief A backend server. It runs on the thread of its context.
class Backend {
 public:
  using CallerId = bambootack::core::CallerId;
  using HttpRequest = bambootack::core::HttpRequest;
  /// @brief Called when it begins to run a request.
  using OnRun = std::function<void(const HttpRequest&)>;
  /// @brief Called when it turns a request away, with the pause that it asks
  /// for, or zero.
  using OnRefused =
      std::function<void(const HttpRequest&, bambootack::core::Duration)>;

  /// @brief Starts to listen.
  /// @param io Context of the server.
  /// @param address IP:port
  /// @param seed Seed of its times and errors.
  /// @param on_run Is told of each run.
  /// @param on_refused Is told of each request that it turns away.
  Backend(asio::io_context& io, const std::string& address, std::uint64_t seed,
          OnRun on_run, OnRefused on_refused);

  /// @brief Takes another id, as each start of a server does. Requests that it
  /// runs are forgotten.
  /// @param id The id.
  void Restart(std::string id);

  /// @brief Its id.
  /// @return The id.
  [[nodiscard]] const std::string& Id() const noexcept { return id_; }

  /// @brief Factor on the time of work.
  double slow = 1.0;
  /// @brief Share of requests that run and get 500.
  double errors = 0.0;
  /// @brief Share of requests that run and get no answer.
  double hang = 0.0;
  /// @brief Seconds of the pause with which it turns all requests away; 0 if it
  /// takes them.
  double pause_seconds = 0.0;
  /// @brief Fields of its answers that name a limit. They end with `Restart`.
  std::vector<std::string> limits;
  /// @brief Whether its answers say that it is leaving. Ends with `Restart`.
  bool leaving = false;

 private:
  void Take(CallerId caller, const HttpRequest& http);
  void Answer(CallerId caller, int status, bambootack::core::Headers headers,
              std::string body);

  asio::io_context& io_;
  bambootack::core::Random random_;
  OnRun on_run_;
  OnRefused on_refused_;
  std::string id_;
  std::map<CallerId, std::unique_ptr<asio::steady_timer>> running_;
  bambootack::net::HttpServer server_;
};

}  // namespace soak

#endif  // TEST_SOAK_BACKEND_H_

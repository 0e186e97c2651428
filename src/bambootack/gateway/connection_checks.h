#ifndef BAMBOOTACK_GATEWAY_CONNECTION_CHECKS_H_
#define BAMBOOTACK_GATEWAY_CONNECTION_CHECKS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/enum_names.h"
#include "bambootack/core/time.h"

namespace bambootack::gateway {

/// @brief What an attempt to connect to a server has shown.
enum class ConnectionResult : std::uint8_t {
  kAccepted,  ///< A process listens, whatever it does with the connection.
  kRefused,   ///< No process listens.
  kFailed,    ///< Nothing: no answer in time.
};

/// @brief Names of the results in logs.
inline constexpr core::EnumNames<ConnectionResult, 3> kConnectionResultNames{
    {"accepted", "refused", "failed"}};

/// @brief A connection to be opened, and closed without a request.
struct ConnectionCheck {
  std::string server;
  std::string address;
};

/// @brief Schedules connections that show whether servers are still up. A
/// server counts as down if it refuses two connections in a row, some time
/// apart.
class ConnectionChecks {
 public:
  /// @brief Requests a check of a server. Servers are connected to at a limited
  /// rate, however often this is called.
  /// @param due Earliest time. A check that is due earlier stays so.
  void Request(const std::string& server, const std::string& address,
               core::Time due);

  /// @brief Drops the check of a server unless it is in flight.
  void Cancel(std::string_view server);

  /// @brief Takes the checks that are due. Report each by `RecordResult`.
  [[nodiscard]] std::vector<ConnectionCheck> TakeDue(core::Time now);

  /// @brief When to call `TakeDue`, or nothing while no check is due later.
  [[nodiscard]] std::optional<core::Time> NextTimer() const;

  /// @brief What the checks of a server have shown.
  struct Verdict {
    bool listening = false;
    core::Time began{};  ///< Start of the last check.
  };

  /// @brief Records the result of a check.
  /// @return The verdict, or nothing if more checks are needed or the checks
  /// have ended without one.
  std::optional<Verdict> RecordResult(std::string_view server,
                                      ConnectionResult result, core::Time now);

 private:
  enum class State : std::uint8_t { kDue, kInFlight, kDone };

  struct Series {
    std::string address;
    State state = State::kDue;
    core::Time due{};
    core::Time began{};  ///< Start of the last check.
    int failures = 0;
    int refusals = 0;  ///< In a row.
    /// Due time of a request since `began`.
    std::optional<core::Time> requested_again;
  };

  std::map<std::string, Series, std::less<>> series_;
};

}  // namespace bambootack::gateway

#endif  // BAMBOOTACK_GATEWAY_CONNECTION_CHECKS_H_

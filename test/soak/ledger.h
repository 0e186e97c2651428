#ifndef TEST_SOAK_LEDGER_H_
#define TEST_SOAK_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"
#include "bambootack/net/http_client.h"

namespace soak {

namespace core = bambootack::core;

/// @brief When something was last disturbed. Rules with a time bound hold from
/// `kCalmTime` after the end of a disturbance.
class Calm {
 public:
  void Begin() noexcept { ++depth_; }
  void End(core::Time now) noexcept {
    --depth_;
    since_ = now;
  }
  void Touch(core::Time now) noexcept { since_ = now; }

  /// @brief Tells whether there was no disturbance for some time.
  /// @param now Current time.
  /// @param span The time; at least that of the rules by default.
  /// @return True if calm.
  [[nodiscard]] bool IsCalm(core::Time now,
                            core::Duration span = kCalmTime) const noexcept {
    return depth_ == 0 && now >= since_ + span;
  }

  /// `stableWindowMs` of the deployments.
  static constexpr core::Duration kCalmTime = std::chrono::seconds(3);

 private:
  int depth_ = 0;
  core::Time since_{};
};

/// @brief A route of the soak.
struct SoakRoute {
  std::string prefix;
  bool repeatable = false;
  std::set<std::string> services;

  friend bool operator==(const SoakRoute&, const SoakRoute&) = default;
};

/// @brief One version of the configuration, by prefix.
struct SoakConfig {
  std::uint64_t version = 0;
  core::Time acknowledged{};
  std::map<std::string, SoakRoute> routes;
};

/// @brief One request of a caller.
struct Attempt {
  std::string prefix;
  core::HttpRequest http;
  bool repeatable = false;
  std::size_t gateway = 0;
  core::Time sent{};
  core::Duration left{};  ///< Time that the caller waits.
  int runs = 0;
  std::string last_server;  ///< That ran it.
  std::optional<core::Time> ended;
  int status = 0;  ///< Zero while there is no whole answer.
};

/// @brief What the parts of the soak look like to the rules.
struct View {
  std::vector<Calm> gateways;     ///< Processes with the paths of callers.
  std::vector<Calm> store_paths;  ///< Paths of gateways to the store.
  Calm store;
  /// When each gateway was asked to stop, while it stops.
  std::vector<std::optional<core::Time>> stopping;

  [[nodiscard]] bool IsInTouch(std::size_t gateway, core::Time now) const {
    return store.IsCalm(now) && gateways[gateway].IsCalm(now) &&
           store_paths[gateway].IsCalm(now);
  }
};

/// @brief Checks the promises of the gateways by what callers and servers see.
class Ledger {
 public:
  /// @brief Creates an empty ledger.
  /// @param view State of the parts; outlives the ledger.
  explicit Ledger(const View& view) : view_(view) {}

  /// @brief Notes a configuration that the store has taken.
  /// @param config The configuration.
  void NoteConfig(SoakConfig config) { configs_.push_back(std::move(config)); }

  /// @brief Notes that the store has taken a server's leaving.
  /// @param server Its id.
  /// @param now Current time.
  void NoteLeaving(const std::string& server, core::Time now) {
    leaving_.emplace(server, now);
  }

  /// @brief Notes that a server has started, possibly under an id that it had.
  /// @param server Its id.
  void NoteStart(const std::string& server) {
    std::erase_if(announced_,
                  [&](const auto& it) { return it.first.second == server; });
    ForgetLimit(server);
  }

  /// @brief Notes that a server names another limit in its answers.
  /// @param server Its id.
  /// @param rate Requests/s, or nothing if it names none any more.
  /// @param now Current time.
  void NoteLimit(const std::string& server, std::optional<double> rate,
                 core::Time now);

  /// @brief Notes a request that a caller sends.
  /// @param id Its id.
  /// @param attempt The request.
  void NoteSent(const std::string& id, Attempt attempt);

  /// @brief Notes that a server begins to run a request.
  /// @param http The request as the server got it.
  /// @param server Id of the server.
  /// @param service Its service.
  /// @param now Current time.
  void NoteRun(const core::HttpRequest& http, const std::string& server,
               const std::string& service, core::Time now);

  /// @brief Notes that a server turns a request away.
  /// @param http The request as the server got it.
  /// @param server Id of the server.
  /// @param pause How long it wants nothing from the gateway, or zero.
  /// @param now Current time.
  void NoteRefused(const core::HttpRequest& http, const std::string& server,
                   core::Duration pause, core::Time now);

  /// @brief Notes how a request ended for its caller.
  /// @param id Its id.
  /// @param result The result.
  /// @param now Current time.
  void NoteEnd(const std::string& id,
               const bambootack::net::HttpCallResult& result, core::Time now);

  /// @brief Notes that a caller has left.
  /// @param id Id of its request.
  /// @param now Current time.
  void NoteLeft(const std::string& id, core::Time now);

  /// @brief Tells whether a request has ended.
  /// @param id Its id.
  /// @return True if it has an end, or its caller has left.
  [[nodiscard]] bool HasEnded(const std::string& id) const {
    return attempts_.at(id).ended.has_value();
  }

  /// @brief Notes something that is wrong in itself.
  /// @param rule Rule that it breaks.
  /// @param text What was seen.
  /// @param now Current time.
  void Break(const std::string& rule, const std::string& text, core::Time now);

  /// @brief Checks sums over the run up to a time.
  /// @param healed When the last fault ended.
  /// @param until The time; later ends and runs do not count.
  void CheckTotals(core::Time healed, core::Time until);

  /// @brief What was broken.
  /// @return One line each.
  [[nodiscard]] const std::vector<std::string>& Broken() const noexcept {
    return broken_;
  }

  /// @brief Counts for the report.
  /// @return One line.
  [[nodiscard]] std::string Summary() const;

 private:
  /// A run at a server.
  struct Arrival {
    core::Time at{};
    bool repeat = false;
  };

  /// A gateway and a server.
  using Pair = std::pair<std::size_t, std::string>;

  /// A pause that a server wants from a gateway.
  struct Pause {
    core::Time from{};
    core::Time until{};
    int arrivals = 0;
  };

  /// A limit that a server names in its answers.
  struct Limit {
    std::vector<std::pair<core::Time, double>> rates;  ///< With their starts.
    std::optional<core::Time> first_told;              ///< To any gateway.
    /// Requests of gateways that had been told.
    std::vector<std::pair<core::Time, std::size_t>> arrivals;
  };

  void CheckPause(const Pair& pair, core::Time now);
  void CheckLimit(const Pair& pair, core::Time now);
  void ForgetLimit(const std::string& server);
  [[nodiscard]] static double CountArrivals(
      const std::vector<Arrival>& arrivals, core::Time after, core::Time until,
      bool repeat);
  [[nodiscard]] std::set<std::string> ServicesAllowed(const Attempt& attempt,
                                                      bool in_touch) const;
  [[nodiscard]] bool HadRouteAlways(const Attempt& attempt,
                                    bool in_touch) const;
  void CheckAnswer(const std::string& id, const Attempt& attempt,
                   const core::HttpAnswer& answer, core::Time now);
  void CheckLoss(const std::string& id, const Attempt& attempt, core::Time now);
  void CheckRecovery(core::Time healed, core::Time until);
  void CheckRepeats(core::Time until);

  const View& view_;
  std::vector<SoakConfig> configs_;  ///< In the order of their versions.
  std::map<std::string, core::Time> leaving_;
  /// When a gateway first passed on that a server is leaving.
  std::map<Pair, core::Time> announced_;
  std::map<Pair, Pause> pauses_;
  std::map<std::string, Limit> limits_;  ///< By server.
  /// When a gateway first passed on a limit of a server.
  std::map<Pair, core::Time> told_limits_;
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, core::Time> left_;
  std::map<std::string, std::vector<Arrival>> arrivals_;  ///< By service.
  std::vector<std::string> broken_;
  int losses_in_touch_ = 0;
  int runs_after_leaving_ = 0;
  int overdue_in_touch_ = 0;
};

}  // namespace soak

#endif  // TEST_SOAK_LEDGER_H_

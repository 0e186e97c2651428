#ifndef TEST_BAMBOOTACK_GATEWAY_LIMITED_FLEET_H_
#define TEST_BAMBOOTACK_GATEWAY_LIMITED_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/core/random.h"
#include "bambootack/gateway/gateway.h"
#include "bench/common/event_queue.h"

namespace bambootack::gateway {

/// Size and load of a fleet whose VMs are all in one failure domain.
struct LimitedFleetShape {
  std::size_t vms = 40;
  std::size_t servers = 20;
  double requests_per_second = 150.0;
  double work_ms = 200.0;
  double peer_loss = 0.0;    ///< Share of messages between VMs that are lost.
  double server_loss = 0.0;  ///< Share of requests whose connection is lost.
  std::uint64_t seed = 1;
};

/// Gateways, callers and servers that name limits, in virtual time. Each
/// arrival at a server is checked against the limits that its server has named.
class LimitedFleet {
 public:
  explicit LimitedFleet(LimitedFleetShape shape);

  void RunFor(core::Duration time);

  [[nodiscard]] std::size_t Vms() const noexcept { return vms_.size(); }
  [[nodiscard]] std::size_t Servers() const noexcept { return servers_.size(); }

  /// Lets a server name a limit from now on, as the fields of its answers.
  /// @param rate The limit that counts; nothing if the fields name none.
  void SetLimit(std::size_t server, std::vector<std::string> fields,
                std::optional<double> rate);

  /// Starts another process on a VM. VMs count from 0.
  void Restart(std::size_t vm);

  /// Begins a graceful shutdown.
  void Stop(std::size_t vm);

  /// Ends a process without a word, or leaves it out from the start.
  void Kill(std::size_t vm) { vms_[vm].gateway.reset(); }

  /// Lets messages between two VMs pass, or drops them.
  void SetConnected(std::size_t a, std::size_t b, bool connected);

  /// Lets a VM reach peers and servers, or nothing. It does not count then.
  void SetCut(std::size_t vm, bool cut);

  /// VM that dispatches the servers, from the view of another one.
  [[nodiscard]] std::size_t Dispatcher(std::size_t of) const;

  /// Lines that tell which limits were not kept.
  [[nodiscard]] const std::vector<std::string>& Broken() const noexcept {
    return broken_;
  }

  /// Requests that reached a server within the last seconds.
  [[nodiscard]] std::size_t Arrivals(std::size_t server,
                                     core::Duration within) const;

  [[nodiscard]] std::size_t Served() const noexcept { return served_; }
  [[nodiscard]] std::size_t Refused() const noexcept { return refused_; }

 private:
  struct Vm {
    std::unique_ptr<Gateway> gateway;
    std::uint64_t epoch = 0;  ///< Counts starts.
    core::Time timer{};
    core::Time disturbed_at{};  ///< Last restart or end of a cut.
    bool cut = false;
    std::map<std::size_t, core::Time> told;  ///< By server.
  };

  struct Arrival {
    core::Time at{};
    std::size_t vm = 0;
    bool counts = false;  ///< The VM had passed on an answer with a limit.
  };

  struct LimitChange {
    core::Time at{};
    std::optional<double> rate;
  };

  struct Server {
    std::vector<std::string> fields;
    std::vector<LimitChange> changes;
    std::optional<core::Time> first_named;  ///< In an answer.
    std::deque<Arrival> arrivals;
    int executing = 0;
  };

  struct InFlight {
    std::size_t vm = 0;
    std::uint64_t epoch = 0;
    std::uint64_t attempt = 0;
    std::string request;
  };

  void Start(std::size_t vm);
  void Process(std::size_t vm);
  void Perform(std::size_t vm, GatewayAction& action);
  void SendRequest();
  void Arrive(std::size_t server, const InFlight& it);
  void Answer(std::size_t server, const InFlight& it, int status,
              core::Headers headers);
  void Finish(const InFlight& it, node::AttemptEnd end,
              core::HttpAnswer answer);
  void NoteAnswer(std::size_t vm, const core::HttpAnswer& answer);
  void CheckLimit(std::size_t server);
  [[nodiscard]] std::optional<double> Allowed(const Server& server) const;

  LimitedFleetShape shape_;
  bench::EventQueue events_{core::Time(core::Duration(1'000'000))};
  core::Random random_;
  std::vector<Vm> vms_;
  std::vector<Server> servers_;
  std::set<std::pair<std::size_t, std::size_t>> disconnected_;
  std::vector<std::string> broken_;
  std::uint64_t last_request_ = 0;
  std::size_t served_ = 0;
  std::size_t refused_ = 0;
};

}  // namespace bambootack::gateway

#endif  // TEST_BAMBOOTACK_GATEWAY_LIMITED_FLEET_H_

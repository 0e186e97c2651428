#include "gateway/shell.h"

#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>
#include <optional>
#include <random>
#include <utility>

#include "bambootack/gateway/gateway.h"
#include "bambootack/gateway/graceful_shutdown.h"
#include "bambootack/net/http_client.h"
#include "bambootack/net/http_server.h"
#include "bambootack/node/answers.h"
#include "bambootack/node/operator_api.h"
#include "gateway/identity.h"
#include "gateway/log_writer.h"
#include "gateway/peers.h"
#include "platform/fleet_join.h"
#include "platform/store_reader.h"

namespace bambootack::gateway_daemon {
namespace {

/// Servers answer with some kilobytes; the limit protects the memory of a VM.
constexpr std::size_t kMaxAnswerBytes = 64UL * 1024 * 1024;
constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024;

/// Connections that callers keep are idle for up to 12 s.
constexpr std::uint32_t kCallerReadTimeoutMs = 20'000;

/// A round trip takes 2 ms, and a lost packet is sent again after 200 ms or
/// more; another server is tried before that.
constexpr auto kConnectTimeout = std::chrono::milliseconds(120);

/// VMs that start together join the fleet within this time.
constexpr core::Duration kJoinSpread = std::chrono::milliseconds(800);

/// When the whole fleet starts for the first time, VMs find each other before
/// traffic comes (8 s), and one in each failure domain reads the store for all.
/// It needs 2 s or more to tell 64 VMs of 350 servers on 0.07 of a core.
constexpr core::Duration kFirstPatience = std::chrono::milliseconds(6000);

/// A VM that starts again may have callers at once, and reads without delay
/// but for some milliseconds that spread the calls of a whole fleet.
constexpr core::Duration kRestartSpread = std::chrono::milliseconds(60);

/// Calls of the store have numbers apart from those of sends.
constexpr std::uint64_t kFirstStoreCall = 1ULL << 62;

constexpr auto kFlushLimit = std::chrono::milliseconds(200);

core::Time Now() {
  return core::Time(std::chrono::duration_cast<core::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::chrono::steady_clock::time_point ToSteady(core::Time time) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          time.time_since_epoch()));
}

}  // namespace

class Shell::Impl {
 public:
  explicit Impl(gateway::GatewaySettings settings)
      : settings_(std::move(settings)),
        random_(std::random_device{}()),
        log_(settings_.log_level, settings_.name),
        gateway_(OptionsOf(settings_), std::random_device{}()),
        store_(gateway_,
               [this](log::EventId id, std::string detail) {
                 log_.Add({id, std::move(detail)}, Now());
               }),
        join_({settings_.peer_address, settings_.failure_domain},
              settings_.first_start, &DrawKey),
        timer_(control_),
        signals_(control_, SIGTERM, SIGINT, SIGHUP),
        client_(kMaxAnswerBytes),
        operators_(
            {.address = settings_.operator_address, .context = &control_},
            [this](core::CallerId caller, core::HttpRequest http) {
              Report(operators_, caller, http);
            },
            {}),
        metrics_({.address = settings_.metrics_address, .context = &control_},
                 [this](core::CallerId caller, core::HttpRequest http) {
                   Report(metrics_, caller, http);
                 },
                 {}),
        callers_(
            {.address = settings_.caller_address,
             .max_body_bytes = kMaxBodyBytes,
             .read_timeout_ms = kCallerReadTimeoutMs,
             .context = &control_},
            [this](core::CallerId caller, core::HttpRequest http) {
              asio::post(control_,
                         [this, caller, http = std::move(http)]() mutable {
                           gateway_.OnRequest(caller, std::move(http), Now());
                           Settle();
                         });
            },
            [this](core::CallerId caller) {
              asio::post(control_, [this, caller] {
                gateway_.OnCallerDisconnected(caller, Now());
                Settle();
              });
            }) {}

  int Run() {
    log_.Add({log::EventId::kStarted,
              fmt::format("callers={} operators={} peers={} store={}",
                          settings_.caller_address, settings_.operator_address,
                          settings_.peer_address, settings_.store_address)},
             Now());
    BeginJoin();
    WaitForSignal();
    Settle();
    control_.run();
    log_.Flush();
    return exit_code_;
  }

 private:
  void WaitForSignal() {
    signals_.async_wait([this](std::error_code ec, int signal) {
      if (ec) {
        return;
      }
      if (signal != SIGHUP) {
        BeginStop();
      }
      WaitForSignal();
      Settle();
    });
  }

  void BeginJoin() {
    const core::Duration spread =
        settings_.first_start ? kJoinSpread : kRestartSpread;
    const core::Duration delay(
        random_.Below(static_cast<std::uint64_t>(spread.count())));
    join_.Postpone(Now() + delay);
    gateway_.Sync().Begin(
        Now() + delay +
        (settings_.first_start ? kFirstPatience : core::Duration{}));
  }

  void BeginStop() {
    if (stop_) {
      return;
    }
    log_.Add({log::EventId::kStopping,
              fmt::format("in_flight={}", gateway_.InFlight())},
             Now());
    gateway_.BeginShutdown();
    stop_.emplace(Now(), settings_.stop_grace, settings_.stop_limit);
  }

  /// Carries out what the last events led to, and sets the timer.
  void Settle() {
    const core::Time now = Now();
    gateway_.OnTimer(now);
    for (platform::StoreReader::Call& it : store_.Next(now)) {
      CallStore(std::move(it.call),
                [this, topic = it.topic](const StoreAnswer& answer) {
                  store_.Take(topic, answer, Now(), random_);
                });
    }
    if (auto call = join_.Next(now)) {
      CallStore(*std::move(call), [this](const StoreAnswer& answer) {
        join_.Take(answer, Now(), random_);
        FollowJoin();
      });
    }
    for (gateway::GatewayAction& it : gateway_.TakeActions()) {
      std::visit([&](auto& action) { Do(std::move(action), now); }, it);
    }
    if (!announced_ready_ && gateway_.IsReady()) {
      announced_ready_ = true;
      log_.Add(
          {log::EventId::kReady,
           fmt::format("version={} servers={}", gateway_.Routes().Version(),
                       gateway_.Registry().Servers().size())},
          now);
    }
    log_.Flush();
    EndStopWhenIdle(now);
    SetTimer(now);
  }

  void EndStopWhenIdle(core::Time now) {
    if (!stop_) {
      return;
    }
    stop_->RecordInFlight(gateway_.InFlight(), now);
    if (stop_->RefusesNewRequests(now)) {
      gateway_.RefuseNewRequests();
    }
    if (!stop_->IsComplete(now)) {
      return;
    }
    const bool cut = gateway_.InFlight() > 0;
    exit_code_ = cut ? 1 : 0;
    log_.Add({cut ? log::EventId::kStopCut : log::EventId::kStopped,
              fmt::format("in_flight={}", gateway_.InFlight())},
             now);
    callers_.Flush(kFlushLimit);
    control_.stop();
  }

  void SetTimer(core::Time now) {
    std::optional<core::Time> due = gateway_.NextTimer();
    const auto earlier = [&](std::optional<core::Time> other) {
      if (other && (!due || *other < *due)) {
        due = other;
      }
    };
    earlier(store_.NextDue(now));
    earlier(join_.NextDue());
    if (stop_) {
      earlier(stop_->NextTimer(now));
    }
    if (!due) {
      timer_.cancel();
      return;
    }
    timer_.expires_at(ToSteady(std::max(*due, now)));
    timer_.async_wait([this](std::error_code ec) {
      if (!ec) {
        Settle();
      }
    });
  }

  using StoreAnswer = std::optional<core::HttpAnswer>;

  template <typename F>
  void CallStore(platform::StoreCall call, F on_answer) {
    net::HttpCall http;
    http.address = settings_.store_address;
    http.http = std::move(call.http);
    http.timeout = call.timeout;
    gateway_.Metrics().CountStoreCall();
    client_.Start(
        ++last_store_call_, std::move(http),
        [this, on_answer](net::HttpCallResult result) {
          asio::post(control_,
                     [this, on_answer, result = std::move(result)]() mutable {
                       StoreAnswer answer;
                       if (result.end == node::AttemptEnd::kAnswered) {
                         answer = std::move(result.answer);
                       }
                       on_answer(answer);
                       Settle();
                     });
        });
  }

  /// Begins to exchange messages once the key is known, and adds the VMs found.
  void FollowJoin() {
    if (!peers_ && join_.StartNumber()) {
      peers_.emplace(
          PeerIdentity{NumberOf(settings_.peer_address), settings_.peer_address,
                       join_.Key(),
                       core::Incarnation{*join_.StartNumber() + 1}},
          [this](core::VmId from, gateway::PeerMessage message) {
            asio::post(control_,
                       [this, from, message = std::move(message)]() mutable {
                         gateway_.OnMessage(from, std::move(message), Now());
                         Settle();
                       });
          },
          [this](core::VmId from, std::string reason) {
            asio::post(control_, [this, from, reason = std::move(reason)] {
              log_.Add({log::EventId::kFrameRejected,
                        fmt::format("sender={} reason={}",
                                    static_cast<std::uint32_t>(from), reason)},
                       Now());
            });
          });
    }
    if (!peers_) {
      return;
    }
    for (const auto& [address, it] : join_.Members()) {
      gateway_.AddPeer({NumberOf(address), {}, address, it.failure_domain});
    }
    if (join_.IsDone()) {
      gateway_.Sync().Settle();
    }
  }

  void Do(node::AnswerCaller action, core::Time /*now*/) {
    callers_.Answer(action.caller, std::move(action.http));
  }

  void Do(gateway::StartAttempt action, core::Time /*now*/) {
    const std::uint64_t send = action.id;
    net::HttpCall call;
    call.address = std::move(action.address);
    call.http = std::move(action.http);
    call.timeout = action.timeout;
    call.connect_timeout = kConnectTimeout;
    call.fresh_connection = true;
    call.accept_unframed = true;
    client_.Start(
        send, std::move(call), [this, send](net::HttpCallResult result) {
          asio::post(control_,
                     [this, send, result = std::move(result)]() mutable {
                       gateway_.OnAttemptFinished(
                           send, result.end, std::move(result.answer), Now());
                       Settle();
                     });
        });
  }

  void Do(const gateway::CancelAttempt& action, core::Time /*now*/) {
    client_.Cancel(action.id);
  }

  void Do(const gateway::SendToPeer& action, core::Time /*now*/) {
    if (peers_) {
      peers_->Tell(action.vm, action.message);
    }
  }

  void Do(gateway::SetMembers action, core::Time /*now*/) {
    if (peers_) {
      peers_->SetMembers(std::move(action.members));
    }
  }

  void Do(const node::WriteLog& action, core::Time now) {
    log_.Add(action.record, now);
  }

  void Report(net::HttpServer& server, core::CallerId caller,
              const core::HttpRequest& http) {
    const std::string_view path = core::PathOf(http.target);
    if (path == "/ready") {
      server.Answer(caller,
                    gateway_.IsReady()
                        ? node::TextAnswer(200, "ready\n")
                        : node::OperatorError(core::ErrorKind::kNotReady, ""));
    } else if (path == "/metrics") {
      server.Answer(
          caller,
          node::TextAnswer(200, gateway_.Metrics().Text(gateway_.Gauges(Now())),
                           node::kMetricsType));
    } else {
      server.Answer(
          caller, node::OperatorError(core::ErrorKind::kUnknownCommand, path));
    }
  }

  gateway::GatewaySettings settings_;
  core::Random random_;
  asio::io_context control_;
  LogWriter log_;
  gateway::Gateway gateway_;
  platform::StoreReader store_;
  platform::FleetJoin join_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  std::optional<gateway::GracefulShutdown> stop_;
  int exit_code_ = 0;
  bool announced_ready_ = false;
  std::uint64_t last_store_call_ = kFirstStoreCall;
  net::HttpClient client_;
  std::optional<Peers> peers_;
  net::HttpServer operators_;
  net::HttpServer metrics_;
  net::HttpServer callers_;
};

Shell::Shell(gateway::GatewaySettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Shell::~Shell() = default;

int Shell::Run() { return impl_->Run(); }

}  // namespace bambootack::gateway_daemon

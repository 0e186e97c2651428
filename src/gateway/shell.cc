#include "gateway/shell.h"

#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>
#include <ctime>
#include <optional>
#include <random>
#include <utility>

#include "bambootack/gateway/gateway.h"
#include "bambootack/gateway/graceful_shutdown.h"
#include "bambootack/memory/body_account.h"
#include "bambootack/net/body_memory.h"
#include "bambootack/net/http_client.h"
#include "bambootack/net/http_server.h"
#include "bambootack/node/answers.h"
#include "bambootack/node/operator_api.h"
#include "gateway/identity.h"
#include "gateway/log_writer.h"
#include "gateway/peer_messenger.h"
#include "platform/fleet_joiner.h"
#include "platform/fleet_limits.h"
#include "platform/store_client.h"

namespace bambootack::gateway_daemon {
namespace {

/// Servers answer with a few kilobytes. A faulty one sends without end, and the
/// smallest VMs have 112 MB; a growing buffer takes up to three times its
/// bytes.
constexpr net::AnswerLimits kAnswerLimits{
    .body_bytes = 8UL * 1024 * 1024, .total_body_bytes = 24UL * 1024 * 1024};
constexpr std::size_t kMegabyte = 1024UL * 1024;

/// The store's pages have up to 1 MB of values, in base64. Parsed, an answer
/// may take 24 times its bytes.
constexpr std::size_t kMaxStoreAnswerBytes = 2 * kMegabyte;
constexpr std::size_t kMaxBodyBytes = 64 * kMegabyte;

/// Answers that are received may take this part of the memory of the VM.
constexpr std::size_t kAnswerMemoryDivisor = 8;

/// Connections of callers may take a quarter of the memory, with heads of the
/// largest size; ordinary ones take far less.
constexpr std::size_t kConnectionMemoryDivisor = 4;
constexpr std::size_t kConnectionBytes = 40UL * 1024;
constexpr std::size_t kMaxConnections = 4096;

/// Descriptors that the platform keeps for files, and those for listeners,
/// peers, the store and operators.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kOtherDescriptors = 64;

/// Longer than the up to 12 s for which callers keep idle connections open.
constexpr std::uint32_t kCallerReadTimeoutMs = 20'000;

/// A round trip takes 2 ms, and TCP retransmits a lost packet after 200 ms at
/// the earliest; a request is attempted at another server before that.
constexpr auto kConnectTimeout = std::chrono::milliseconds(120);

/// On the first start of the fleet, VMs begin to join at random times within
/// this period.
constexpr core::Duration kFirstStartJitter = std::chrono::milliseconds(800);

/// On the first start of the fleet, VMs discover each other before traffic
/// arrives (8 s), and one store reader per failure domain reads the store for
/// all. With 0.07 of a CPU core it takes 2 s or more to send 350 servers to 64
/// VMs, so the other VMs wait this long before they read the store themselves.
constexpr core::Duration kFirstReadDelay = std::chrono::milliseconds(6000);

/// A restarted VM may have callers immediately, so it reads without delay apart
/// from a few milliseconds of jitter that spread the requests of a whole fleet.
constexpr core::Duration kRestartJitter = std::chrono::milliseconds(60);

/// Ids of requests to the store, in a range that ids of attempts do not reach.
constexpr std::uint64_t kFirstStoreRequestId = 1ULL << 62;

/// Ids of connections that check servers, in another such range.
constexpr std::uint64_t kFirstCheckId = 1ULL << 61;

/// Time since the boot of the VM. Unlike the steady clock it includes
/// suspension, in which leases run out and API keys may be withdrawn.
core::Time Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::Time(std::chrono::duration_cast<core::Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

net::AnswerLimits AnswerLimitsOf(std::size_t memory_bytes) {
  net::AnswerLimits limits = kAnswerLimits;
  if (memory_bytes > 0) {
    limits.total_body_bytes =
        std::min(limits.total_body_bytes, memory_bytes / kAnswerMemoryDivisor);
    limits.body_bytes = std::min(limits.body_bytes, limits.total_body_bytes);
  }
  return limits;
}

/// Connections of callers for which there are descriptors and memory. Each may
/// need another descriptor for the server that gets its request.
std::size_t MaxConnections(const gateway::GatewaySettings& settings) {
  std::size_t result = kMaxConnections;
  const auto descriptors = static_cast<std::size_t>(settings.max_descriptors);
  const auto memory = static_cast<std::size_t>(settings.memory_mb) * kMegabyte;
  if (descriptors > 0) {
    constexpr std::size_t kReserved = kFileDescriptors + kOtherDescriptors;
    result = std::min(
        result, descriptors > kReserved ? (descriptors - kReserved) / 2 : 1);
  }
  if (memory > 0) {
    result =
        std::min(result, memory / kConnectionMemoryDivisor / kConnectionBytes);
  }
  return std::max<std::size_t>(result, 1);
}

gateway::ConnectionResult ResultOf(const net::HttpCallResult& result) {
  if (result.end == node::AttemptEnd::kAnswered) {
    return gateway::ConnectionResult::kAccepted;
  }
  return result.refused ? gateway::ConnectionResult::kRefused
                        : gateway::ConnectionResult::kFailed;
}

}  // namespace

class Shell::Impl {
 public:
  explicit Impl(gateway::GatewaySettings settings)
      : settings_(std::move(settings)),
        limits_(platform::ParseFleetLimits(settings_.platform_bounds)),
        random_(std::random_device{}()),
        log_(settings_.log_level, settings_.name),
        gateway_(MakeGatewayOptions(settings_, limits_.limits),
                 std::random_device{}()),
        store_(gateway_,
               [this](log::EventId id, std::string detail) {
                 log_.Add({id, std::move(detail)}, Now());
               }),
        join_({settings_.peer_address, settings_.failure_domain},
              settings_.first_start, &GenerateFleetKey),
        timer_(io_context_),
        signals_(io_context_, SIGTERM, SIGINT, SIGHUP),
        client_(AnswerLimitsOf(static_cast<std::size_t>(settings_.memory_mb) *
                               kMegabyte)),
        body_memory_(std::make_shared<net::BodyMemory>(
            memory::MakeBodyLimits(
                static_cast<std::size_t>(settings_.memory_mb) * kMegabyte),
            kMaxBodyBytes, &Now)),
        operator_server_(
            {.address = settings_.operator_address, .context = &io_context_},
            [this](core::CallerId caller, core::HttpRequest http) {
              AnswerOperator(operator_server_, caller, http);
            },
            {}),
        metrics_server_(
            {.address = settings_.metrics_address, .context = &io_context_},
            [this](core::CallerId caller, core::HttpRequest http) {
              AnswerOperator(metrics_server_, caller, http);
            },
            {}),
        caller_server_(
            {.address = settings_.caller_address,
             .max_body_bytes = kMaxBodyBytes,
             .max_connections = MaxConnections(settings_),
             .read_timeout_ms = kCallerReadTimeoutMs,
             .body_memory = body_memory_,
             .context = &io_context_},
            [this](core::CallerId caller, core::HttpRequest http) {
              asio::post(io_context_,
                         [this, caller, http = std::move(http)]() mutable {
                           gateway_.OnRequest(caller, std::move(http), Now());
                           ProcessEvents();
                         });
            },
            [this](core::CallerId caller) {
              asio::post(io_context_, [this, caller] {
                gateway_.OnCallerDisconnected(caller, Now());
                ProcessEvents();
              });
            }) {}

  int Run() {
    log_.Add({log::EventId::kStarted,
              fmt::format("callers={} operators={} peers={} store={}",
                          settings_.caller_address, settings_.operator_address,
                          settings_.peer_address, settings_.store_address)},
             Now());
    LogLimits();
    StartJoin();
    WaitForSignal();
    ProcessEvents();
    io_context_.run();
    log_.Flush();
    return exit_code_;
  }

 private:
  void LogLimits() {
    log_.Add({log::EventId::kLimitsInForce, Describe(limits_.limits)}, Now());
    for (const platform::LimitNotice& it : limits_.notices) {
      log_.Add({log::EventId::kLimitNotApplied, Describe(it)}, Now());
    }
  }

  void WaitForSignal() {
    signals_.async_wait([this](std::error_code ec, int signal) {
      if (ec) {
        return;
      }
      if (signal != SIGHUP) {
        BeginShutdown();
      }
      WaitForSignal();
      ProcessEvents();
    });
  }

  void StartJoin() {
    const core::Duration jitter =
        settings_.first_start ? kFirstStartJitter : kRestartJitter;
    const core::Duration delay(
        random_.Below(static_cast<std::uint64_t>(jitter.count())));
    join_.Postpone(Now() + delay);
    gateway_.Sync().SetFirstReadTime(
        Now() + delay +
        (settings_.first_start ? kFirstReadDelay : core::Duration{}));
  }

  void BeginShutdown() {
    if (shutdown_) {
      return;
    }
    log_.Add({log::EventId::kStopping,
              fmt::format("in_flight={}", gateway_.InFlight())},
             Now());
    const gateway::ShutdownSchedule schedule = gateway::PlanShutdown(
        Now(), settings_.stop_limit.value_or(limits_.limits.stop_grace));
    gateway_.BeginShutdown(schedule);
    shutdown_.emplace(schedule);
  }

  /// Performs the actions that follow from the last events and sets the timer.
  void ProcessEvents() {
    const core::Time now = Now();
    gateway_.OnTimer(now);
    for (platform::StoreClient::Request& request : store_.NextRequests(now)) {
      SendToStore(std::move(request.request),
                  [this, topic = request.topic](const StoreAnswer& answer) {
                    store_.OnAnswer(topic, answer, Now(), random_);
                  });
    }
    if (auto request = join_.NextRequest(now)) {
      SendToStore(*std::move(request), [this](const StoreAnswer& answer) {
        join_.OnAnswer(answer, Now(), random_);
        ApplyJoinProgress();
      });
    }
    for (gateway::GatewayAction& action : gateway_.TakeActions()) {
      std::visit([&](auto& typed) { Perform(std::move(typed), now); }, action);
    }
    ApplyCallerLimits();
    if (!ready_logged_ && gateway_.IsReady()) {
      ready_logged_ = true;
      log_.Add(
          {log::EventId::kReady,
           fmt::format("version={} servers={}", gateway_.Routes().Version(),
                       gateway_.Registry().Servers().size())},
          now);
    }
    log_.Flush();
    AdvanceShutdown(now);
    SetTimer(now);
  }

  /// Applies the limits on callers of the configuration in force.
  void ApplyCallerLimits() {
    const std::uint64_t version = gateway_.Routes().Version();
    if (version == limits_version_) {
      return;
    }
    limits_version_ = version;
    const auto& limits = gateway_.Routes().Config().caller_limits;
    body_memory_->SetMaxBodyBytes(
        limits ? std::min(limits->body_bytes, kMaxBodyBytes) : kMaxBodyBytes);
  }

  void AdvanceShutdown(core::Time now) {
    if (!shutdown_) {
      return;
    }
    shutdown_->RecordInFlight(RequestsInProgress(), now);
    if (shutdown_->IsComplete(now) && !exiting_) {
      exiting_ = true;
      // Requests that were read before are handled first.
      asio::post(io_context_, [this] { Exit(); });
    }
  }

  void Exit() {
    const core::Time now = Now();
    shutdown_->RecordInFlight(RequestsInProgress(), now);
    if (!shutdown_->IsComplete(now)) {
      exiting_ = false;
      SetTimer(now);
      return;
    }
    const std::size_t cut = RequestsInProgress();
    exit_code_ = cut > 0 ? 1 : 0;
    log_.Add({cut > 0 ? log::EventId::kStopCut : log::EventId::kStopped,
              fmt::format("in_flight={}", cut)},
             now);
    io_context_.stop();
  }

  /// Requests without an answer, and answers that are not transmitted yet.
  [[nodiscard]] std::size_t RequestsInProgress() const {
    return gateway_.InFlight() + caller_server_.UnsentCount();
  }

  void SetTimer(core::Time now) {
    std::optional<core::Time> next = gateway_.NextTimer();
    const auto earlier = [&](std::optional<core::Time> other) {
      if (other && (!next || *other < *next)) {
        next = other;
      }
    };
    earlier(store_.NextTimer(now));
    earlier(join_.NextTimer());
    if (shutdown_) {
      earlier(shutdown_->NextTimer(now));
    }
    if (!next) {
      timer_.cancel();
      return;
    }
    const core::Time expiry = std::max(*next, now);
    timer_.expires_after(expiry - now);
    timer_.async_wait([this, expiry](std::error_code ec) {
      if (!ec) {
        gateway_.Metrics().ObserveTimerDelay(Now() - expiry);
        ProcessEvents();
      }
    });
  }

  using StoreAnswer = std::optional<core::HttpAnswer>;

  template <typename F>
  void SendToStore(platform::StoreRequest request, F on_answer) {
    net::HttpCall call;
    call.address = settings_.store_address;
    call.http = std::move(request.http);
    call.timeout = request.timeout;
    call.max_body_bytes = kMaxStoreAnswerBytes;
    gateway_.Metrics().CountStoreCall();
    client_.Start(
        ++last_store_request_id_, std::move(call),
        [this, on_answer](net::HttpCallResult result) {
          asio::post(io_context_,
                     [this, on_answer, result = std::move(result)]() mutable {
                       StoreAnswer answer;
                       if (result.end == node::AttemptEnd::kAnswered) {
                         answer = std::move(result.answer);
                       }
                       on_answer(answer);
                       ProcessEvents();
                     });
        });
  }

  /// Starts to exchange messages once the key is known, and adds the VMs found.
  void ApplyJoinProgress() {
    if (!peers_ && join_.StartNumber()) {
      peers_.emplace(
          PeerIdentity{VmIdOf(settings_.peer_address), settings_.peer_address,
                       join_.FleetKey(),
                       core::Incarnation{*join_.StartNumber() + 1}},
          [this](core::VmId from, gateway::PeerMessage message) {
            asio::post(io_context_,
                       [this, from, message = std::move(message)]() mutable {
                         gateway_.OnMessage(from, std::move(message), Now());
                         ProcessEvents();
                       });
          },
          [this](core::VmId from, std::string reason) {
            asio::post(io_context_, [this, from, reason = std::move(reason)] {
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
    for (const auto& [address, member] : join_.Members()) {
      gateway_.AddPeer({VmIdOf(address), {}, address, member.failure_domain});
    }
    if (join_.IsDone()) {
      gateway_.Sync().MarkFleetKnown();
    }
  }

  void Perform(node::AnswerCaller action, core::Time /*now*/) {
    caller_server_.Answer(action.caller, std::move(action.http));
  }

  void Perform(gateway::StartAttempt action, core::Time /*now*/) {
    const std::uint64_t attempt = action.id;
    net::HttpCall call;
    call.address = std::move(action.address);
    call.http = std::move(action.http);
    call.timeout = action.timeout;
    call.connect_timeout = kConnectTimeout;
    call.fresh_connection = true;
    call.accept_unframed = true;
    call.on_large_body = [this, attempt] {
      asio::post(io_context_, [this, attempt] {
        gateway_.OnLargeBody(attempt, Now());
        ProcessEvents();
      });
    };
    client_.Start(
        attempt, std::move(call), [this, attempt](net::HttpCallResult result) {
          asio::post(io_context_, [this, attempt,
                                   result = std::move(result)]() mutable {
            gateway_.OnAttemptFinished(attempt, result.end,
                                       std::move(result.answer), Now());
            ProcessEvents();
          });
        });
  }

  void Perform(const gateway::CancelAttempt& action, core::Time /*now*/) {
    client_.Cancel(action.id);
  }

  void Perform(gateway::CheckConnection action, core::Time /*now*/) {
    net::HttpCall call;
    call.address = std::move(action.check.address);
    call.timeout = kConnectTimeout;
    call.connect_timeout = kConnectTimeout;
    call.fresh_connection = true;
    call.connect_only = true;
    client_.Start(++last_check_id_, std::move(call),
                  [this, server = std::move(action.check.server)](
                      const net::HttpCallResult& result) {
                    asio::post(
                        io_context_, [this, server, check = ResultOf(result)] {
                          gateway_.OnConnectionChecked(server, check, Now());
                          ProcessEvents();
                        });
                  });
  }

  void Perform(const gateway::SendToPeer& action, core::Time /*now*/) {
    if (peers_) {
      gateway_.Metrics().CountPeerBytes(
          peers_->Send(action.vm, action.message));
    }
  }

  void Perform(gateway::SetMembers action, core::Time /*now*/) {
    if (peers_) {
      peers_->SetMembers(std::move(action.members));
    }
  }

  void Perform(const node::WriteLog& action, core::Time now) {
    log_.Add(action.record, now);
  }

  void AnswerOperator(net::HttpServer& server, core::CallerId caller,
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
  platform::ParsedFleetLimits limits_;
  core::Random random_;
  asio::io_context io_context_;
  LogWriter log_;
  gateway::Gateway gateway_;
  platform::StoreClient store_;
  platform::FleetJoiner join_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  std::optional<gateway::GracefulShutdown> shutdown_;
  bool exiting_ = false;  ///< `Exit` is due.
  int exit_code_ = 0;
  bool ready_logged_ = false;
  std::uint64_t limits_version_ = 0;  ///< Whose limits on callers are applied.
  std::uint64_t last_store_request_id_ = kFirstStoreRequestId;
  std::uint64_t last_check_id_ = kFirstCheckId;
  net::HttpClient client_;
  std::shared_ptr<net::BodyMemory> body_memory_;
  std::optional<PeerMessenger> peers_;
  net::HttpServer operator_server_;
  net::HttpServer metrics_server_;
  net::HttpServer caller_server_;
};

Shell::Shell(gateway::GatewaySettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Shell::~Shell() = default;

int Shell::Run() { return impl_->Run(); }

}  // namespace bambootack::gateway_daemon

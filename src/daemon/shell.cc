#include "daemon/shell.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <random>
#include <utility>

#include "bambootack/log/line_limiter.h"
#include "bambootack/net/http_client.h"
#include "bambootack/net/http_server.h"
#include "bambootack/net/peer_transport.h"
#include "bambootack/net/platform_client.h"
#include "bambootack/node/node.h"
#include "bambootack/node/routing.h"
#include "bambootack/wire/codec.h"
#include "daemon/peer_security.h"

namespace bambootack::daemon {
namespace {

constexpr std::size_t kMaxAnswerBytes = 1024 * 1024;
/// Bodies between the limit for callers and this one are read in order to be
/// answered; the connection of a larger one closes.
constexpr std::size_t kMaxReadBodyBytes = 2 * node::kMaxBodyBytes;

/// Longest wait for answers to be written when the daemon exits.
constexpr auto kFlushLimit = std::chrono::milliseconds(1000);
constexpr auto kTickInterval = std::chrono::milliseconds(50);

/// Operators' answers share the caller numbers of a server of their own; the
/// top bit tells them apart.
constexpr std::uint64_t kOperatorBit = 1ULL << 63;

core::Time Now() {
  return core::Time(std::chrono::duration_cast<core::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

core::WallTime Wall() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

std::string Timestamp() {
  const core::WallTime now = Wall();
  const auto millis = now.time_since_epoch() % std::chrono::seconds(1);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis.count());
}

core::Incarnation NewIncarnation() {
  return core::Incarnation{
      static_cast<std::uint64_t>(Wall().time_since_epoch().count())};
}

std::uint64_t CallNumber(core::Handle handle) {
  return (static_cast<std::uint64_t>(handle.version) << 32) | handle.index;
}

}  // namespace

class Shell::Impl {
 public:
  explicit Impl(settings::Settings settings)
      : settings_(settings),
        incarnation_(NewIncarnation()),
        node_(settings, incarnation_, std::random_device{}()),
        security_(settings.vm, settings.peer_keys, incarnation_),
        timer_(control_),
        signals_(control_, SIGTERM, SIGINT),
        client_(kMaxAnswerBytes),
        platform_(client_, settings.platform_address,
                  [this](node::Event event) { Post(std::move(event)); }),
        peers_(settings.peer_address, PeerHooks()),
        operators_(
            {.address = settings.operator_address},
            [this](core::CallerId caller, core::HttpRequest http) {
              Post(node::OperatorRequest{AsOperator(caller), std::move(http)});
            },
            {}),
        callers_(
            {.address = settings.caller_address,
             .threads = settings.traffic_threads,
             .max_body_bytes = kMaxReadBodyBytes},
            [this](core::CallerId caller, core::HttpRequest http) {
              Post(node::CallerRequest{caller, std::move(http)});
            },
            [this](core::CallerId caller) { Post(node::CallerGone{caller}); }) {
    peers_.SetPeers(node_.State().view.members);
  }

  int Run() {
    Write({log::EventId::kStarted,
           fmt::format("callers={} operators={} peers={}",
                       settings_.caller_address, settings_.operator_address,
                       settings_.peer_address)});
    WaitForSignal();
    WaitForTick();
    control_.run();
    return exit_code_;
  }

 private:
  static core::CallerId AsOperator(core::CallerId caller) {
    return core::CallerId{static_cast<std::uint64_t>(caller) | kOperatorBit};
  }

  void Post(node::Event event) {
    asio::post(control_, [this, event = std::move(event)]() mutable {
      Feed(std::move(event));
    });
  }

  void Feed(node::Event event) {
    for (node::Action& it : node_.Handle(std::move(event), Now(), Wall())) {
      std::visit([this](auto& action) { Do(std::move(action)); }, it);
    }
  }

  net::PeerCallbacks PeerHooks() {
    net::PeerCallbacks hooks;
    hooks.hello = [this](core::VmId vm) { return security_.Hello(vm); };
    hooks.accept_hello = [this](core::VmId vm, std::string_view frame) {
      return security_.AcceptHello(vm, frame);
    };
    hooks.seal = [this](core::VmId vm, std::string_view bytes) {
      return security_.Seal(vm, bytes);
    };
    hooks.on_frame = [this](const std::string& frame) {
      return OnFrame(frame);
    };
    hooks.on_datagram = [this](const std::string& frame) {
      return OnDatagram(frame);
    };
    hooks.on_lost = [this](core::VmId vm) { Post(node::PeerLost{vm}); };
    return hooks;
  }

  /// Returns false if the frame was refused, which closes its connection. A
  /// message that cannot be decoded, as a newer version may send, is dropped.
  bool OnFrame(const std::string& frame) {
    PeerSecurity::Received received = security_.Open(frame);
    if (auto* envelope = std::get_if<wire::Envelope>(&received)) {
      Post(node::PeerMessage{std::move(*envelope)});
      return true;
    }
    const auto& rejection = std::get<FrameRejection>(received);
    Post(node::FrameRejected{rejection.sender, rejection.fault,
                             rejection.detail});
    return !rejection.fault.has_value();
  }

  net::DatagramSender OnDatagram(const std::string& frame) {
    PeerSecurity::Received received = security_.Open(frame);
    if (auto* envelope = std::get_if<wire::Envelope>(&received)) {
      const core::VmId sender = envelope->sender;
      Post(node::PeerMessage{std::move(*envelope)});
      return {sender, false};
    }
    const auto& rejection = std::get<FrameRejection>(received);
    if (!rejection.hello && !rejection.needs_hello) {
      Post(node::FrameRejected{rejection.sender, rejection.fault,
                               rejection.detail});
    }
    return {rejection.sender, rejection.needs_hello};
  }

  void WaitForTick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](std::error_code ec) {
      if (!ec) {
        Feed(node::Tick{});
        WaitForTick();
      }
    });
  }

  void WaitForSignal() {
    signals_.async_wait([this](std::error_code ec, int) {
      if (!ec) {
        Feed(node::StopRequested{});
        WaitForSignal();
      }
    });
  }

  void Do(node::AnswerCaller action) {
    const auto number = static_cast<std::uint64_t>(action.caller);
    if ((number & kOperatorBit) != 0) {
      operators_.Answer(core::CallerId{number & ~kOperatorBit},
                        std::move(action.http));
    } else {
      callers_.Answer(action.caller, std::move(action.http));
    }
  }

  void Do(node::SendToPeer action) {
    const bool datagram = std::holds_alternative<wire::Gossip>(action.message);
    const wire::Envelope envelope{settings_.vm, incarnation_, ++sequence_,
                                  std::move(action.message)};
    if (datagram) {
      peers_.SendDatagram(action.vm, wire::Encode(envelope));
    } else {
      peers_.Send(action.vm, wire::Encode(envelope));
    }
  }

  void Do(node::SetPeers action) { peers_.SetPeers(std::move(action.members)); }

  void Do(node::StartAttempt action) {
    const core::Handle attempt = action.attempt;
    client_.Start(
        CallNumber(attempt),
        {std::move(action.address), std::move(action.http), action.timeout},
        [this, attempt](net::HttpCallResult result) {
          Post(node::AttemptResult{attempt, result.end,
                                   std::move(result.answer)});
        });
  }

  void Do(const node::CancelAttempt& action) {
    client_.Cancel(CallNumber(action.attempt));
  }

  void Do(const node::ReadLog& action) { platform_.Read(action); }
  void Do(const node::AppendLog& action) { platform_.Append(action); }
  void Do(const node::ReadVmList& /*action*/) { platform_.ReadVms(); }
  void Do(const node::WriteLog& action) { Write(action.record); }

  void Do(const node::Exit& action) {
    exit_code_ = action.code;
    callers_.Flush(kFlushLimit);
    control_.stop();
  }

  void Write(const log::Record& record) {
    if (log::InfoOf(record.id).level < settings_.log_level) {
      return;
    }
    if (const auto held_back = limiter_.Admit(record.id, Now())) {
      const std::string suffix =
          *held_back > 0 ? fmt::format(" held_back={}", *held_back) : "";
      fmt::print(stderr, "{} {}{}\n", Timestamp(),
                 log::Format(record, settings_.vm), suffix);
    }
  }

  settings::Settings settings_;
  core::Incarnation incarnation_;
  node::Node node_;
  PeerSecurity security_;
  asio::io_context control_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  log::LineLimiter limiter_;
  int exit_code_ = 0;
  std::uint64_t sequence_ = 0;
  net::HttpClient client_;
  net::PlatformClient platform_;
  net::PeerTransport peers_;
  net::HttpServer operators_;
  net::HttpServer callers_;
};

Shell::Shell(settings::Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Shell::~Shell() = default;

int Shell::Run() { return impl_->Run(); }

}  // namespace bambootack::daemon

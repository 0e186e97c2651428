#include "soak/fault_proxy.h"

#include <array>
#include <utility>

#include "bambootack/net/address.h"

namespace soak {
namespace {

using asio::ip::tcp;

constexpr std::size_t kBufferBytes = 16 * 1024;

tcp::endpoint EndpointOf(const std::string& address) {
  const auto it = bambootack::net::SplitAddress(address);
  return {asio::ip::make_address(it.ip), it.port};
}

}  // namespace

/// Two sockets and one buffer for each direction.
struct FaultProxy::Link {
  explicit Link(asio::io_context& io)
      : caller(io),
        target(io),
        timers{{asio::steady_timer(io), asio::steady_timer(io)}} {}

  tcp::socket caller;
  tcp::socket target;
  std::array<std::array<char, kBufferBytes>, 2> buffers{};
  std::array<bool, 2> silent{};  ///< Bytes have been dropped.
  std::array<asio::steady_timer, 2> timers;

  void Reset() {
    asio::error_code ec;
    for (tcp::socket* it : {&caller, &target}) {
      it->set_option(asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
  }

  /// Passes an orderly end on.
  void End(bool to_target) {
    asio::error_code ec;
    (to_target ? target : caller).shutdown(tcp::socket::shutdown_send, ec);
  }
};

FaultProxy::FaultProxy(asio::io_context& io, const std::string& listen,
                       const std::string& target, std::uint64_t seed)
    : io_(io),
      target_(EndpointOf(target)),
      acceptor_(io, EndpointOf(listen)),
      random_(seed) {
  Accept();
}

FaultProxy::~FaultProxy() { ResetAll(); }

void FaultProxy::SetDown(bool down) {
  down_ = down;
  if (down) {
    ResetAll();
  }
}

void FaultProxy::ResetAll() {
  for (const auto& it : std::exchange(links_, {})) {
    if (const auto link = it.lock()) {
      link->Reset();
    }
  }
}

void FaultProxy::Accept() {
  auto link = std::make_shared<Link>(io_);
  acceptor_.async_accept(link->caller, [this, link](asio::error_code ec) {
    if (ec == asio::error::operation_aborted) {
      return;
    }
    if (!ec && (faults_.refuse || down_)) {
      link->Reset();
    } else if (!ec) {
      std::erase_if(links_, [](const auto& it) { return it.expired(); });
      links_.push_back(link);
      link->target.async_connect(target_, [this, link](asio::error_code error) {
        if (error) {
          link->Reset();
          return;
        }
        Pump(link, true);
        Pump(link, false);
      });
    }
    Accept();
  });
}

void FaultProxy::Pump(const std::shared_ptr<Link>& link, bool to_target) {
  tcp::socket& from = to_target ? link->caller : link->target;
  from.async_read_some(
      asio::buffer(link->buffers[to_target ? 1 : 0]),
      [this, link, to_target](asio::error_code ec, std::size_t n) {
        if (ec == asio::error::eof) {
          link->End(to_target);
        } else if (ec) {
          link->Reset();
        } else {
          Pass(link, to_target, n);
        }
      });
}

void FaultProxy::Pass(const std::shared_ptr<Link>& link, bool to_target,
                      std::size_t n) {
  // TCP delivers no bytes behind a gap: once bytes have vanished, the direction
  // stays silent.
  bool& silent = link->silent[to_target ? 1 : 0];
  silent = silent || (to_target ? faults_.drop_requests : faults_.drop_answers);
  if (silent) {
    Pump(link, to_target);
    return;
  }
  if (!to_target && random_.Unit() < faults_.truncate) {
    n /= 2;
    asio::error_code ec;
    asio::write(link->caller, asio::buffer(link->buffers[0].data(), n), ec);
    link->End(false);
    link->target.close(ec);
    return;
  }
  if (faults_.delay.count() == 0) {
    Write(link, to_target, n);
    return;
  }
  asio::steady_timer& timer = link->timers[to_target ? 1 : 0];
  timer.expires_after(faults_.delay);
  timer.async_wait([this, link, to_target, n](asio::error_code ec) {
    if (!ec) {
      Write(link, to_target, n);
    }
  });
}

void FaultProxy::Write(const std::shared_ptr<Link>& link, bool to_target,
                       std::size_t n) {
  tcp::socket& to = to_target ? link->target : link->caller;
  asio::async_write(
      to, asio::buffer(link->buffers[to_target ? 1 : 0].data(), n),
      [this, link, to_target](asio::error_code ec, std::size_t) {
        if (ec) {
          link->Reset();
          return;
        }
        if (to_target && random_.Unit() < faults_.reset) {
          // The target gets the request before its connection breaks.
          asio::error_code ignored;
          link->caller.set_option(asio::socket_base::linger(true, 0), ignored);
          link->caller.close(ignored);
          link->target.close(ignored);
          return;
        }
        Pump(link, to_target);
      });
}

}  // namespace soak

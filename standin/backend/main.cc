#include <fmt/format.h>
#include <getopt.h>
#include <signal.h>

#include <asio.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "bambootack/core/http_message.h"
#include "bambootack/core/random.h"
#include "bambootack/net/http_server.h"
#include "standin/common/journal.h"
#include "standin/common/query.h"

// Backend server for tests. It runs a fixed number of requests at a time, sheds
// further ones explicitly, journals every operation by its key, and has faults
// that can be switched by POST /fault?error=P&slow=X&hang=P&unhealthy=1. With
// POST /fault?crash=TEXT, or from the start with --crash TEXT, a request whose
// body contains the text ends the process; an empty text switches this off.

namespace {

namespace core = bambootack::core;
namespace net = bambootack::net;

constexpr double kDefaultServiceMs = 10.0;
constexpr int kExitCrash = 3;

/// Faults that are in force.
struct Faults {
  double error = 0.0;  ///< Share of requests answered with 500.
  double slow = 1.0;   ///< Factor on the service time.
  double hang = 0.0;   ///< Share of requests that get no answer.
  bool unhealthy = false;
  bool draining = false;
  std::string crash;  ///< Requests with this text in the body end the process.
};

class Backend {
 public:
  Backend(const std::string& address, int slots, double service_ms,
          std::uint64_t seed, std::string crash)
      : slots_(slots),
        service_ms_(service_ms),
        random_(seed),
        server_({.address = address},
                [this](core::CallerId caller, core::HttpRequest http) {
                  asio::post(io_, [this, caller, http = std::move(http)] {
                    Handle(caller, http);
                  });
                },
                {}) {
    faults_.crash = std::move(crash);
  }

  void Run() {
    asio::signal_set signals(io_, SIGTERM, SIGINT);
    signals.async_wait([this](std::error_code, int) { io_.stop(); });
    const auto work = asio::make_work_guard(io_);
    io_.run();
  }

 private:
  void Handle(core::CallerId caller, const core::HttpRequest& http) {
    const std::string path(core::PathOf(http.target));
    if (path == "/health") {
      Answer(caller, faults_.unhealthy ? 500 : 200, "health\n");
    } else if (path == "/load") {
      Answer(caller, 200,
             fmt::format("{:.3f}\n", static_cast<double>(busy_) / slots_));
    } else if (path == "/journal") {
      Answer(caller, 200, journal_.Text());
    } else if (path == "/fault") {
      SetFaults(http.target);
      Answer(caller, 200, "ok\n");
    } else {
      Work(caller, http);
    }
  }

  void SetFaults(const std::string& target) {
    faults_.error = standin::QueryNumber(target, "error", faults_.error);
    faults_.slow = standin::QueryNumber(target, "slow", faults_.slow);
    faults_.hang = standin::QueryNumber(target, "hang", faults_.hang);
    faults_.crash = standin::QueryText(target, "crash").value_or(faults_.crash);
    faults_.unhealthy = standin::QueryNumber(target, "unhealthy",
                                             faults_.unhealthy ? 1 : 0) != 0;
    faults_.draining =
        standin::QueryNumber(target, "draining", faults_.draining ? 1 : 0) != 0;
  }

  void Work(core::CallerId caller, const core::HttpRequest& http) {
    if (faults_.draining || busy_ >= slots_) {
      Answer(
          caller, 503, "",
          {{"Bambootack-Not-Started", faults_.draining ? "draining" : "shed"}});
      return;
    }
    if (const auto key = core::FindHeader(http.headers, "Idempotency-Key")) {
      journal_.Add(std::string(*key));
    }
    if (!faults_.crash.empty() &&
        http.body.find(faults_.crash) != std::string::npos) {
      std::_Exit(kExitCrash);
    }
    ++busy_;
    if (random_.Unit() < faults_.hang) {
      return;
    }
    const bool fail = random_.Unit() < faults_.error;
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(std::chrono::microseconds(
        static_cast<std::int64_t>(service_ms_ * faults_.slow * 1000)));
    std::string body =
        fmt::format("{} {}\n{}", http.method, http.target, http.body);
    timer->async_wait(
        [this, caller, fail, timer, body = std::move(body)](std::error_code) {
          --busy_;
          Answer(caller, fail ? 500 : 200, fail ? "failed\n" : body);
        });
  }

  void Answer(core::CallerId caller, int status, std::string body,
              core::Headers headers = {}) {
    headers.push_back(
        {"X-Load", fmt::format("{:.3f}", static_cast<double>(busy_) / slots_)});
    server_.Answer(caller, {status, std::move(headers), std::move(body)});
  }

  int slots_;
  double service_ms_;
  int busy_ = 0;
  Faults faults_;
  core::Random random_;
  standin::Journal journal_;
  asio::io_context io_;
  net::HttpServer server_;
};

}  // namespace

int main(int argc, char** argv) {
  static const option kLongOptions[] = {
      {"address", required_argument, nullptr, 'a'},
      {"slots", required_argument, nullptr, 's'},
      {"service-ms", required_argument, nullptr, 'm'},
      {"seed", required_argument, nullptr, 'r'},
      {"crash", required_argument, nullptr, 'c'},
      {nullptr, 0, nullptr, 0}};
  std::string address;
  int slots = 3;
  double service_ms = kDefaultServiceMs;
  std::uint64_t seed = 1;
  std::string crash;
  int it = 0;
  while ((it = getopt_long(argc, argv, "", kLongOptions, nullptr)) != -1) {
    if (it == 'a') {
      address = optarg;
    } else if (it == 's') {
      slots = std::max(1, std::atoi(optarg));
    } else if (it == 'm') {
      service_ms = std::strtod(optarg, nullptr);
    } else if (it == 'r') {
      seed = std::strtoull(optarg, nullptr, 10);
    } else if (it == 'c') {
      crash = optarg;
    }
  }
  if (address.empty()) {
    fmt::print(stderr,
               "usage: standin-backend --address IP:PORT [--slots N] "
               "[--service-ms X] [--seed N] [--crash TEXT]\n");
    return 2;
  }
  Backend(address, slots, service_ms, seed, std::move(crash)).Run();
  return 0;
}

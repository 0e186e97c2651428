#include "soak/backend.h"

#include <fmt/format.h>

#include <utility>

#include "bambootack/core/hash.h"
#include "platform/headers.h"

namespace soak {
namespace {

namespace core = bambootack::core;

constexpr std::size_t kSlots = 4;
constexpr double kWorkMs = 40.0;
constexpr std::size_t kMaxFillBytes = 4000;
constexpr std::size_t kMaxDownloadBytes = 500'000;

}  // namespace

const bambootack::gateway::HeaderNames& Names() {
  static const auto kNames = bambootack::platform::MakeHeaderNames();
  return kNames;
}

std::string BodyOf(std::string_view id, std::string_view target) {
  const std::size_t limit =
      target.starts_with(kDownloadPrefix) ? kMaxDownloadBytes : kMaxFillBytes;
  const std::size_t fill = core::HashBytes(id) % limit;
  return fmt::format("{} {} {}", id, target, std::string(fill, 'x'));
}

std::string SignatureOf(std::string_view id) {
  return fmt::format("{:016x}", core::HashBytes(id, 1));
}

Backend::Backend(asio::io_context& io, const std::string& address,
                 std::uint64_t seed, OnRun on_run, OnRefused on_refused)
    : io_(io),
      random_(seed),
      on_run_(std::move(on_run)),
      on_refused_(std::move(on_refused)),
      server_(
          {.address = address, .context = &io},
          [this](CallerId caller, const HttpRequest& http) {
            Take(caller, http);
          },
          [this](CallerId caller) { running_.erase(caller); }) {}

void Backend::Restart(std::string id) {
  id_ = std::move(id);
  leaving = false;
  limits.clear();
  running_.clear();
}

void Backend::Take(CallerId caller, const HttpRequest& http) {
  const auto expected = core::FindHeader(http.headers, Names().expected_server);
  if (expected && *expected != id_) {
    Answer(caller, 421, {{"X-Instance-Id", id_}}, "");
    return;
  }
  if (pause_seconds > 0.0 || running_.size() >= kSlots) {
    const auto pause = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(pause_seconds));
    on_refused_(http, pause);
    core::Headers headers{{Names().not_executed, "1"}};
    if (pause.count() > 0) {
      headers.push_back(
          {Names().retry_after, fmt::format("{:.3f}", pause_seconds)});
    }
    Answer(caller, 503, std::move(headers), "");
    return;
  }
  on_run_(http);
  const std::string id(
      core::FindHeader(http.headers, Names().request_id).value_or(""));
  auto& timer = running_[caller];
  timer = std::make_unique<asio::steady_timer>(io_);
  if (random_.Unit() < hang) {
    return;
  }
  const bool fails = random_.Unit() < errors;
  timer->expires_after(std::chrono::microseconds(static_cast<std::int64_t>(
      kWorkMs * slow * (0.5 + random_.Unit()) * 1000.0)));
  timer->async_wait(
      [this, caller, id, fails, target = http.target](std::error_code ec) {
        if (ec) {
          return;
        }
        const std::size_t busy = running_.size();
        running_.erase(caller);
        Answer(caller, fails ? 500 : 200,
               {{Names().request_id, id},
                {Names().signature, SignatureOf(id)},
                {Names().load, fmt::format("{},0,{}", busy, kSlots)}},
               fails ? "failed" : BodyOf(id, target));
      });
}

void Backend::Answer(CallerId caller, int status, core::Headers headers,
                     std::string body) {
  for (const std::string& it : limits) {
    headers.push_back({Names().limit, it});
  }
  if (leaving) {
    headers.push_back({Names().leaving, "1"});
  }
  server_.Answer(caller, {status, std::move(headers), std::move(body)});
}

}  // namespace soak

#include <fmt/format.h>

#include <algorithm>

#include "bambootack/gateway/gateway.h"
#include "bambootack/gateway/log_text.h"

// What servers state about themselves in their answers: that they are leaving,
// that they want no requests from this VM for some time, and how many requests
// they take from all VMs.

namespace bambootack::gateway {
namespace {

/// Callers that are told to wait for the end of a pause return within this
/// fraction of it, and at least within `kMinPauseSpread`.
constexpr int kPauseSpreadDivisor = 4;
constexpr core::Duration kMinPauseSpread = std::chrono::milliseconds(50);

}  // namespace

void Gateway::ApplyServerNotice(const Request& request, const Attempt& attempt,
                                const ServerNotice& notice, core::Time now) {
  const std::string& server = attempt.slot.server;
  const auto registered = registry_.Servers().find(server);
  if (notice.leaving && registered != registry_.Servers().end()) {
    const std::int64_t started = registered->second.record.started;
    const bool known = registered->second.record.draining;
    if (registry_.MarkLeaving(server, started)) {
      metrics_.CountLeavingServer();
      Log(log::EventId::kServerLeaving,
          fmt::format("server={} request={}", server, Truncate(request.id)));
      if (!known) {
        sync_.AnnounceLeaving({server, started}, attempt.granter, now);
        ApplyRegistry(now);
      }
    }
  }
  if (notice.malformed_limit) {
    Log(log::EventId::kServerLimit,
        fmt::format("server={} ignored={}", server,
                    Truncate(*notice.malformed_limit)));
  }
  if (notice.limit) {
    metrics_.CountServerLimit();
  }
  if (notice.malformed_pause) {
    Log(log::EventId::kServerPaused,
        fmt::format("server={} ms=0 ignored={}", server,
                    Truncate(*notice.malformed_pause)));
  }
  if (notice.pause) {
    std::erase_if(paused_until_,
                  [&](const auto& it) { return it.second <= now; });
    core::Time& until = paused_until_[server];
    until = std::max(until, now + *notice.pause);
    metrics_.CountServerPause();
    Log(log::EventId::kServerPaused,
        fmt::format("server={} ms={}", server,
                    core::ToMilliseconds(*notice.pause)));
  }
}

/// Records the limit of a server and logs its changes.
/// @param from VM that read it in an answer.
void Gateway::RecordLimit(std::string_view server, const LimitReport& report,
                          core::Time request_sent, core::Time stated,
                          core::VmId from) {
  const auto before = pool_.RecordLimit(server, report, request_sent, stated);
  if (!before) {
    return;
  }
  const auto text = [](const LimitReport& it) {
    return it.rate ? fmt::format("{:.3f}", *it.rate) : std::string("none");
  };
  Log(log::EventId::kServerLimit,
      fmt::format("server={} rate={} before={} from={}", server, text(report),
                  text(*before), static_cast<std::uint32_t>(from)));
}

void Gateway::Handle(core::VmId from, LeavingNotice& message, core::Time now) {
  if (!registry_.MarkLeaving(message.server, message.started)) {
    return;
  }
  Log(log::EventId::kServerLeaving,
      fmt::format("server={} from={}", message.server,
                  static_cast<std::uint32_t>(from)));
  ApplyRegistry(now);
}

bool Gateway::IsPaused(std::string_view server, core::Time now) const {
  const auto it = paused_until_.find(server);
  return it != paused_until_.end() && now < it->second;
}

/// Time until the first server of a service wants requests from this VM again.
/// @return Nothing if one wants them now, or if the service has no server.
std::optional<core::Duration> Gateway::ShortestPause(std::string_view service,
                                                     core::Time now) const {
  std::optional<core::Duration> shortest;
  if (paused_until_.empty()) {
    return shortest;
  }
  for (const auto& [id, it] : registry_.Servers()) {
    if (it.record.service != service || it.record.draining) {
      continue;
    }
    if (!IsPaused(id, now)) {
      return std::nullopt;
    }
    const auto pause = std::chrono::duration_cast<core::Duration>(
        paused_until_.find(id)->second - now);
    shortest = std::min(shortest.value_or(pause), pause);
  }
  return shortest;
}

/// Refuses a request whose service wants nothing from this VM. The caller
/// returns after the pause if it still has time then, and otherwise soon, since
/// another VM may serve it.
void Gateway::RefuseForPause(core::Handle handle, core::Duration pause,
                             core::Time now) {
  const Request& request = *requests_.Find(handle);
  const core::Duration spread =
      std::max(kMinPauseSpread, pause / kPauseSpreadDivisor);
  const core::Duration wait =
      pause +
      core::Duration(random_.Below(static_cast<std::uint64_t>(spread.count())));
  const auto remaining =
      std::chrono::duration_cast<core::Duration>(request.deadline - now);
  Refuse(handle,
         request.possible_executions > 0 ? request.last_error
                                         : core::ErrorKind::kOverloaded,
         now, IsUsableWait(wait, remaining) ? wait : kDefaultRetryWait);
}

}  // namespace bambootack::gateway

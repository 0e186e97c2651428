#include "bambootack/gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>

#include "bambootack/gateway/refusal.h"

namespace bambootack::gateway {
namespace {

/// Characters of a caller's text that a log line shows.
constexpr std::size_t kMaxLoggedText = 64;

/// How long a request waits for the first configuration. It arrives some 60 ms
/// after a start; a refusal within an eighth of the target costs nothing, and
/// targets are 250 ms and more.
constexpr core::Duration kEarlyWait = std::chrono::milliseconds(250);

/// Requests that wait for it. A VM gets some tens a second.
constexpr std::size_t kMaxEarly = 256;

std::string_view Shown(std::string_view text) {
  return text.substr(0, kMaxLoggedText);
}

}  // namespace

Gateway::Gateway(GatewayOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      broker_(options_.vm),
      spread_(options_.vm, options_.failure_domain, registry_, broker_) {}

void Gateway::Configure(GatewayConfig config, core::Time now) {
  if (config.version <= routes_->Version()) {
    return;
  }
  Log(log::EventId::kConfigurationInForce,
      fmt::format("version={} before={} routes={}", config.version,
                  routes_->Version(), config.routes.size()));
  routes_ = std::make_shared<const RouteTable>(std::move(config));
  spread_.UpdateConfig(routes_->Config(), now);
  pool_.Update(registry_, now);
}

void Gateway::ApplyRegistry(core::Time now) {
  pool_.Update(registry_, now);
  crash_watch_.Update(registry_, now);
  ReportCrashes(now);
}

std::vector<GatewayAction> Gateway::TakeActions() {
  for (auto& [vm, message] : spread_.TakeMessages()) {
    actions_.emplace_back(SendToPeer{vm, std::move(message)});
  }
  return std::exchange(actions_, {});
}

std::optional<core::ErrorKind> Gateway::Route(Request& request) const {
  if (refusing_) {
    return core::ErrorKind::kShuttingDown;
  }
  if (routes_->Version() == 0) {
    return core::ErrorKind::kNotReady;
  }
  const auto id =
      core::FindHeader(request.http.headers, options_.header_names.request_id);
  if (!id || id->empty()) {
    return core::ErrorKind::kMalformedRequest;
  }
  request.id = std::string(*id);
  request.table = routes_;
  request.route =
      routes_->Find(core::FindHeader(request.http.headers, "Host").value_or(""),
                    core::PathOf(request.http.target));
  if (request.route == nullptr) {
    return core::ErrorKind::kNoRoute;
  }
  request.service = std::string(ChooseService(*request.route, request.id));
  return std::nullopt;
}

void Gateway::OnRequest(core::CallerId caller, core::HttpRequest http,
                        core::Time now) {
  if (!HasKnowledge() && !refusing_ && early_.size() < kMaxEarly) {
    early_.push_back({caller, std::move(http), now});
    return;
  }
  Admit(caller, std::move(http), now, now);
}

void Gateway::AdmitEarly(core::Time now) {
  while (!early_.empty() &&
         (HasKnowledge() || early_.front().arrived + kEarlyWait <= now)) {
    EarlyRequest it = std::move(early_.front());
    early_.pop_front();
    Log(log::EventId::kRequestWaited,
        fmt::format("request={} ms={} version={}",
                    Shown(core::FindHeader(it.http.headers,
                                           options_.header_names.request_id)
                              .value_or("")),
                    core::ToMilliseconds(now - it.arrived),
                    routes_->Version()));
    Admit(it.caller, std::move(it.http), it.arrived, now);
  }
}

void Gateway::Admit(core::CallerId caller, core::HttpRequest http,
                    core::Time arrived, core::Time now) {
  Request request;
  request.caller = caller;
  request.http = std::move(http);
  request.arrived = arrived;
  request.room_wanted_at = now;
  if (const auto error = Route(request)) {
    Log(log::EventId::kRequestRefused,
        fmt::format("request={} error={} version={} path={}", Shown(request.id),
                    core::AnswerOf(*error).name, routes_->Version(),
                    Shown(request.http.target)));
    metrics_.CountAnswer(core::AnswerOf(*error).name,
                         core::AnswerOf(*error).status);
    Answer(caller, RefusalAnswer(*error, {}, true));
    return;
  }
  const core::Duration patience = request.route->timeout;
  request.deadline =
      arrived + std::min(patience, RemainingTime(options_.header_names,
                                                 request.http.headers)
                                       .value_or(patience));
  Log(log::EventId::kRequestAdmitted,
      fmt::format("request={} route={} service={} version={} left_ms={}",
                  Shown(request.id), request.route->id, request.service,
                  routes_->Version(),
                  core::ToMilliseconds(request.deadline - now)));
  request.group = static_cast<std::uint32_t>(
      random_.Below(pool_.GroupCountOf(request.service)));
  request.fingerprint = FingerprintOf(request.http);
  request.due = request.deadline;
  const core::Time due = request.due;
  const core::Handle handle = requests_.Insert(std::move(request));
  by_caller_[caller] = handle;
  by_due_.emplace(due, handle);
  if (now >= due) {
    Refuse(handle, core::ErrorKind::kOverloaded, now);
    return;
  }
  AskForSlot(handle, now);
}

void Gateway::OnCallerDisconnected(core::CallerId caller, core::Time now) {
  std::erase_if(early_, [&](const auto& it) { return it.caller == caller; });
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) {
    return;
  }
  const core::Handle handle = found->second;
  Request& request = *requests_.Find(handle);
  Log(log::EventId::kCallerLeft,
      fmt::format("request={} sending={}", Shown(request.id),
                  request.send.has_value()));
  CancelSendOf(request, AttemptOutcome::kCancelled, now);
  Erase(handle);
}

void Gateway::OnTimer(core::Time now) {
  AdmitEarly(now);
  while (!by_due_.empty() && by_due_.begin()->first <= now) {
    const core::Handle handle = by_due_.begin()->second;
    Request& request = *requests_.Find(handle);
    if (now >= request.deadline) {
      const bool may_have_run = request.runs > 0;
      CancelSendOf(request, AttemptOutcome::kTimedOut, now);
      Refuse(handle,
             may_have_run ? core::ErrorKind::kBackendTimeout
                          : core::ErrorKind::kOverloaded,
             now);
    } else if (request.asked && now >= request.asked_until) {
      broker_.MarkUnresponsive(*request.asked, now);
      metrics_.CountDispatcherTimeout();
      Log(log::EventId::kDispatcherSilent,
          fmt::format("request={} vm={}", Shown(request.id),
                      static_cast<std::uint32_t>(*request.asked)));
      ChooseAlone(handle, now);
    } else if (request.ask_again_at && now >= *request.ask_again_at) {
      request.ask_again_at.reset();
      AskForSlot(handle, now);
    } else if (request.send && now >= request.impatient_at) {
      request.impatient_at = request.deadline;
      AskForSlot(handle, now);
    } else {
      SetDue(handle, request);
    }
  }
  spread_.OnTimer(now, random_);
  pool_.ExpireLeases(now);
  const std::vector<std::string> removed =
      registry_.ApplyDueRemovals(spread_.Position(), now);
  for (const std::string& it : removed) {
    Log(log::EventId::kServerChanged,
        fmt::format("server={} state=gone cause=not-back", it));
  }
  if (!removed.empty()) {
    ApplyRegistry(now);
  }
  WatchCrashes(now);
  ReportTrust();
}

std::optional<core::Time> Gateway::NextTimer() const {
  std::optional<core::Time> due = spread_.NextTimer();
  if (const auto removal = registry_.NextTimer(); removal && *removal < *due) {
    due = removal;
  }
  if (!early_.empty()) {
    due = std::min(*due, early_.front().arrived + kEarlyWait);
  }
  if (!by_due_.empty() && (!due || by_due_.begin()->first < *due)) {
    due = by_due_.begin()->first;
  }
  return due;
}

void Gateway::Deliver(core::Handle handle, core::HttpAnswer answer,
                      core::Time now) {
  const Request& request = *requests_.Find(handle);
  Log(log::EventId::kRequestAnswered,
      fmt::format(
          "request={} status={} server={} sends={} ms={}", Shown(request.id),
          answer.status, request.send ? request.send->slot.server : "-",
          request.arrivals, core::ToMilliseconds(now - request.arrived)));
  metrics_.CountAnswer("none", answer.status);
  metrics_.ObserveLatency(request.route->priority, now - request.arrived);
  answer.headers = core::EndToEndHeaders(answer.headers);
  Answer(request.caller, std::move(answer));
  Erase(handle);
}

void Gateway::Refuse(core::Handle handle, core::ErrorKind kind,
                     core::Time now) {
  const Request& request = *requests_.Find(handle);
  // A status that promises "not run" is true only if no server may have run it.
  const bool may_have_run = request.runs > 0;
  if (may_have_run && PromisesNotExecuted(core::AnswerOf(kind).status)) {
    kind = core::ErrorKind::kBackendLost;
  }
  Log(log::EventId::kRequestRefused,
      fmt::format("request={} error={} sends={} runs={} ms={} "
                  "fingerprint={:016x}",
                  Shown(request.id), core::AnswerOf(kind).name,
                  request.arrivals, request.runs,
                  core::ToMilliseconds(now - request.arrived),
                  request.fingerprint));
  metrics_.CountAnswer(core::AnswerOf(kind).name, core::AnswerOf(kind).status);
  metrics_.ObserveLatency(request.route->priority, now - request.arrived);
  Answer(request.caller,
         RefusalAnswer(kind, request.deadline - now, !may_have_run));
  Erase(handle);
}

void Gateway::Answer(core::CallerId caller, core::HttpAnswer answer) {
  if (stopping_) {
    // A connection that stays open could carry a request after the exit.
    answer.headers.push_back({"Connection", "close"});
  }
  actions_.emplace_back(node::AnswerCaller{caller, std::move(answer)});
}

void Gateway::SetDue(core::Handle handle, Request& request) {
  core::Time due = request.deadline;
  if (request.asked) {
    due = std::min(due, request.asked_until);
  }
  if (request.send) {
    due = std::min(due, request.impatient_at);
  }
  if (request.ask_again_at) {
    due = std::min(due, *request.ask_again_at);
  }
  by_due_.erase({request.due, handle});
  request.due = due;
  by_due_.emplace(due, handle);
}

void Gateway::Erase(core::Handle handle) {
  const Request& request = *requests_.Find(handle);
  by_caller_.erase(request.caller);
  by_due_.erase({request.due, handle});
  if (request.send) {
    by_send_.erase(request.send->number);
  }
  requests_.Erase(handle);
}

void Gateway::ReportTrust() {
  for (const HealthChange& it : pool_.TakeHealthChanges()) {
    metrics_.CountHealthChange(it.to);
    Log(log::EventId::kServerTrust,
        fmt::format("server={} trust={} cause={}", it.server,
                    kServerHealthNames.Name(it.to),
                    kAttemptOutcomeNames.Name(it.cause)));
  }
}

void Gateway::WatchCrashes(core::Time now) {
  for (const FinishedAttempt& it : pool_.TakeFinishedAttempts()) {
    if (it.outcome == AttemptOutcome::kLost) {
      crash_watch_.RecordLostConnection(it.fingerprint, it.server, registry_,
                                        now);
    } else if (it.outcome == AttemptOutcome::kUnreachable) {
      crash_watch_.RecordServerDown(it.server, now);
    } else if (it.outcome == AttemptOutcome::kServed) {
      crash_watch_.RecordServed(it.fingerprint);
    }
  }
  ReportCrashes(now);
}

GatewayGauges Gateway::Gauges(core::Time now) const {
  GatewayGauges gauges;
  gauges.in_flight = InFlight();
  gauges.servers = registry_.Servers().size();
  gauges.members = broker_.FleetSize();
  gauges.config_version = routes_->Version();
  gauges.state_age = spread_.StateAge(now).value_or(core::Duration{});
  gauges.ready = IsReady();
  return gauges;
}

void Gateway::Log(log::EventId id, std::string detail) {
  actions_.emplace_back(node::WriteLog{{id, std::move(detail)}});
}

}  // namespace bambootack::gateway

#include "bambootack/node/routing.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "bambootack/core/hash.h"
#include "bambootack/core/uuid.h"
#include "bambootack/node/answers.h"

namespace bambootack::node {
namespace {

using RouteResult = std::variant<wire::RoutedRequest, wire::Answer>;

core::Duration TimeLeft(const config::Route& route,
                        const core::HttpRequest& http) {
  const auto text = core::FindHeader(http.headers, kTimeoutHeader);
  if (!text) {
    return route.timeout;
  }
  std::int64_t millis = 0;
  const auto parsed =
      std::from_chars(text->data(), text->data() + text->size(), millis);
  if (parsed.ec != std::errc() || millis < 0) {
    return route.timeout;
  }
  return std::min<core::Duration>(route.timeout,
                                  std::chrono::milliseconds(millis));
}

std::uint64_t Fingerprint(const wire::RoutedRequest& request) {
  std::uint64_t hash = core::HashBytes(request.route);
  hash = core::HashBytes(request.customer, hash);
  hash = core::HashBytes(request.http.method, hash);
  hash = core::HashBytes(request.http.target, hash);
  return core::HashBytes(request.http.body, hash);
}

std::optional<wire::Answer> AssignKey(const config::Route& route,
                                      wire::RoutedRequest& request,
                                      Context& context) {
  const auto text = core::FindHeader(request.http.headers, kKeyHeader);
  if (!text && !route.mint_key) {
    return Refusal(core::ErrorKind::kKeyMissing);
  }
  if (!text) {
    request.key =
        core::Uuid::Make(context.wall, context.shared.random).ToString();
    request.first_attempt = true;
    return std::nullopt;
  }
  const auto key = core::Uuid::Parse(*text);
  if (!key) {
    return Refusal(core::ErrorKind::kKeyInvalid);
  }
  if (key->CreatedAt() > context.wall + kClockMargin) {
    // Another entry's clock may have admitted it, or may do so later.
    return Unproven(core::ErrorKind::kKeyInFuture);
  }
  request.key = key->ToString();
  request.first_attempt =
      core::FindHeader(request.http.headers, kAttemptHeader) == "1";
  return std::nullopt;
}

}  // namespace

RouteResult RouteRequest(core::HttpRequest http, Context& context) {
  const config::FleetConfig& config = context.shared.store.Config();
  const bool keyed = core::FindHeader(http.headers, kKeyHeader).has_value();
  // An earlier attempt with the same key may have run by way of another VM.
  const auto refuse = [&](core::ErrorKind kind) {
    return keyed ? Unproven(kind) : Refusal(kind);
  };
  if (http.body.size() > kMaxBodyBytes) {
    // No VM accepts this request, so it has not run under its key either.
    return Refusal(core::ErrorKind::kBodyTooLarge);
  }
  if (!context.shared.HasControlState()) {
    return refuse(core::ErrorKind::kNotReady);
  }
  const config::Route* route =
      config::FindRoute(config, http.method, core::PathOf(http.target));
  if (route == nullptr) {
    return refuse(core::ErrorKind::kNoRoute);
  }
  wire::RoutedRequest request;
  request.service = route->service;
  request.route = route->id;
  request.rank = route->rank;
  request.kind = route->kind;
  request.customer =
      std::string(core::FindHeader(http.headers, kCustomerHeader).value_or(""));
  request.remaining = TimeLeft(*route, http);
  request.http = std::move(http);
  request.fingerprint = Fingerprint(request);
  if (route->kind == core::OperationKind::kAtMostOnce) {
    if (auto refusal = AssignKey(*route, request, context)) {
      return *std::move(refusal);
    }
  }
  request.http.headers = core::EndToEndHeaders(request.http.headers);
  return request;
}

DispatchTables& TablesInForce(Context& context) {
  Shared& shared = context.shared;
  DispatchTables& tables = shared.dispatch;
  const bool current = tables.position == shared.store.Where() &&
                       tables.view == shared.view.number &&
                       tables.members == shared.view.members.size();
  if (!current) {
    tables.position = shared.store.Where();
    tables.view = shared.view.number;
    tables.members = shared.view.members.size();
    tables.chooser.Configure(shared.store.Config(), shared.view,
                             shared.settings.failure_domain);
    tables.retries.Configure(shared.store.Config());
  }
  return tables;
}

config::GroupKey LocalGroup(std::string_view service) {
  return {std::string(service), "", 0};
}

std::optional<DispatchTarget> ChooseTarget(std::string_view service,
                                           core::Rank rank, Context& context) {
  Shared& shared = context.shared;
  const dispatch::GroupCandidate* candidate =
      TablesInForce(context).chooser.Choose(service, rank, context.now,
                                            shared.random);
  if (candidate == nullptr) {
    return std::nullopt;
  }
  if (shared.settings.dispatch == settings::DispatchMode::kLocal) {
    return DispatchTarget{LocalGroup(service), shared.settings.vm};
  }
  if (candidate->dispatchers.empty()) {
    return std::nullopt;
  }
  for (const core::VmId vm : candidate->dispatchers) {
    if (!context.IsSuspected(vm)) {
      return DispatchTarget{candidate->group, vm};
    }
  }
  return DispatchTarget{candidate->group, candidate->dispatchers.front()};
}

bool IsNotRunAndRepeatable(const wire::DispatchReply& reply) noexcept {
  return reply.state == wire::RunState::kNotStarted &&
         reply.answer.error == core::ErrorKind::kNoServer;
}

bool IsReadRepeatable(const wire::DispatchReply& reply) noexcept {
  return reply.state == wire::RunState::kUncertain ||
         IsNotRunAndRepeatable(reply);
}

bool TakeRetry(std::string_view service, Context& context) {
  return TablesInForce(context).retries.TrySpend(service);
}

}  // namespace bambootack::node

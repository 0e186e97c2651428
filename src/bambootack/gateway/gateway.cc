#include "bambootack/gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>

#include "bambootack/gateway/log_text.h"

namespace bambootack::gateway {
namespace {

/// Longest wait of a request for the first configuration and servers. The
/// configuration arrives about 60 ms after a start. A refusal within an eighth
/// of the latency target costs nothing; targets are 250 ms and more.
constexpr core::Duration kMaxEarlyWait = std::chrono::milliseconds(250);

/// Limit on requests in that wait. A VM receives some tens per second.
constexpr std::size_t kMaxEarlyRequests = 256;

}  // namespace

Gateway::Gateway(GatewayOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      peers_(options_.vm),
      sync_(options_.vm, options_.failure_domain, options_.change_time,
            registry_, peers_),
      keys_(options_.key_withdrawal_time.value_or(core::Duration{})),
      quota_owner_(options_.quota_tolerance, random_.Engine()() | 1U) {}

void Gateway::Configure(GatewayConfig config, core::Time now) {
  if (config.version <= routes_->Version()) {
    return;
  }
  Log(log::EventId::kConfigurationInForce,
      fmt::format("version={} before={} routes={}", config.version,
                  routes_->Version(), config.routes.size()));
  registry_.SetServices({config.services.begin(), config.services.end()});
  routes_ = std::make_shared<const RouteTable>(std::move(config),
                                               options_.key_secret);
  ApplyQuotas();
  sync_.UpdateConfig(routes_->Config(), now);
  pool_.Update(registry_, now);
}

void Gateway::ApplyRegistry(core::Time now) {
  pool_.Update(registry_, now);
  poison_detector_.Update(registry_, now);
  ReportCrashes(now);
}

std::vector<GatewayAction> Gateway::TakeActions() {
  for (auto& [vm, message] : sync_.TakeMessages()) {
    actions_.emplace_back(SendToPeer{vm, std::move(message)});
  }
  for (const SentUpdate& it : sync_.TakeSentUpdates()) {
    Log(log::EventId::kStateSent,
        fmt::format("peers={} from={} position={} changes={} version={} "
                    "config={}",
                    it.peers, it.from, it.position, it.changes,
                    it.config_version, it.has_config));
  }
  return std::exchange(actions_, {});
}

std::optional<core::ErrorKind> Gateway::ResolveRoute(Request& request) const {
  if (routes_->Version() == 0) {
    return core::ErrorKind::kNotReady;
  }
  const auto id =
      core::FindHeader(request.http.headers, options_.header_names.request_id);
  if (!id || id->empty()) {
    return core::ErrorKind::kMalformedRequest;
  }
  request.id = std::string(*id);
  return FindRoute(request) ? std::nullopt
                            : std::optional(core::ErrorKind::kNoRoute);
}

/// Sets the route and the service of a request by the configuration in force.
/// @return False, with nothing changed, if no route matches.
bool Gateway::FindRoute(Request& request) const {
  const GatewayRoute* route =
      routes_->Find(core::FindHeader(request.http.headers, "Host").value_or(""),
                    core::PathOf(request.http.target));
  if (route == nullptr) {
    return false;
  }
  request.table = routes_;
  request.route = route;
  request.service = std::string(ChooseService(*route, request.id));
  return true;
}

/// Sets the customer of a request by its API key. The configuration may lack a
/// new key, so an unknown one is an error of the caller only while the
/// configuration is current.
/// @return The error, if the request needs a key and has no valid one.
std::optional<core::ErrorKind> Gateway::IdentifyCustomer(Request& request,
                                                         core::Time now) {
  request.customer.clear();
  request.customer_rank = 0;
  request.quota = {};
  if (!routes_->Config().requires_keys || request.route->exempt) {
    return std::nullopt;
  }
  const auto identity = routes_->Customers().Identify(request.http.headers);
  metrics_.CountKeyCheck(identity.check);
  if (!AreKeysConfirmed(now)) {
    return core::ErrorKind::kCustomersUnconfirmed;
  }
  if (identity.customer != nullptr) {
    request.customer = identity.customer->name;
    request.customer_rank = identity.customer->rank;
    request.quota = {identity.customer->rate, identity.customer->burst};
    return std::nullopt;
  }
  Log(log::EventId::kCustomerUnknown,
      fmt::format(
          "request={} key={} hash={}", Truncate(request.id),
          customers::kKeyCheckNames.Name(identity.check),
          identity.key_hash ? customers::ShortText(*identity.key_hash) : "-"));
  const auto age = sync_.StateAge(now);
  return age && *age <= options_.change_time
             ? core::ErrorKind::kCustomerUnknown
             : core::ErrorKind::kCustomersUnconfirmed;
}

void Gateway::OnRequest(core::CallerId caller, core::HttpRequest http,
                        core::Time now) {
  if (!IsInitialized(now) && !shutdown_ &&
      early_requests_.size() < kMaxEarlyRequests) {
    early_requests_.push_back({caller, std::move(http), now});
    return;
  }
  Admit(caller, std::move(http), now, now);
}

void Gateway::AdmitEarlyRequests(core::Time now) {
  while (!early_requests_.empty() &&
         (IsInitialized(now) ||
          early_requests_.front().arrived + kMaxEarlyWait <= now)) {
    EarlyRequest it = std::move(early_requests_.front());
    early_requests_.pop_front();
    Log(log::EventId::kRequestWaited,
        fmt::format("request={} ms={} version={}",
                    Truncate(core::FindHeader(it.http.headers,
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
  request.capacity_wait_start = now;
  auto error = ResolveRoute(request);
  if (!error) {
    error = IdentifyCustomer(request, now);
  }
  if (error) {
    Log(log::EventId::kRequestRefused,
        fmt::format("request={} error={} version={} path={}",
                    Truncate(request.id), core::AnswerOf(*error).name,
                    routes_->Version(), Truncate(request.http.target)));
    metrics_.CountAnswer(core::AnswerOf(*error).name,
                         core::AnswerOf(*error).status);
    SendAnswer(caller, RefusalAnswer(*error, {}, true));
    return;
  }
  const core::Duration timeout = request.route->timeout;
  request.deadline =
      arrived + std::min(timeout, RemainingTime(options_.header_names,
                                                request.http.headers)
                                      .value_or(timeout));
  Log(log::EventId::kRequestAdmitted,
      fmt::format("request={} route={} service={} version={} left_ms={}",
                  Truncate(request.id), request.route->id, request.service,
                  routes_->Version(),
                  core::ToMilliseconds(request.deadline - now)));
  request.group = static_cast<std::uint32_t>(
      random_.Below(pool_.GroupCountOf(request.service)));
  request.fingerprint = FingerprintOf(request.http);
  request.next_timer = request.deadline;
  const core::Time deadline = request.deadline;
  const core::Handle handle = requests_.Insert(std::move(request));
  by_caller_[caller] = handle;
  by_timer_.emplace(deadline, handle);
  if (now >= deadline) {
    Refuse(handle, core::ErrorKind::kOverloaded, now);
    return;
  }
  if (shutdown_ && !shutdown_->Accepts(deadline, now)) {
    Refuse(handle, core::ErrorKind::kShuttingDown, now);
    return;
  }
  if (requests_.Find(handle)->quota.rate > 0.0) {
    RequestToken(handle, now);
  }
  const Request* admitted = requests_.Find(handle);
  if (admitted != nullptr && !admitted->slot_after_token &&
      admitted->slot_requests == 0) {
    RequestSlot(handle, now);
  }
}

void Gateway::OnCallerDisconnected(core::CallerId caller, core::Time now) {
  std::erase_if(early_requests_,
                [&](const auto& it) { return it.caller == caller; });
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) {
    return;
  }
  const core::Handle handle = found->second;
  Request& request = *requests_.Find(handle);
  Log(log::EventId::kCallerLeft,
      fmt::format("request={} sending={}", Truncate(request.id),
                  request.attempt.has_value()));
  CancelAttemptOf(request, AttemptOutcome::kCancelled, now);
  GiveUpToken(request, now);
  Erase(handle);
}

/// Answers requests whose servers have not answered by the end of a shutdown.
/// An answer of unknown outcome tells the caller more than a closed connection.
void Gateway::AnswerRemainingRequests(core::Time now) {
  while (!by_timer_.empty()) {
    EndWithoutAnswer(by_timer_.begin()->second, AttemptOutcome::kCancelled,
                     core::ErrorKind::kShuttingDown, now);
  }
}

/// Ends a request for whose server there is no more time.
/// @param outcome Outcome of its attempt in flight, if any.
/// @param not_executed Error if no server may have executed the request.
void Gateway::EndWithoutAnswer(core::Handle handle, AttemptOutcome outcome,
                               core::ErrorKind not_executed, core::Time now) {
  Request& request = *requests_.Find(handle);
  const bool may_have_executed = request.possible_executions > 0;
  CancelAttemptOf(request, outcome, now);
  Refuse(handle,
         may_have_executed ? core::ErrorKind::kBackendTimeout : not_executed,
         now);
}

/// Whether an attempt that starts now is expected to end before the answers of
/// a shutdown are due. Otherwise "not executed" is a better answer.
bool Gateway::EndsBeforeExit(const Request& request, core::Time now) const {
  return !shutdown_ || now + pool_.AverageResponseTime(request.route->id)
                                   .value_or(request.route->latency_target) <=
                           shutdown_->answer_by;
}

/// Asks a peer for its confirmation of the API keys when that is due, and logs
/// when requests with API keys are refused for want of one.
void Gateway::ConfirmKeys(core::Time now) {
  if (!NeedsKeyConfirmation()) {
    return;
  }
  if (AreKeysConfirmed(now) != keys_confirmed_) {
    keys_confirmed_ = !keys_confirmed_;
    const auto age = keys_.Age(now);
    Log(keys_confirmed_ ? log::EventId::kKeysConfirmed
                        : log::EventId::kKeysUnconfirmed,
        fmt::format("age_ms={} version={}",
                    age ? core::ToMilliseconds(*age) : -1, routes_->Version()));
  }
  const auto& peers = peers_.Peers();
  if (peers.empty() || !keys_.IsQueryDue(now)) {
    return;
  }
  core::VmId vm = sync_.StoreReaderOfDomain(now);
  if (vm == options_.vm || keys_.UnansweredQueries() > 0) {
    const auto step = static_cast<std::ptrdiff_t>(random_.Below(peers.size()));
    vm = std::next(peers.begin(), step)->first;
  }
  actions_.emplace_back(SendToPeer{vm, keys_.StartQuery(now, random_)});
}

void Gateway::OnTimer(core::Time now) {
  ConfirmKeys(now);
  AdmitEarlyRequests(now);
  if (shutdown_ && shutdown_->answer_by <= now) {
    AnswerRemainingRequests(now);
  }
  while (!by_timer_.empty() && by_timer_.begin()->first <= now) {
    const core::Handle handle = by_timer_.begin()->second;
    Request& request = *requests_.Find(handle);
    if (now >= request.deadline) {
      EndWithoutAnswer(handle, AttemptOutcome::kTimedOut,
                       core::ErrorKind::kOverloaded, now);
    } else if (request.awaited_dispatcher &&
               now >= request.dispatcher_deadline) {
      peers_.MarkUnresponsive(*request.awaited_dispatcher, now);
      metrics_.CountDispatcherTimeout();
      Log(log::EventId::kDispatcherSilent,
          fmt::format("request={} vm={}", Truncate(request.id),
                      static_cast<std::uint32_t>(*request.awaited_dispatcher)));
      ChooseLocally(handle, now);
    } else if (request.token == TokenState::kPending &&
               now >=
                   std::min(request.token_retry_at, request.token_deadline)) {
      OnTokenTimer(handle, now);
    } else if (request.next_slot_request && now >= *request.next_slot_request) {
      request.next_slot_request.reset();
      RequestSlot(handle, now);
    } else if (request.attempt && now >= request.attempt_deadline) {
      request.attempt_deadline = request.deadline;
      RequestSlot(handle, now);
    } else {
      UpdateTimer(handle, request);
    }
  }
  RenewLoans(now);
  sync_.OnTimer(now, random_);
  pool_.ExpireLeases(now);
  const std::vector<std::string> removed = registry_.ApplyDueRemovals(now);
  for (const std::string& it : removed) {
    Log(log::EventId::kServerChanged,
        fmt::format("server={} state=gone cause=not-back", it));
  }
  if (!removed.empty()) {
    ApplyRegistry(now);
  }
  RecordFinishedAttempts(now);
  ReportHealthChanges();
}

std::optional<core::Time> Gateway::NextTimer() const {
  std::optional<core::Time> next = sync_.NextTimer();
  if (const auto removal = registry_.NextTimer(); removal && *removal < *next) {
    next = removal;
  }
  if (const auto check = poison_detector_.NextTimer(); check) {
    next = std::min(*next, *check);
  }
  if (NeedsKeyConfirmation() && !peers_.Peers().empty()) {
    next = std::min(*next, keys_.NextTimer());
  }
  if (routes_->Customers().HasQuotas()) {
    for (std::uint32_t i = 0; i < quota::kShards; ++i) {
      next = std::min(*next, lender_.RenewalTime(i));
    }
  }
  if (!early_requests_.empty()) {
    next = std::min(*next, early_requests_.front().arrived + kMaxEarlyWait);
  }
  if (!by_timer_.empty()) {
    next = std::min(*next, by_timer_.begin()->first);
    if (shutdown_) {
      next = std::min(*next, shutdown_->answer_by);
    }
  }
  return next;
}

void Gateway::ForwardAnswer(core::Handle handle, core::HttpAnswer answer,
                            core::Time now) {
  const Request& request = *requests_.Find(handle);
  Log(log::EventId::kRequestAnswered,
      fmt::format(
          "request={} status={} server={} sends={} ms={}", Truncate(request.id),
          answer.status, request.attempt ? request.attempt->slot.server : "-",
          request.attempts, core::ToMilliseconds(now - request.arrived)));
  metrics_.CountAnswer("none", answer.status);
  metrics_.ObserveLatency(request.route->priority, now - request.arrived);
  answer.headers = core::EndToEndHeaders(answer.headers);
  SendAnswer(request.caller, std::move(answer));
  Erase(handle);
}

void Gateway::Refuse(core::Handle handle, core::ErrorKind kind, core::Time now,
                     core::Duration wait) {
  Request& request = *requests_.Find(handle);
  GiveUpToken(request, now);
  // A status that promises "not executed" holds only if no server may have
  // executed the request.
  const bool may_have_executed = request.possible_executions > 0;
  if (may_have_executed && ImpliesNotExecuted(core::AnswerOf(kind).status)) {
    kind = core::ErrorKind::kBackendLost;
  }
  Log(log::EventId::kRequestRefused,
      fmt::format("request={} error={} sends={} runs={} ms={} "
                  "fingerprint={:016x}",
                  Truncate(request.id), core::AnswerOf(kind).name,
                  request.attempts, request.possible_executions,
                  core::ToMilliseconds(now - request.arrived),
                  request.fingerprint));
  metrics_.CountAnswer(core::AnswerOf(kind).name, core::AnswerOf(kind).status);
  metrics_.ObserveLatency(request.route->priority, now - request.arrived);
  SendAnswer(request.caller, RefusalAnswer(kind, request.deadline - now,
                                           !may_have_executed, wait));
  Erase(handle);
}

void Gateway::SendAnswer(core::CallerId caller, core::HttpAnswer answer) {
  if (shutdown_) {
    // On a connection that stays open, a request could arrive after the exit.
    answer.headers.push_back({"Connection", "close"});
  }
  actions_.emplace_back(node::AnswerCaller{caller, std::move(answer)});
}

void Gateway::UpdateTimer(core::Handle handle, Request& request) {
  core::Time next = request.deadline;
  if (request.awaited_dispatcher) {
    next = std::min(next, request.dispatcher_deadline);
  }
  if (request.attempt) {
    next = std::min(next, request.attempt_deadline);
  }
  if (request.token == TokenState::kPending) {
    next = std::min({next, request.token_retry_at, request.token_deadline});
  }
  if (request.next_slot_request) {
    next = std::min(next, *request.next_slot_request);
  }
  by_timer_.erase({request.next_timer, handle});
  request.next_timer = next;
  by_timer_.emplace(next, handle);
}

void Gateway::Erase(core::Handle handle) {
  const Request& request = *requests_.Find(handle);
  by_caller_.erase(request.caller);
  by_token_.erase(request.token_number);
  by_timer_.erase({request.next_timer, handle});
  if (request.attempt) {
    by_attempt_.erase(request.attempt->id);
  }
  requests_.Erase(handle);
}

void Gateway::ReportHealthChanges() {
  for (const HealthChange& it : pool_.TakeHealthChanges()) {
    metrics_.CountHealthChange(it.to);
    Log(log::EventId::kServerTrust,
        fmt::format("server={} trust={} cause={}", it.server,
                    kServerHealthNames.Name(it.to),
                    kAttemptOutcomeNames.Name(it.cause)));
  }
}

void Gateway::RecordFinishedAttempts(core::Time now) {
  for (const FinishedAttempt& it : pool_.TakeFinishedAttempts()) {
    RecordFinishedAttempt(it, now);
  }
  CheckLostServers(now);
  ReportCrashes(now);
}

void Gateway::RecordFinishedAttempt(const FinishedAttempt& attempt,
                                    core::Time now) {
  switch (attempt.outcome) {
    case AttemptOutcome::kServed:
      poison_detector_.RecordContact(attempt.server, attempt.start);
      poison_detector_.RecordServed(attempt.fingerprint);
      break;
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kNotExecuted:
      poison_detector_.RecordContact(attempt.server, attempt.start);
      break;
    case AttemptOutcome::kLost:
    case AttemptOutcome::kInvalid:  // It may have crashed within the answer.
      poison_detector_.RecordContact(attempt.server, attempt.start);
      poison_detector_.RecordLostConnection(attempt.fingerprint, attempt.server,
                                            registry_, now);
      break;
    case AttemptOutcome::kUnreachable:
      poison_detector_.RecordUnreachable(attempt.server, now);
      break;
    case AttemptOutcome::kWrongServer:
      poison_detector_.RecordServerReplaced(attempt.server, now);
      break;
    case AttemptOutcome::kTimedOut:
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kUnused:
      break;
  }
}

/// Connects to servers that may have crashed.
void Gateway::CheckLostServers(core::Time now) {
  for (ConnectionCheck& it : poison_detector_.TakeDueChecks(now)) {
    actions_.emplace_back(CheckConnection{std::move(it)});
  }
}

void Gateway::OnConnectionChecked(std::string_view server,
                                  ConnectionResult result, core::Time now) {
  metrics_.CountConnectionCheck(result);
  Log(log::EventId::kServerChecked,
      fmt::format("server={} result={}", server,
                  kConnectionResultNames.Name(result)));
  poison_detector_.RecordCheck(server, result, now);
  ReportCrashes(now);
}

GatewayGauges Gateway::Gauges(core::Time now) {
  GatewayGauges gauges;
  gauges.in_flight = InFlight();
  gauges.servers = registry_.Servers().size();
  gauges.limited_servers = pool_.LimitedServers();
  gauges.members = peers_.FleetSize();
  gauges.config_version = routes_->Version();
  gauges.state_age = sync_.StateAge(now).value_or(core::Duration{});
  if (NeedsKeyConfirmation()) {
    gauges.key_age = keys_.Age(now).value_or(core::Duration{});
  }
  for (std::uint32_t i = 0; i < quota::kShards; ++i) {
    gauges.quota_shares += quota_owner_.ShareOf(i, now);
  }
  gauges.ready = IsReady();
  return gauges;
}

void Gateway::Log(log::EventId id, std::string detail) {
  actions_.emplace_back(node::WriteLog{{id, std::move(detail)}});
}

}  // namespace bambootack::gateway

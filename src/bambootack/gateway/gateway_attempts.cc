#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "bambootack/gateway/gateway.h"

// Slots, attempts and retries of a gateway's requests.

namespace bambootack::gateway {
namespace {

/// Longest wait for a dispatcher's reply. A round trip between failure domains
/// takes 2 ms; a VM with little CPU time (0.15 of a core) may need some
/// milliseconds more.
constexpr core::Duration kDispatcherTimeout = std::chrono::milliseconds(25);

/// Slot requests for one request, including those for attempts that were not
/// executed. At 30% packet loss half of the connections fail, and one request
/// in a thousand needs ten slot requests.
constexpr int kMaxSlotRequests = 10;

/// How long a server is excluded after this VM could not connect to it.
constexpr core::Duration kUnreachableExclusion =
    std::chrono::milliseconds(1500);

/// Attempt timeout of repeatable requests, in average response times of the
/// route; at least `kMinAttemptTimeout`.
constexpr int kAttemptTimeoutFactor = 3;
constexpr core::Duration kMinAttemptTimeout = std::chrono::milliseconds(300);

/// A request may wait in a server's queue for 1 / `kQueueWaitDivisor` of its
/// latency target.
constexpr int kQueueWaitDivisor = 2;

/// Used fraction of the retry ratio. The margin covers retries that are
/// counted in a later window than the first attempt of their request.
constexpr double kUsedRetryRatio = 0.9;

/// Fractions of the fleet's retry burst. The rank of a VM is its position in
/// the dispatcher order of a group, from 0. VMs that cannot reach each other
/// may choose different dispatchers, so only ranks 0 and 1 have a fraction for
/// retries of other entries. `kLocalBurst` is divided among all VMs, for local
/// choices and for dispatchers of later ranks. The sum therefore stays within
/// the burst, whichever VMs can reach each other.
constexpr std::size_t kRanksWithFleetBurst = 2;
constexpr std::array<double, kRanksWithFleetBurst> kRankBurst{0.2, 0.06};
constexpr double kLocalBurst = 0.72;

/// The credit of a first attempt can be spent for the retry window divided by
/// this. Credit from before a window adds to the retries that the window
/// allows, and `kUsedRetryRatio` leaves a tenth for that.
constexpr int kCreditLifetimeDivisor = 10;

/// Groups of servers tried for a slot before a request is refused.
constexpr std::uint32_t kMaxGroupsTried = 3;

/// Interval at which a delay-tolerant request that found no slot repeats its
/// slot request. Any request waits for an admission that limited servers
/// promise. Such a request is refused after its latency target divided by
/// `kCapacityWaitDivisor`, early enough for the caller to act on it.
constexpr core::Duration kSlotRequestInterval = std::chrono::milliseconds(80);
constexpr int kCapacityWaitDivisor = 8;

}  // namespace

SlotRequirements Gateway::RequirementsOf(const Request& request,
                                         core::Time now) const {
  SlotRequirements requirements;
  requirements.service = request.service;
  requirements.group = request.group;
  requirements.route = request.route->id;
  requirements.repeatable =
      request.route->repeatable &&
      request.possible_executions + 1 < request.route->max_attempts;
  requirements.priority = request.route->priority;
  requirements.defers_to_urgent =
      request.table->IsDelayTolerant(request.service, *request.route);
  requirements.waited_for_slot = request.capacity_waits > 0;
  requirements.failure_domain = options_.failure_domain;
  const auto remaining =
      std::chrono::duration_cast<core::Duration>(request.deadline - now);
  requirements.max_queue_wait =
      std::min(request.route->latency_target, remaining) / kQueueWaitDivisor;
  requirements.time_left = remaining;
  requirements.excluded = request.failed_servers;
  requirements.fingerprint = request.fingerprint;
  requirements.customer = request.customer;
  requirements.customer_rank = request.customer_rank;
  for (const auto& [server, until] : unreachable_until_) {
    if (now < until) {
      requirements.excluded.push_back(server);
    }
  }
  for (const auto& [server, until] : paused_until_) {
    const auto it = registry_.Servers().find(server);
    if (now < until && it != registry_.Servers().end() &&
        it->second.record.service == request.service) {
      requirements.excluded.push_back(server);
    }
  }
  return requirements;
}

/// Applies a configuration that came into force since the last attempt of a
/// request, which may have moved, limited or removed its route.
/// @return False if the request was refused or continues with the attempt in
/// flight.
bool Gateway::ApplyCurrentRoute(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  if (request.table == routes_) {
    return true;
  }
  const std::string previous_service = request.service;
  const bool found = FindRoute(request);
  const bool may_repeat =
      request.possible_executions == 0 ||
      (request.route->repeatable &&
       request.possible_executions < request.route->max_attempts);
  const auto error =
      found ? IdentifyCustomer(request, now) : core::ErrorKind::kNoRoute;
  if (!error && may_repeat) {
    if (request.service != previous_service) {
      request.group = static_cast<std::uint32_t>(
          random_.Below(pool_.GroupCountOf(request.service)));
      request.groups_without_slot = 0;
    }
    return true;
  }
  KeepAttemptOrRefuse(handle, error.value_or(core::ErrorKind::kNoRoute), now);
  return false;
}

/// Continues with the attempt in flight, if any, and refuses the request
/// otherwise.
/// @param not_executed Error if no server may have executed the request.
void Gateway::KeepAttemptOrRefuse(core::Handle handle,
                                  core::ErrorKind not_executed,
                                  core::Time now) {
  Request& request = *requests_.Find(handle);
  if (request.attempt) {
    UpdateTimer(handle, request);
    return;
  }
  Refuse(handle,
         request.possible_executions > 0 ? request.last_error : not_executed,
         now, request.admission_wait.value_or(kDefaultRetryWait));
}

void Gateway::RequestSlot(core::Handle handle, core::Time now) {
  if (!ApplyCurrentRoute(handle, now)) {
    return;
  }
  Request& request = *requests_.Find(handle);
  if (!EndsBeforeExit(request, now)) {
    KeepAttemptOrRefuse(handle, core::ErrorKind::kShuttingDown, now);
    return;
  }
  if (const auto pause = ShortestPause(request.service, now)) {
    if (request.attempt) {
      UpdateTimer(handle, request);
    } else {
      RefuseForPause(handle, *pause, now);
    }
    return;
  }
  ++request.slot_requests;
  SlotRequirements requirements = RequirementsOf(request, now);
  const std::string group = GroupName(requirements.service, requirements.group);
  const core::VmId dispatcher = peers_.ChooseDispatcher(group, now);
  const bool lends_limits = limit_lender_.Lend(
      group, dispatcher,
      peers_.IsLeaving(limit_lender_.BorrowerOf(group, options_.vm), now), now);
  if (dispatcher == options_.vm) {
    if (lends_limits) {
      limit_borrower_.RecordLoan(group, options_.vm, now);
    }
    requirements.limit_share = LimitShareOf(group, now);
    ChooseFromPool(handle, false, requirements, now);
    return;
  }
  request.awaited_dispatcher = dispatcher;
  request.slot_requested_at = now;
  request.dispatcher_deadline = now + kDispatcherTimeout;
  UpdateTimer(handle, request);
  std::vector<KnownLimit> limits =
      pool_.KnownLimits(requirements.service, requirements.group, now);
  actions_.emplace_back(
      SendToPeer{dispatcher, SlotRequest{{handle, request.slot_requests},
                                         request.attempts > 0,
                                         std::move(requirements),
                                         lends_limits,
                                         std::move(limits)}});
}

void Gateway::ChooseLocally(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  const auto dispatcher =
      std::exchange(request.awaited_dispatcher, std::nullopt);
  SlotRequirements requirements = RequirementsOf(request, now);
  requirements.pool_is_fleet_wide = false;
  requirements.limit_share = 0.0;
  const std::string group = GroupName(requirements.service, requirements.group);
  // Only dispatchers grant slots of servers that limit their requests.
  if (!pool_.KnownLimits(requirements.service, requirements.group, now)
           .empty() &&
      peers_.ChooseDispatcher(group, now) != dispatcher &&
      request.slot_requests < kMaxSlotRequests) {
    RequestSlot(handle, now);
    return;
  }
  ChooseFromPool(handle, true, requirements, now);
}

/// Acquires a slot from the pool of this VM, either as dispatcher or, if
/// `local`, in place of a dispatcher that does not answer.
void Gateway::ChooseFromPool(core::Handle handle, bool local,
                             const SlotRequirements& requirements,
                             core::Time now) {
  Request& request = *requests_.Find(handle);
  if (!request.attempt &&
      poison_detector_.IsQuarantined(requirements.fingerprint, now)) {
    Refuse(handle, core::ErrorKind::kRequestHeld, now);
    return;
  }
  auto slot =
      AcquireSlot(options_.vm, local, request.attempts > 0, requirements, now);
  request.admission_wait =
      slot ? std::nullopt : pool_.PromiseAdmission(requirements, now);
  OnSlotDecision(handle, std::move(slot), options_.vm, now);
}

RetryAllowance& Gateway::RetryAllowanceFor(
    bool local, const SlotRequirements& requirements) {
  const std::string group = GroupName(requirements.service, requirements.group);
  const std::size_t rank =
      local ? kRanksWithFleetBurst : peers_.RankOfSelf(group);
  const bool is_fleet_wide = rank < kRanksWithFleetBurst;
  const double burst =
      is_fleet_wide
          ? PartOfBurst(options_.retry_burst * kRankBurst.at(rank),
                        pool_.GroupCountOf(requirements.service),
                        requirements.group)
          : PartOfBurst(options_.retry_burst * kLocalBurst, peers_.FleetSize(),
                        peers_.RankOfSelf(requirements.service));
  RetryAllowance& result = is_fleet_wide
                               ? fleet_allowances_[group]
                               : local_allowances_[requirements.service];
  result.Configure(options_.retry_ratio * kUsedRetryRatio, burst,
                   options_.retry_window / kCreditLifetimeDivisor);
  return result;
}

/// Part of the limits of a group's servers that this VM may grant as their
/// dispatcher.
double Gateway::LimitShareOf(std::string_view group, core::Time now) const {
  if (pool_.LimitedServers() == 0 || !sync_.IsFleetKnown()) {
    return 0.0;
  }
  return limit_borrower_.ShareOf(group, peers_.RankOfSelf(group),
                                 peers_.FleetSize(), !shutdown_, now);
}

/// Acquires a slot for an attempt and records the attempt in the retry
/// allowance. A retry consumes allowance. Until the VM knows the fleet it
/// cannot tell its part of the burst and grants no retries.
std::optional<Slot> Gateway::AcquireSlot(core::VmId holder, bool local,
                                         bool retry,
                                         const SlotRequirements& requirements,
                                         core::Time now) {
  const bool fleet_known = sync_.IsFleetKnown();
  if (poison_detector_.IsQuarantined(requirements.fingerprint, now) ||
      (retry && !fleet_known)) {
    return std::nullopt;
  }
  if (fleet_known && !retry && !requirements.waited_for_slot) {
    RetryAllowanceFor(local, requirements).RecordFirstAttempt(now);
  }
  std::optional<Slot> slot = pool_.Acquire(requirements, holder, now, random_);
  if (slot && retry && !RetryAllowanceFor(local, requirements).TrySpend(now)) {
    pool_.Release(slot->lease, AttemptOutcome::kCancelled, std::nullopt, now);
    return std::nullopt;
  }
  return slot;
}

/// Whether the server of a slot is registered, not draining and wants requests
/// from this VM. The dispatcher may not know yet that it is draining, or may be
/// cut off from that information.
bool Gateway::IsUsable(const Slot& slot, core::Time now) const {
  const auto it = registry_.Servers().find(slot.server);
  return it != registry_.Servers().end() && !it->second.record.draining &&
         !IsPaused(slot.server, now);
}

/// Starts the attempt. Without a slot, a request with an earlier attempt in
/// flight keeps that one; any other tries the next group, waits for capacity or
/// is refused.
void Gateway::OnSlotDecision(core::Handle handle, std::optional<Slot> slot,
                             core::VmId granter, core::Time now) {
  Request& request = *requests_.Find(handle);
  if (slot && !request.customer.empty() && !AreKeysConfirmed(now)) {
    // The request may have waited, and its key may have been withdrawn.
    ReleaseSlot(granter, {slot->lease, AttemptOutcome::kCancelled}, now);
    KeepAttemptOrRefuse(handle, core::ErrorKind::kCustomersUnconfirmed, now);
  } else if (slot && request.token == TokenState::kPending) {
    request.held_slot = HeldSlot{*std::move(slot), granter};
    UpdateTimer(handle, request);
  } else if (slot) {
    StartAttemptInSlot(handle, *std::move(slot), granter, now);
  } else if (request.attempt ||
             (!TryNextGroup(handle, now) && !WaitForCapacity(handle, now))) {
    KeepAttemptOrRefuse(handle, core::ErrorKind::kOverloaded, now);
  }
}

/// Requests a slot from the next group of the service, which may have one free.
bool Gateway::TryNextGroup(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  const std::uint32_t groups = pool_.GroupCountOf(request.service);
  if (++request.groups_without_slot >= std::min(groups, kMaxGroupsTried)) {
    return false;
  }
  request.group = (request.group + 1) % groups;
  RequestSlot(handle, now);
  return true;
}

bool Gateway::WaitForCapacity(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  const core::Time until = request.capacity_wait_start +
                           request.route->latency_target / kCapacityWaitDivisor;
  const core::Duration interval =
      request.admission_wait.value_or(kSlotRequestInterval);
  if (now + interval > std::min(until, request.deadline) ||
      (!request.admission_wait &&
       !request.table->IsDelayTolerant(request.service, *request.route))) {
    return false;
  }
  ++request.capacity_waits;
  request.groups_without_slot = 0;
  Log(log::EventId::kRoomAwaited,
      fmt::format("request={} service={} waits={} sends={} ms={}", request.id,
                  request.service, request.capacity_waits, request.attempts,
                  core::ToMilliseconds(now - request.arrived)));
  request.next_slot_request = now + interval;
  UpdateTimer(handle, request);
  return true;
}

void Gateway::StartAttemptInSlot(core::Handle handle, Slot slot,
                                 core::VmId granter, core::Time now) {
  Request& request = *requests_.Find(handle);
  if (request.attempt) {
    request.failed_servers.push_back(request.attempt->slot.server);
    CancelAttemptOf(request, AttemptOutcome::kTimedOut, now);
  }
  const auto remaining =
      std::chrono::duration_cast<core::Duration>(request.deadline - now);
  const std::uint64_t id = ++last_attempt_;
  Log(log::EventId::kRequestSent,
      fmt::format("request={} server={} address={} send={} granter={} "
                  "left_ms={}",
                  request.id, slot.server, slot.address, request.slot_requests,
                  static_cast<std::uint32_t>(granter),
                  core::ToMilliseconds(remaining)));
  actions_.emplace_back(StartAttempt{
      id, slot.address,
      ToServerRequest(options_.header_names, request.http, slot.server,
                      remaining,
                      request.table->Config().requires_keys
                          ? std::optional<std::string_view>(request.customer)
                          : std::nullopt),
      remaining});
  by_attempt_[id] = handle;
  request.attempt = Attempt{id, std::move(slot), granter, now};
  ++request.attempts;
  request.attempted = true;
  ++request.possible_executions;
  LimitAttempt(handle, now);
}

/// Sets the time after which the attempt in flight is replaced.
void Gateway::LimitAttempt(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  request.attempt_deadline = request.deadline;
  if (request.route->repeatable &&
      request.possible_executions < request.route->max_attempts) {
    const auto average = pool_.AverageResponseTime(request.route->id);
    const core::Duration timeout = std::max(
        kMinAttemptTimeout, average.value_or(request.route->latency_target) *
                                kAttemptTimeoutFactor);
    request.attempt_deadline = std::min(request.deadline, now + timeout);
  }
  UpdateTimer(handle, request);
}

void Gateway::OnLargeBody(std::uint64_t attempt_id, core::Time now) {
  if (const auto found = by_attempt_.find(attempt_id);
      found != by_attempt_.end()) {
    LimitAttempt(found->second, now);
  }
}

void Gateway::OnAttemptFinished(std::uint64_t attempt_id, node::AttemptEnd end,
                                core::HttpAnswer answer, core::Time now) {
  const auto found = by_attempt_.find(attempt_id);
  if (found == by_attempt_.end()) {
    return;
  }
  const core::Handle handle = found->second;
  Request& request = *requests_.Find(handle);
  AttemptOutcome outcome = AttemptOutcome::kLost;
  std::optional<ServerLoad> load;
  switch (end) {
    case node::AttemptEnd::kAnswered:
      outcome = Classify(options_.header_names, request.id, answer);
      load = ReportedLoad(options_.header_names, answer.headers);
      break;
    case node::AttemptEnd::kNotConnected:
      outcome = AttemptOutcome::kUnreachable;
      break;
    case node::AttemptEnd::kLost:
      outcome = AttemptOutcome::kLost;
      break;
    case node::AttemptEnd::kTimedOut:
      outcome = AttemptOutcome::kTimedOut;
      break;
    case node::AttemptEnd::kInvalid:
      outcome = AttemptOutcome::kInvalid;
      break;
  }
  const Attempt finished = *std::exchange(request.attempt, std::nullopt);
  by_attempt_.erase(found);
  std::optional<ServerNotice> notice;
  std::optional<LimitReport> limit;
  if (end == node::AttemptEnd::kAnswered &&
      outcome != AttemptOutcome::kInvalid) {
    notice = ReadServerNotice(options_.header_names, answer);
    limit = LimitReportOf(*notice, outcome);
  }
  ReleaseSlot(finished.granter, {finished.slot.lease, outcome, load, limit},
              now);
  if (finished.granter != options_.vm) {
    pool_.RecordAttempt(finished.slot.server, request.route->id,
                        now - finished.started, outcome, now);
  }
  if (notice) {
    ApplyServerNotice(request, finished, *notice, now);
  }
  if (limit) {
    RecordLimit(finished.slot.server, *limit, finished.started, now,
                options_.vm);
  }
  metrics_.CountAttempt(outcome);
  Log(log::EventId::kSendEnded,
      fmt::format("request={} server={} end={} status={} ms={}", request.id,
                  finished.slot.server, kAttemptOutcomeNames.Name(outcome),
                  answer.status, core::ToMilliseconds(now - request.arrived)));
  request.failed_servers.push_back(finished.slot.server);
  request.capacity_wait_start = now;
  switch (outcome) {
    case AttemptOutcome::kServed:
      request.attempt = finished;
      ForwardAnswer(handle, std::move(answer), now);
      return;
    case AttemptOutcome::kServerError:
      request.last_error = core::ErrorKind::kBackendLost;
      if (MayRetry(request, now)) {
        break;
      }
      if (ImpliesNotExecuted(answer.status)) {
        Refuse(handle, core::ErrorKind::kBackendLost, now);
      } else {
        ForwardAnswer(handle, std::move(answer), now);
      }
      return;
    case AttemptOutcome::kUnreachable:
      unreachable_until_[finished.slot.server] = now + kUnreachableExclusion;
      --request.attempts;
      --request.possible_executions;
      break;
    case AttemptOutcome::kNotExecuted:
    case AttemptOutcome::kWrongServer:
      --request.possible_executions;
      break;
    case AttemptOutcome::kInvalid:
      request.last_error = core::ErrorKind::kBackendAnswerInvalid;
      break;
    case AttemptOutcome::kTimedOut:
      request.last_error = core::ErrorKind::kBackendTimeout;
      break;
    case AttemptOutcome::kLost:
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kUnused:
      request.last_error = core::ErrorKind::kBackendLost;
      break;
  }
  RetryOrRefuse(handle, now);
}

bool Gateway::MayRetry(const Request& request, core::Time now) const {
  const bool proven_not_executed = request.possible_executions == 0;
  const bool attempts_left =
      request.route->repeatable &&
      request.possible_executions < request.route->max_attempts;
  return (proven_not_executed || attempts_left) &&
         request.slot_requests < kMaxSlotRequests + request.capacity_waits &&
         now < request.deadline;
}

void Gateway::RetryOrRefuse(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  if (request.awaited_dispatcher) {
    UpdateTimer(handle, request);  // A slot for the retry is already requested.
  } else if (MayRetry(request, now)) {
    RequestSlot(handle, now);
  } else {
    Refuse(handle,
           request.possible_executions > 0 ? request.last_error
                                           : core::ErrorKind::kNoServer,
           now);
  }
}

/// Logs crashes and reports them to the dispatchers of all groups of the
/// service, so that each of them quarantines a poison request.
void Gateway::ReportCrashes(core::Time now) {
  for (const Crash& it : poison_detector_.TakeCrashes()) {
    Log(log::EventId::kServerCrashed,
        fmt::format("server={} service={} fingerprint={:016x} held={}",
                    it.server, it.service, it.fingerprint,
                    poison_detector_.IsQuarantined(it.fingerprint, now)));
    std::set<core::VmId> dispatchers;
    for (std::uint32_t i = 0; i < pool_.GroupCountOf(it.service); ++i) {
      dispatchers.insert(
          peers_.ChooseDispatcher(GroupName(it.service, i), now));
    }
    dispatchers.erase(options_.vm);
    for (const core::VmId vm : dispatchers) {
      actions_.emplace_back(
          SendToPeer{vm, CrashNotice{it.fingerprint, it.server, it.started}});
    }
  }
}

void Gateway::CancelAttemptOf(Request& request, AttemptOutcome outcome,
                              core::Time now) {
  if (!request.attempt) {
    return;
  }
  const Attempt attempt = *std::exchange(request.attempt, std::nullopt);
  by_attempt_.erase(attempt.id);
  actions_.emplace_back(CancelAttempt{attempt.id});
  ReleaseSlot(attempt.granter, {attempt.slot.lease, outcome}, now);
}

void Gateway::ReleaseSlot(core::VmId granter, const SlotRelease& release,
                          core::Time now) {
  if (granter == options_.vm) {
    pool_.Release(release.lease, release.outcome, release.load, now);
  } else {
    actions_.emplace_back(SendToPeer{granter, release});
  }
}

}  // namespace bambootack::gateway

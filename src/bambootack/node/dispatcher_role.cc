#include "bambootack/node/dispatcher_role.h"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <string_view>
#include <utility>

#include "bambootack/node/answers.h"
#include "bambootack/node/routing.h"

namespace bambootack::node {
namespace {

/// Most servers that one request is sent to.
constexpr int kMaxSends = 3;

/// A VM that is not the first for a group and got no work for this long assumes
/// that the first VM has served the group meanwhile.
constexpr core::Duration kTakeoverGap = std::chrono::seconds(1);

/// Retry-After has whole seconds.
constexpr core::Duration kLeastRetryAfter = std::chrono::seconds(1);

/// Retry-After lies between 0.5 and 1.5 times the expected wait.
constexpr double kLeastJitter = 0.5;

constexpr int kFirstServerError = 500;

/// Header field of a server's load report, 0 to 1.
constexpr std::string_view kLoadHeader = "X-Load";
constexpr int kExplicitRefusalStatus = 503;

/// What an attempt proves about the operation and what the requester is told.
struct Conclusion {
  wire::RunState state;
  wire::Answer answer;
};

Conclusion Conclude(AttemptResult& event) {
  using wire::RunState;
  switch (event.end) {
    case AttemptEnd::kAnswered:
      break;
    case AttemptEnd::kNotConnected:
      return {RunState::kNotStarted, Refusal(core::ErrorKind::kNoServer)};
    case AttemptEnd::kLost:
      return {RunState::kUncertain, Refusal(core::ErrorKind::kBackendLost)};
    case AttemptEnd::kTimedOut:
      return {RunState::kUncertain, Refusal(core::ErrorKind::kBackendTimeout)};
    case AttemptEnd::kInvalid:
      return {RunState::kUncertain,
              Refusal(core::ErrorKind::kBackendAnswerInvalid)};
  }
  if (!core::IsFinalStatus(event.answer.status)) {
    return {RunState::kUncertain,
            Refusal(core::ErrorKind::kBackendAnswerInvalid)};
  }
  if (event.answer.status == kExplicitRefusalStatus &&
      core::FindHeader(event.answer.headers, kNotStartedHeader)) {
    return {RunState::kNotStarted, Refusal(core::ErrorKind::kNoServer)};
  }
  wire::Answer answer;
  const bool failed = event.answer.status >= 500;
  answer.outcome = failed ? core::Outcome::kUnknown : core::Outcome::kDone;
  answer.http = std::move(event.answer);
  answer.http.headers = core::EndToEndHeaders(answer.http.headers);
  return {RunState::kCompleted, std::move(answer)};
}

core::HttpRequest BackendRequest(const Job& job, core::Time now) {
  core::HttpRequest http = job.request.http;
  http.headers.push_back(
      {std::string(kTimeoutHeader),
       std::to_string(core::ToMilliseconds(job.deadline - now))});
  if (!job.request.key.empty()) {
    std::erase_if(http.headers, [](const core::HeaderField& it) {
      return core::FindHeader({it}, kKeyHeader).has_value();
    });
    http.headers.push_back({std::string(kKeyHeader), job.request.key});
  }
  return http;
}

/// Tells whether the operation has not run on the server: no connection, or an
/// explicit refusal.
bool IsProvenNotStarted(const AttemptResult& event) {
  return event.end == AttemptEnd::kNotConnected ||
         (event.end == AttemptEnd::kAnswered &&
          core::FindHeader(event.answer.headers, kNotStartedHeader));
}

std::optional<double> LoadOf(const AttemptResult& event) {
  const auto text = core::FindHeader(event.answer.headers, kLoadHeader);
  double load = 0.0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), load).ec !=
          std::errc()) {
    return std::nullopt;
  }
  return load;
}

/// Passes on what an attempt tells about the server's load and speed.
void Observe(dispatch::Group& group, const Job& job, const AttemptResult& event,
             core::Time now) {
  if (const auto load = LoadOf(event)) {
    group.RecordServerLoad(job.server_id, *load);
  }
  if (IsProvenNotStarted(event)) {
    group.RecordRefusal(job.server_id, now);
    return;
  }
  const bool served = event.end == AttemptEnd::kAnswered &&
                      event.answer.status < kFirstServerError;
  // A timeout is a lower bound of the service time. Without it a hanging server
  // would leave the estimate too low.
  if (served || event.end == AttemptEnd::kTimedOut) {
    group.RecordServiceTime(job.request.rank, now - job.started);
  }
}

dispatch::QueuedRequest WorkOf(core::Handle handle, const Job& job) {
  return {handle, job.request.rank, job.deadline, job.request.customer,
          job.request.kind == core::OperationKind::kRepeatable};
}

/// Refusal with a time to try again that spreads the callers' repeats.
wire::Answer RefusalWithJitter(core::ErrorKind kind, core::Duration delay,
                               core::Random& random) {
  const std::chrono::duration<double> base =
      std::max<core::Duration>(delay, kLeastRetryAfter);
  wire::Answer answer = Refusal(kind);
  answer.retry_after =
      std::chrono::ceil<core::Duration>(base * (kLeastJitter + random.Unit()));
  return answer;
}

bool IsLocal(const config::GroupKey& key) noexcept {
  return key.failure_domain.empty();
}

bool IsCandidate(const config::GroupKey& key, Context& context) {
  const dispatch::GroupCandidate* it = TablesInForce(context).chooser.Find(key);
  return it != nullptr &&
         std::find(it->dispatchers.begin(), it->dispatchers.end(),
                   context.shared.settings.vm) != it->dispatchers.end();
}

bool IsFirstCandidate(const config::GroupKey& key, Context& context) {
  const dispatch::GroupCandidate* it = TablesInForce(context).chooser.Find(key);
  return it != nullptr && !it->dispatchers.empty() &&
         it->dispatchers.front() == context.shared.settings.vm;
}

core::Duration LongestTimeout(const config::FleetConfig& config) {
  core::Duration longest{};
  for (const auto& [id, route] : config.routes) {
    longest = std::max(longest, route.timeout);
  }
  return longest;
}

int SlotsOf(const std::vector<config::Server>& servers) {
  return std::accumulate(
      servers.begin(), servers.end(), 0,
      [](int sum, const config::Server& it) { return sum + it.slots; });
}

/// Gives a group its servers and its part of the limits.
void ConfigureSlots(const config::GroupKey& key, dispatch::Group& group,
                    dispatch::RateLimiter& limits, Context& context) {
  const config::FleetConfig& config = context.shared.store.Config();
  const auto service = config.services.find(key.service);
  if (service == config.services.end()) {
    group.Configure({}, config.ranks);
    return;
  }
  const std::vector<config::Server>& all = service->second.servers;
  if (IsLocal(key)) {
    // Rounded up: rounded down, an entry of a fleet with nearly as many slots
    // as VMs would leave slots unused.
    const auto members =
        std::max<int>(1, static_cast<int>(context.shared.view.members.size()));
    group.Configure(all, config.ranks, (SlotsOf(all) + members - 1) / members);
    limits.Configure(config, key.service, 1.0 / members);
    return;
  }
  const dispatch::GroupCandidate* it = TablesInForce(context).chooser.Find(key);
  const auto servers =
      it != nullptr ? it->servers : std::vector<config::Server>();
  group.Configure(servers, config.ranks);
  limits.Configure(
      config, key.service,
      static_cast<double>(SlotsOf(servers)) / std::max(1, SlotsOf(all)));
}

}  // namespace

dispatch::Group* DispatcherRole::Open(const config::GroupKey& key,
                                      Context& context) {
  const bool local = IsLocal(key);
  if (!local && !IsCandidate(key, context)) {
    return nullptr;
  }
  if (local && !context.shared.store.Config().services.contains(key.service)) {
    return nullptr;
  }
  const auto [it, inserted] =
      groups_.try_emplace(key, key,
                          local ? dispatch::ServerSelection::kPowerOfTwoChoices
                                : dispatch::ServerSelection::kLeastLoaded);
  Serving& serving = serving_[key];
  if (inserted) {
    Configure(key, it->second, context);
  }
  const bool resumed = context.now - serving.last_work > kTakeoverGap &&
                       !IsFirstCandidate(key, context);
  if (!local && (inserted || resumed)) {
    it->second.AssumeBusy(context.now +
                          LongestTimeout(context.shared.store.Config()));
  }
  serving.last_work = context.now;
  return &it->second;
}

void DispatcherRole::Configure(const config::GroupKey& key,
                               dispatch::Group& group, Context& context) {
  const config::FleetConfig& config = context.shared.store.Config();
  ConfigureSlots(key, group, serving_[key].limits, context);
  health_.Configure(group, key, config, context.now);
}

std::optional<wire::Answer> DispatcherRole::Refuse(dispatch::Group& group,
                                                   Serving& serving,
                                                   core::Handle handle,
                                                   Context& context) {
  const Job& job = *jobs_.Find(handle);
  const dispatch::LimitSubject subject{job.request.route, job.request.customer,
                                       job.request.rank};
  core::Random& random = context.shared.random;
  if (const auto delay = serving.limits.Acquire(subject, context.now)) {
    return RefusalWithJitter(core::ErrorKind::kRateLimited, *delay, random);
  }
  if (const auto delay = group.Offer(WorkOf(handle, job), context.now)) {
    return RefusalWithJitter(core::ErrorKind::kOverloaded, *delay, random);
  }
  return std::nullopt;
}

void DispatcherRole::Receive(core::VmId from, wire::DispatchRequest message,
                             Context& context) {
  Job job;
  job.from = from;
  job.role = message.role;
  job.requester = message.requester;
  job.send = message.send;
  job.group = message.group;
  job.request = std::move(message.request);
  job.queued = context.now;
  job.deadline = context.now + job.request.remaining;
  const core::Handle handle = jobs_.Insert(std::move(job));
  by_requester_[{from, message.role, message.requester, message.send}] = handle;
  dispatch::Group* group = Open(message.group, context);
  if (group == nullptr) {
    Reply(handle, wire::RunState::kNotStarted,
          Refusal(core::ErrorKind::kNoServer), context);
    return;
  }
  if (auto refusal = Refuse(*group, serving_[message.group], handle, context)) {
    Reply(handle, wire::RunState::kNotStarted, *std::move(refusal), context);
    return;
  }
  Pump(*group, context);
}

void DispatcherRole::Receive(core::VmId from, const wire::Cancel& message,
                             Context& context) {
  const auto row =
      by_requester_.find({from, message.role, message.requester, message.send});
  if (row == by_requester_.end()) {
    return;
  }
  const core::Handle handle = row->second;
  const Job& job = *jobs_.Find(handle);
  dispatch::Group& group = groups_.at(job.group);
  if (group.Remove(handle)) {
    Reply(handle, wire::RunState::kNotStarted,
          Refusal(core::ErrorKind::kDeadlineExceeded), context);
    return;
  }
  context.Do(CancelAttempt{handle});
  health_.Cancel(handle, job, group, context.now);
  group.Release(job.server_id, job.request.rank, context.now);
  Reply(handle, wire::RunState::kUncertain,
        Refusal(core::ErrorKind::kBackendTimeout), context);
  Pump(group, context);
}

void DispatcherRole::Receive(AttemptResult event, Context& context) {
  const Job* job = jobs_.Find(event.attempt);
  if (job == nullptr) {
    return;
  }
  dispatch::Group& group = groups_.at(job->group);
  group.Release(job->server_id, job->request.rank, context.now);
  context.shared.metrics.CountAttempt(event.end);
  Observe(group, *job, event, context.now);
  health_.Finish(event, *job, group, context.now);
  if (!TakeBack(event.attempt, event, context)) {
    Conclusion conclusion = Conclude(event);
    conclusion.answer.server_time = context.now - job->started;
    Reply(event.attempt, conclusion.state, std::move(conclusion.answer),
          context);
  }
  Pump(group, context);
}

bool DispatcherRole::TakeBack(core::Handle handle, const AttemptResult& event,
                              Context& context) {
  Job& job = *jobs_.Find(handle);
  if (!IsProvenNotStarted(event) || job.sends >= kMaxSends ||
      job.deadline <= context.now) {
    return false;
  }
  job.server_id.clear();
  groups_.at(job.group).Requeue(WorkOf(handle, job));
  return true;
}

void DispatcherRole::Tick(Context& context) {
  for (auto& [key, group] : groups_) {
    health_.Tick(group, key, context);
    Pump(group, context);
    EndExpired(group, context);
  }
}

void DispatcherRole::EndExpired(dispatch::Group& group, Context& context) {
  for (const core::Handle handle : group.RemoveExpired(context.now)) {
    const bool passed = jobs_.Find(handle)->deadline <= context.now;
    Reply(handle, wire::RunState::kNotStarted,
          Refusal(passed ? core::ErrorKind::kDeadlineExceeded
                         : core::ErrorKind::kOverloaded),
          context);
  }
}

void DispatcherRole::Reconfigure(Context& context) {
  for (auto& [key, group] : groups_) {
    Configure(key, group, context);
  }
}

void DispatcherRole::Pump(dispatch::Group& group, Context& context) {
  while (auto next = group.AssignNext(context.now)) {
    Job* job = jobs_.Find(next->job);
    if (health_.IsHeld(*job, context.now)) {
      group.Release(next->server_id, next->rank, context.now);
      Reply(next->job, wire::RunState::kNotStarted,
            Refusal(core::ErrorKind::kRequestHeld), context);
      continue;
    }
    job->server_id = next->server_id;
    job->started = context.now;
    ++job->sends;
    context.shared.metrics.ObserveQueueWait(job->request.rank,
                                            context.now - job->queued);
    health_.Start(next->job, *job, context.now);
    context.Do(StartAttempt{next->job, next->address,
                            BackendRequest(*job, context.now),
                            job->deadline - context.now});
  }
}

void DispatcherRole::Reply(core::Handle handle, wire::RunState state,
                           wire::Answer answer, Context& context) {
  const Job* job = jobs_.Find(handle);
  if (state == wire::RunState::kNotStarted && answer.error) {
    context.shared.metrics.CountRefusal(metrics::Stage::kDispatcher,
                                        *answer.error);
  }
  wire::DispatchReply reply;
  reply.role = job->role;
  reply.requester = job->requester;
  reply.send = job->send;
  reply.state = state;
  reply.answer = std::move(answer);
  if (const auto it = groups_.find(job->group); it != groups_.end()) {
    reply.load = it->second.Load(context.now);
  }
  const core::VmId to = job->from;
  by_requester_.erase({to, job->role, job->requester, job->send});
  jobs_.Erase(handle);
  context.Send(to, std::move(reply));
}

}  // namespace bambootack::node

#include "bambootack/node/health_glue.h"

#include <fmt/format.h>

#include <vector>

#include "bambootack/core/http_message.h"
#include "bambootack/node/context.h"
#include "bambootack/node/dispatcher_role.h"
#include "bambootack/node/routing.h"

namespace bambootack::node {
namespace {

using health::EvidenceKind;

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr std::string_view kDrainingValue = "draining";

void Apply(const health::GroupHealth& health, dispatch::Group& group) {
  for (const health::ServerStatus& it : health.Servers()) {
    group.SetAdmission(it.id, {it.admission.slots, it.admission.repeatable_only,
                               it.admission.overdue});
  }
}

}  // namespace

EvidenceKind EvidenceOf(const AttemptResult& event) {
  switch (event.end) {
    case AttemptEnd::kAnswered:
      break;
    case AttemptEnd::kNotConnected:
      return EvidenceKind::kRefused;
    case AttemptEnd::kLost:
      return EvidenceKind::kReset;
    case AttemptEnd::kTimedOut:
      return EvidenceKind::kTimeout;
    case AttemptEnd::kInvalid:
      return EvidenceKind::kError;
  }
  if (!core::IsFinalStatus(event.answer.status)) {
    return EvidenceKind::kError;
  }
  const auto refusal =
      core::FindHeader(event.answer.headers, kNotStartedHeader);
  if (refusal) {
    return refusal == kDrainingValue ? EvidenceKind::kDraining
                                     : EvidenceKind::kShed;
  }
  if (event.answer.status >= kFirstServerError) {
    return EvidenceKind::kError;
  }
  return event.answer.status >= kFirstClientError ? EvidenceKind::kClientError
                                                  : EvidenceKind::kSuccess;
}

void HealthGlue::Configure(dispatch::Group& group, const config::GroupKey& key,
                           const config::FleetConfig& config, core::Time now) {
  const auto service = config.services.find(key.service);
  if (service == config.services.end()) {
    groups_.erase(key);
    return;
  }
  std::vector<config::Server> servers;
  for (const dispatch::ServerSlots& it : group.Servers()) {
    servers.push_back(it.server);
  }
  health::GroupHealth& health = groups_[key];
  health.Configure(service->second, servers, now);
  Apply(health, group);
}

bool HealthGlue::IsHeld(const Job& job, core::Time now) const {
  return guard_.IsQuarantined(job.request.fingerprint, now);
}

void HealthGlue::Start(core::Handle attempt, const Job& job, core::Time now) {
  groups_[job.group].OnAttemptStarted(attempt, job.server_id, job.request.route,
                                      now);
}

bool HealthGlue::NoteCrash(const AttemptResult& event, const Job& job,
                           core::Time now) {
  const std::uint64_t fingerprint = job.request.fingerprint;
  const bool suspected = guard_.IsSuspected(fingerprint, now);
  if (event.end == AttemptEnd::kLost) {
    guard_.RecordLoss(fingerprint, job.server_id, now);
  } else if (event.end == AttemptEnd::kNotConnected) {
    guard_.RecordServerDown(job.server_id);
  } else if (event.end == AttemptEnd::kAnswered) {
    guard_.RecordSuccess(fingerprint);
  }
  return suspected && event.end == AttemptEnd::kLost;
}

void HealthGlue::Finish(const AttemptResult& event, const Job& job,
                        dispatch::Group& group, core::Time now) {
  health::GroupHealth& health = groups_[job.group];
  const EvidenceKind kind = EvidenceOf(event);
  if (NoteCrash(event, job, now)) {
    health.OnAttemptFinishedWithoutEvidence(event.attempt, kind, now);
  } else {
    health.OnAttemptFinished(event.attempt, kind, now);
  }
  Apply(health, group);
}

void HealthGlue::Cancel(core::Handle attempt, const Job& job,
                        dispatch::Group& group, core::Time now) {
  health::GroupHealth& health = groups_[job.group];
  if (now >= job.deadline) {
    health.OnAttemptFinished(attempt, EvidenceKind::kTimeout, now);
  } else {
    health.OnAttemptFinishedWithoutEvidence(attempt, EvidenceKind::kSuccess,
                                            now);
  }
  Apply(health, group);
}

void HealthGlue::MarkLeaving(dispatch::Group& group,
                             const config::GroupKey& key,
                             std::string_view server_id,
                             health::LeavingSource source, bool leaving,
                             core::Time now) {
  health::GroupHealth& health = groups_[key];
  health.MarkLeaving(server_id, source, leaving, now);
  Apply(health, group);
}

void HealthGlue::Tick(dispatch::Group& group, const config::GroupKey& key,
                      Context& context) {
  health::GroupHealth& health = groups_[key];
  health.OnTimer(context.now);
  guard_.Expire(context.now);
  Apply(health, group);
  for (const health::Transition& it : health.TakeTransitions()) {
    context.Log(
        log::EventId::kServerState,
        fmt::format("group={} server={} from={} to={}", config::ToString(key),
                    it.server, health::kServerStateNames.Name(it.from),
                    health::kServerStateNames.Name(it.to)));
  }
}

}  // namespace bambootack::node

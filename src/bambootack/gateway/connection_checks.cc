#include "bambootack/gateway/connection_checks.h"

#include <algorithm>

namespace bambootack::gateway {
namespace {

/// Time between two checks of a server, until there is a verdict.
constexpr core::Duration kCheckInterval = std::chrono::milliseconds(250);

/// Time from a verdict's last check to the next one. Faulty servers reset many
/// connections, and each check costs them another one.
constexpr core::Duration kVerdictInterval = std::chrono::seconds(1);

/// A single refusal may come from a server that limits its connections.
constexpr int kRefusalsWhenDown = 2;

/// Failures after which the checks of a server end without a verdict.
constexpr int kMaxFailures = 5;

}  // namespace

void ConnectionChecks::Request(const std::string& server,
                               const std::string& address, core::Time due) {
  const auto [found, added] = series_.try_emplace(server);
  Series& it = found->second;
  it.address = address;
  it.failures = 0;
  const core::Time earliest = std::max(due, it.began + kVerdictInterval);
  switch (it.state) {
    case State::kDue:
      it.due = added ? due : std::min(it.due, earliest);
      break;
    case State::kInFlight:
      it.requested_again = std::min(it.requested_again.value_or(due), due);
      break;
    case State::kDone:
      it.state = State::kDue;
      it.due = earliest;
      it.refusals = 0;
      break;
  }
}

void ConnectionChecks::Cancel(std::string_view server) {
  const auto found = series_.find(server);
  if (found != series_.end() && found->second.state == State::kDue) {
    found->second.state = State::kDone;
  }
}

std::vector<ConnectionCheck> ConnectionChecks::TakeDue(core::Time now) {
  std::erase_if(series_, [&](const auto& it) {
    return it.second.state == State::kDone &&
           it.second.began + kVerdictInterval <= now;
  });
  std::vector<ConnectionCheck> due;
  for (auto& [server, it] : series_) {
    if (it.state == State::kDue && it.due <= now) {
      it.state = State::kInFlight;
      it.began = now;
      due.push_back({server, it.address});
    }
  }
  return due;
}

std::optional<core::Time> ConnectionChecks::NextTimer() const {
  std::optional<core::Time> next;
  for (const auto& [server, it] : series_) {
    if (it.state == State::kDue) {
      next = std::min(next.value_or(it.due), it.due);
    }
  }
  return next;
}

std::optional<ConnectionChecks::Verdict> ConnectionChecks::RecordResult(
    std::string_view server, ConnectionResult result, core::Time now) {
  const auto found = series_.find(server);
  if (found == series_.end() || found->second.state != State::kInFlight) {
    return std::nullopt;
  }
  Series& it = found->second;
  it.failures += result == ConnectionResult::kFailed ? 1 : 0;
  it.refusals = result == ConnectionResult::kRefused ? it.refusals + 1 : 0;
  const bool listening = result == ConnectionResult::kAccepted;
  const bool down = it.refusals >= kRefusalsWhenDown;
  const bool done = listening || down || it.failures >= kMaxFailures;
  it.state = done && !it.requested_again ? State::kDone : State::kDue;
  it.due = std::max(it.requested_again.value_or(now),
                    it.began + (done ? kVerdictInterval : kCheckInterval));
  it.requested_again.reset();
  return listening || down ? std::optional(Verdict{listening, it.began})
                           : std::nullopt;
}

}  // namespace bambootack::gateway

#include "soak/ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "soak/backend.h"

namespace soak {
namespace {

using std::chrono::milliseconds;

// Bounds of the deployments (SYSTEM, "Bounds"; RULES).
constexpr core::Duration kConfigApply = milliseconds(2000);
constexpr core::Duration kDrain = milliseconds(2000);
constexpr core::Duration kExtraTime = milliseconds(500);
constexpr core::Duration kGoneTime = milliseconds(500);
constexpr core::Duration kRetryWindow = std::chrono::seconds(10);
constexpr core::Duration kRecovery = std::chrono::seconds(15);
constexpr double kRepeatShare = 0.2;
constexpr int kRepeatSlack = 80;
constexpr int kMaxLosses = 3;
constexpr int kMaxRunsAfterLeaving = 3;
constexpr int kMaxOverdue = 8;
constexpr core::Duration kPauseStart = milliseconds(500);
constexpr int kMaxArrivalsInPause = 2;
constexpr double kRecoveredShare = 0.25;
constexpr core::Duration kLimitWindow = milliseconds(4000);
constexpr core::Duration kLimitTold = milliseconds(500);
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitSlack = 5.0;

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

double Ledger::CountArrivals(const std::vector<Arrival>& arrivals,
                             core::Time after, core::Time until, bool repeat) {
  return static_cast<double>(
      std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& it) {
        return it.at > after && it.at <= until && it.repeat == repeat;
      }));
}

void Ledger::NoteSent(const std::string& id, Attempt attempt) {
  attempts_.emplace(id, std::move(attempt));
}

/// Versions from the newest one that must be in force on, or all.
std::set<std::string> Ledger::ServicesAllowed(const Attempt& attempt,
                                              bool in_touch) const {
  std::set<std::string> services;
  for (auto it = configs_.rbegin(); it != configs_.rend(); ++it) {
    if (const auto route = it->routes.find(attempt.prefix);
        route != it->routes.end()) {
      services.insert(route->second.services.begin(),
                      route->second.services.end());
    }
    if (in_touch && it->acknowledged + kConfigApply <= attempt.sent) {
      break;
    }
  }
  return services;
}

bool Ledger::HadRouteAlways(const Attempt& attempt, bool in_touch) const {
  for (auto it = configs_.rbegin(); it != configs_.rend(); ++it) {
    if (!it->routes.contains(attempt.prefix)) {
      return false;
    }
    if (in_touch && it->acknowledged + kConfigApply <= attempt.sent) {
      break;
    }
  }
  return true;
}

void Ledger::NoteRun(const core::HttpRequest& http, const std::string& server,
                     const std::string& service, core::Time now) {
  const std::string id(
      core::FindHeader(http.headers, Names().request_id).value_or(""));
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    Break("UNASKED", fmt::format("request={} was not sent", id), now);
    return;
  }
  Attempt& it = found->second;
  if (http.method != it.http.method || http.target != it.http.target ||
      http.body != it.http.body) {
    Break("UNASKED", fmt::format("request={} was changed", id), now);
  }
  ++it.runs;
  it.last_server = server;
  const Pair pair{it.gateway, server};
  CheckPause(pair, now);
  CheckLimit(pair, now);
  const auto announced = announced_.find(pair);
  if (announced != announced_.end() && it.sent > announced->second + kDrain &&
      view_.gateways[it.gateway].IsCalm(now, now - announced->second)) {
    Break("DRAIN",
          fmt::format("request={} server={} gateway={} after its announcement",
                      id, server, it.gateway),
          now);
  }
  arrivals_[service].push_back({now, it.runs > 1});
  if (it.runs > 1 && !it.repeatable) {
    Break("TWICE", fmt::format("request={} server={}", id, server), now);
  }
  if (!it.repeatable && PromisesNotRun(it.status)) {
    Break("REFUSED", fmt::format("request={} runs after its refusal", id), now);
  }
  const bool in_touch =
      view_.IsInTouch(it.gateway, it.sent) && view_.IsInTouch(it.gateway, now);
  if (!ServicesAllowed(it, in_touch).contains(service)) {
    Break(in_touch ? "CONFIG" : "ROUTE",
          fmt::format("request={} service={} gateway={}", id, service,
                      it.gateway),
          now);
  }
  const auto leaving = leaving_.find(server);
  if (in_touch && leaving != leaving_.end() &&
      it.sent > leaving->second + kDrain) {
    Break(
        "DRAIN",
        fmt::format("request={} server={} gateway={}", id, server, it.gateway),
        now);
  }
  const auto left_ms = core::FindHeader(http.headers, Names().remaining_ms);
  const auto left = it.sent + it.left - now;
  if (in_touch && (!left_ms || milliseconds(std::stoll(std::string(*left_ms))) >
                                   left + kExtraTime)) {
    Break("BUDGET", fmt::format("request={} got too much time", id), now);
  }
  const auto gone = left_.find(id);
  if (in_touch && gone != left_.end() && now > gone->second + kGoneTime &&
      ++runs_after_leaving_ == kMaxRunsAfterLeaving + 1) {
    Break("GONE", fmt::format("request={} after its caller left", id), now);
  }
}

void Ledger::NoteRefused(const core::HttpRequest& http,
                         const std::string& server, core::Duration pause,
                         core::Time now) {
  const auto found = attempts_.find(std::string(
      core::FindHeader(http.headers, Names().request_id).value_or("")));
  if (found == attempts_.end()) {
    return;
  }
  const Pair pair{found->second.gateway, server};
  CheckPause(pair, now);
  CheckLimit(pair, now);
  if (pause.count() == 0) {
    return;
  }
  Pause& it = pauses_[pair];
  if (now >= it.until) {
    it = {now + kPauseStart, now + pause};
  }
}

/// More than two requests between half a second after the answer that asks for
/// the pause and its end.
void Ledger::CheckPause(const Pair& pair, core::Time now) {
  const auto found = pauses_.find(pair);
  if (found == pauses_.end() || now <= found->second.from ||
      now >= found->second.until) {
    return;
  }
  Pause& it = found->second;
  const core::Duration since_answer = now - it.from + kPauseStart;
  if (view_.gateways[pair.first].IsCalm(now, since_answer) &&
      ++it.arrivals == kMaxArrivalsInPause + 1) {
    Break("BUDGET",
          fmt::format("gateway={} server={} wants a pause", pair.first,
                      pair.second),
          now);
  }
}

void Ledger::NoteLimit(const std::string& server, std::optional<double> rate,
                       core::Time now) {
  if (rate) {
    limits_[server].rates.emplace_back(now, *rate);
  } else {
    ForgetLimit(server);
  }
}

void Ledger::ForgetLimit(const std::string& server) {
  limits_.erase(server);
  std::erase_if(told_limits_,
                [&](const auto& it) { return it.first.second == server; });
}

/// More than one and a half times the highest limit of the last 4 s, and five
/// requests, from gateways in touch that had been told.
void Ledger::CheckLimit(const Pair& pair, core::Time now) {
  const auto found = limits_.find(pair.second);
  const auto told = told_limits_.find(pair);
  if (found == limits_.end() || told == told_limits_.end() ||
      now < told->second + kLimitTold) {
    return;
  }
  Limit& it = found->second;
  it.arrivals.emplace_back(now, pair.first);
  std::erase_if(it.arrivals, [&](const auto& arrival) {
    return arrival.first <= now - kLimitWindow;
  });
  double rate = it.rates.back().second;
  for (auto change = it.rates.rbegin() + 1;
       change != it.rates.rend() &&
       std::prev(change)->first > now - kLimitWindow;
       ++change) {
    rate = std::max(rate, change->second);
  }
  const auto got = std::count_if(
      it.arrivals.begin(), it.arrivals.end(), [&](const auto& arrival) {
        return view_.gateways[arrival.second].IsCalm(now, kLimitWindow);
      });
  if (*it.first_told + Calm::kCalmTime <= now &&
      static_cast<double>(got) >
          rate * kLimitTolerance *
                  std::chrono::duration<double>(kLimitWindow).count() +
              kLimitSlack) {
    Break("LIMIT",
          fmt::format("server={} got {} requests in 4 s, limit {}/s",
                      pair.second, got, rate),
          now);
  }
}

void Ledger::NoteEnd(const std::string& id,
                     const bambootack::net::HttpCallResult& result,
                     core::Time now) {
  Attempt& it = attempts_.at(id);
  it.ended = now;
  switch (result.end) {
    case bambootack::node::AttemptEnd::kAnswered:
      it.status = result.answer.status;
      if (core::FindHeader(result.answer.headers, Names().leaving)) {
        announced_.emplace(Pair{it.gateway, it.last_server}, now);
      }
      if (const auto limit = limits_.find(it.last_server);
          limit != limits_.end() &&
          core::FindHeader(result.answer.headers, Names().limit)) {
        told_limits_.emplace(Pair{it.gateway, it.last_server}, now);
        limit->second.first_told = limit->second.first_told.value_or(now);
      }
      CheckAnswer(id, it, result.answer, now);
      break;
    case bambootack::node::AttemptEnd::kLost:
    case bambootack::node::AttemptEnd::kInvalid:
      CheckLoss(id, it, now);
      break;
    case bambootack::node::AttemptEnd::kTimedOut:
      if (view_.IsInTouch(it.gateway, now) &&
          ++overdue_in_touch_ == kMaxOverdue + 1) {
        Break("CONFIG", fmt::format("request={} is not answered", id), now);
      }
      break;
    case bambootack::node::AttemptEnd::kNotConnected:
      break;
  }
}

void Ledger::NoteLeft(const std::string& id, core::Time now) {
  left_.emplace(id, now);
  attempts_.at(id).ended = now;
}

void Ledger::CheckAnswer(const std::string& id, const Attempt& attempt,
                         const core::HttpAnswer& answer, core::Time now) {
  const auto signature = core::FindHeader(answer.headers, Names().signature);
  if (answer.status >= 200 && answer.status < 300 &&
      (answer.body != BodyOf(id, attempt.http.target) ||
       signature != SignatureOf(id))) {
    Break("MIXED", fmt::format("request={} status={}", id, answer.status), now);
  }
  if (!attempt.repeatable && PromisesNotRun(answer.status) &&
      attempt.runs > 0) {
    Break("REFUSED",
          fmt::format("request={} status={} has run", id, answer.status), now);
  }
  const bool in_touch = view_.IsInTouch(attempt.gateway, attempt.sent) &&
                        view_.IsInTouch(attempt.gateway, now);
  if (answer.status == 404 && HadRouteAlways(attempt, in_touch)) {
    Break("DENIED", fmt::format("request={} gateway={}", id, attempt.gateway),
          now);
  }
}

/// A planned stop cuts no request, however late it was taken, and neither does
/// a machine in touch.
void Ledger::CheckLoss(const std::string& id, const Attempt& attempt,
                       core::Time now) {
  const bool calm = view_.gateways[attempt.gateway].IsCalm(now);
  if (!calm || attempt.runs == 0) {
    return;
  }
  const auto& stopping = view_.stopping[attempt.gateway];
  if (stopping) {
    Break("LOST",
          fmt::format("request={} gateway={} was cut by a planned stop", id,
                      attempt.gateway),
          now);
  } else if (++losses_in_touch_ == kMaxLosses + 1) {
    Break("LOST", fmt::format("request={} and others were cut", id), now);
  }
}

void Ledger::Break(const std::string& rule, const std::string& text,
                   core::Time now) {
  broken_.push_back(fmt::format(
      "{} at={} {}", rule, core::ToMilliseconds(now.time_since_epoch()), text));
}

void Ledger::CheckTotals(core::Time healed, core::Time until) {
  CheckRecovery(healed, until);
  CheckRepeats(until);
}

void Ledger::CheckRecovery(core::Time healed, core::Time until) {
  int sent = 0;
  int served = 0;
  for (const auto& [id, it] : attempts_) {
    const auto left = left_.find(id);
    const bool has_left = left != left_.end() && left->second <= until;
    if (it.sent >= healed + kRecovery && it.ended && *it.ended <= until &&
        !has_left) {
      ++sent;
      served += it.status >= 200 && it.status < 300 ? 1 : 0;
    }
  }
  if (served < kRecoveredShare * sent) {
    Break("RECOVER", fmt::format("{} of {} were served", served, sent), until);
  }
}

/// Repeats within any window, against the requests of that window, of the one
/// before it or of the one half a window before it.
void Ledger::CheckRepeats(core::Time until) {
  for (const auto& it : arrivals_) {
    const std::vector<Arrival>& arrivals = it.second;
    const auto worst = std::find_if(
        arrivals.begin(), arrivals.end(), [&](const Arrival& last) {
          const core::Time from = last.at - kRetryWindow;
          const core::Duration half = kRetryWindow / 2;
          const auto repeats = CountArrivals(arrivals, from, last.at, true);
          const auto firsts = std::max(
              {CountArrivals(arrivals, from, last.at, false),
               CountArrivals(arrivals, from - kRetryWindow, from, false),
               CountArrivals(arrivals, from - half, last.at - half, false)});
          return last.at <= until && last.repeat &&
                 repeats > kRepeatShare * firsts + kRepeatSlack;
        });
    if (worst != arrivals.end()) {
      Break("BUDGET", fmt::format("service={} repeats too often", it.first),
            until);
    }
  }
}

std::string Ledger::Summary() const {
  std::map<int, int> by_status;
  int runs = 0;
  for (const auto& [id, it] : attempts_) {
    ++by_status[it.status];
    runs += it.runs;
  }
  std::string text = fmt::format(
      "requests={} runs={} configs={} left={} lost_in_touch={}",
      attempts_.size(), runs, configs_.size(), left_.size(), losses_in_touch_);
  for (const auto& [status, count] : by_status) {
    text += fmt::format(" status_{}={}", status, count);
  }
  return text;
}

}  // namespace soak

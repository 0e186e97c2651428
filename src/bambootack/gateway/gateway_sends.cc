#include <fmt/format.h>

#include <algorithm>

#include "bambootack/gateway/gateway.h"

// Slots, sends and repeats of a gateway's requests.

namespace bambootack::gateway {
namespace {

/// Wait for a dispatcher's reply. A round trip takes 2 ms between failure
/// domains, and a VM with 0.15 of a core may need some milliseconds more.
constexpr core::Duration kSlotWait = std::chrono::milliseconds(25);

/// Sends of one request, with those that no server ran. On a path that loses
/// three packets in ten half of the connections fail, so that one request in a
/// thousand needs ten.
constexpr int kMaxAsks = 10;

/// A server that this VM cannot connect to is left out for this long.
constexpr core::Duration kUnreachableTime = std::chrono::milliseconds(1500);

/// A read is sent once more when its answer takes this many times as long as
/// usual, and at least `kLeastImpatience`.
constexpr int kImpatienceFactor = 3;
constexpr core::Duration kLeastImpatience = std::chrono::milliseconds(300);

/// Share of the target that a request may wait in a server's queue.
constexpr int kPatienceDivisor = 2;

/// Part of the share of repeated sends that is used; the rest covers sends that
/// are counted in another window than their request.
constexpr double kSharePart = 0.9;

/// Parts of the repeated sends that need no first ones. VMs that cannot hear
/// each other may choose different dispatchers: only the first two VMs in the
/// order of a service spend for others, and all the rest have parts that add
/// up, so that the sum over the fleet holds whoever hears whom.
constexpr double kFirstPart = 0.2;
constexpr double kSecondPart = 0.06;
constexpr double kAllOthersPart = 0.72;

/// Groups of servers that are asked for a slot before a request is refused.
constexpr std::uint32_t kMaxGroupsAsked = 3;

/// A request that leaves room for more urgent ones asks for a slot again after
/// this time, and is refused after this part of its target: a caller that is
/// told so early can act on it.
constexpr core::Duration kRoomWait = std::chrono::milliseconds(80);
constexpr int kRoomDivisor = 8;

/// Text whose hash chooses the dispatcher of a group.
std::string DispatchKey(std::string_view service, std::uint32_t group) {
  return fmt::format("{}/{}", service, group);
}

}  // namespace

SlotNeed Gateway::NeedOf(const Request& request, core::Time now) const {
  SlotNeed need;
  need.service = request.service;
  need.group = request.group;
  need.route = request.route->id;
  need.repeatable = request.route->repeatable &&
                    request.runs + 1 < request.route->max_attempts;
  need.priority = request.route->priority;
  need.yields = request.table->IsPatient(request.service, *request.route);
  need.waited = request.waits > 0;
  need.failure_domain = options_.failure_domain;
  const auto left =
      std::chrono::duration_cast<core::Duration>(request.deadline - now);
  need.patience = std::min(request.route->target, left) / kPatienceDivisor;
  need.left = left;
  need.excluded = request.failed;
  need.fingerprint = request.fingerprint;
  for (const auto& [server, until] : unreachable_until_) {
    if (now < until) {
      need.excluded.push_back(server);
    }
  }
  return need;
}

void Gateway::AskForSlot(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  ++request.asks;
  SlotNeed need = NeedOf(request, now);
  const core::VmId dispatcher =
      broker_.Choose(DispatchKey(need.service, need.group), now);
  if (dispatcher == options_.vm) {
    ChooseHere(handle, false, need, now);
    return;
  }
  request.asked = dispatcher;
  request.asked_at = now;
  request.asked_until = now + kSlotWait;
  SetDue(handle, request);
  actions_.emplace_back(TellPeer{dispatcher, SlotRequest{{handle, request.asks},
                                                         request.arrivals > 0,
                                                         std::move(need)}});
}

void Gateway::ChooseAlone(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  request.asked.reset();
  SlotNeed need = NeedOf(request, now);
  need.sees_fleet = false;
  ChooseHere(handle, true, need, now);
}

/// Chooses by the pool of this VM, as dispatcher or alone.
void Gateway::ChooseHere(core::Handle handle, bool alone, const SlotNeed& need,
                         core::Time now) {
  const Request& request = *requests_.Find(handle);
  if (!request.send && crash_watch_.IsHeld(need.fingerprint, now)) {
    Refuse(handle, core::ErrorKind::kRequestHeld, now);
    return;
  }
  UseSlot(handle, TakeSlot(options_.vm, alone, request.arrivals > 0, need, now),
          options_.vm, now);
}

dispatch::RetryBudget& Gateway::BudgetOf(bool alone, const SlotNeed& need) {
  const std::string key = DispatchKey(need.service, need.group);
  const std::size_t rank = broker_.RankOfSelf(key);
  const bool spends_for_others = !alone && rank <= 1;
  const auto [it, created] = spends_for_others
                                 ? fleet_budgets_.try_emplace(key)
                                 : alone_budgets_.try_emplace(need.service);
  if (created) {
    const double part =
        spends_for_others
            ? (rank == 0 ? kFirstPart : kSecondPart) /
                  static_cast<double>(pool_.Groups(need.service))
            : kAllOthersPart / static_cast<double>(broker_.Size());
    it->second.Configure(options_.repeat_share * kSharePart,
                         options_.repeat_burst * part);
  }
  return it->second;
}

/// Takes a slot for a send and counts it. A repeat needs a part of the budget,
/// of which a VM knows its own only when it knows the fleet.
std::optional<Slot> Gateway::TakeSlot(core::VmId holder, bool alone,
                                      bool repeat, const SlotNeed& need,
                                      core::Time now) {
  const bool settled = spread_.IsSettled();
  if (crash_watch_.IsHeld(need.fingerprint, now) || (repeat && !settled)) {
    return std::nullopt;
  }
  if (settled && !repeat && !need.waited) {
    BudgetOf(alone, need).RecordFirstAttempt();
  }
  std::optional<Slot> slot = pool_.Acquire(need, holder, now, random_);
  if (slot && repeat && !BudgetOf(alone, need).TrySpend()) {
    pool_.Release(slot->lease, SendEnd::kCancelled, std::nullopt, now);
    return std::nullopt;
  }
  return slot;
}

/// The dispatcher may not know yet that a server leaves, or not hear it.
bool Gateway::IsUsable(const Slot& slot) const {
  const auto it = registry_.Servers().find(slot.server);
  return it != registry_.Servers().end() && !it->second.record.draining;
}

/// Starts the send, or ends the request if there is no slot. A request whose
/// first send is still in flight waits for that one.
void Gateway::UseSlot(core::Handle handle, std::optional<Slot> slot,
                      core::VmId granter, core::Time now) {
  Request& request = *requests_.Find(handle);
  if (slot) {
    StartOn(handle, *std::move(slot), granter, now);
  } else if (request.send) {
    SetDue(handle, request);
  } else if (!TryNextGroup(handle, now) && !WaitForRoom(handle, now)) {
    Refuse(handle,
           request.runs > 0 ? request.last_error : core::ErrorKind::kOverloaded,
           now);
  }
}

/// Another group of the service may have room.
bool Gateway::TryNextGroup(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  const std::uint32_t groups = pool_.Groups(request.service);
  if (++request.groups_full >= std::min(groups, kMaxGroupsAsked)) {
    return false;
  }
  request.group = (request.group + 1) % groups;
  AskForSlot(handle, now);
  return true;
}

bool Gateway::WaitForRoom(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  const core::Time until =
      request.room_wanted_at + request.route->target / kRoomDivisor;
  if (now + kRoomWait > std::min(until, request.deadline) ||
      !request.table->IsPatient(request.service, *request.route)) {
    return false;
  }
  ++request.waits;
  request.groups_full = 0;
  Log(log::EventId::kRoomAwaited,
      fmt::format("request={} service={} waits={} sends={} ms={}", request.id,
                  request.service, request.waits, request.arrivals,
                  core::ToMilliseconds(now - request.arrived)));
  request.ask_again_at = now + kRoomWait;
  SetDue(handle, request);
  return true;
}

void Gateway::StartOn(core::Handle handle, Slot slot, core::VmId granter,
                      core::Time now) {
  Request& request = *requests_.Find(handle);
  if (request.send) {
    request.failed.push_back(request.send->slot.server);
    CancelSendOf(request, SendEnd::kTimedOut, now);
  }
  const auto left =
      std::chrono::duration_cast<core::Duration>(request.deadline - now);
  const std::uint64_t number = ++last_send_;
  Log(log::EventId::kRequestSent,
      fmt::format("request={} server={} address={} send={} granter={} "
                  "left_ms={}",
                  request.id, slot.server, slot.address, request.asks,
                  static_cast<std::uint32_t>(granter),
                  core::ToMilliseconds(left)));
  actions_.emplace_back(StartSend{
      number, slot.address,
      ToServerRequest(options_.dialect, request.http, slot.server, left),
      left});
  by_send_[number] = handle;
  request.send = Send{number, std::move(slot), granter, now};
  ++request.arrivals;
  ++request.runs;
  request.impatient_at = request.deadline;
  if (request.route->repeatable && request.runs < request.route->max_attempts) {
    const auto usual = pool_.UsualTime(request.route->id);
    const core::Duration wait =
        std::max(kLeastImpatience,
                 usual.value_or(request.route->target) * kImpatienceFactor);
    request.impatient_at = std::min(request.deadline, now + wait);
  }
  SetDue(handle, request);
}

void Gateway::Finish(std::uint64_t send, node::AttemptEnd end,
                     core::HttpAnswer answer, core::Time now) {
  const auto found = by_send_.find(send);
  if (found == by_send_.end()) {
    return;
  }
  const core::Handle handle = found->second;
  Request& request = *requests_.Find(handle);
  SendEnd result = SendEnd::kLost;
  std::optional<ServerLoad> load;
  switch (end) {
    case node::AttemptEnd::kAnswered:
      result = Classify(options_.dialect, request.id, answer);
      load = ReportedLoad(options_.dialect, answer.headers);
      break;
    case node::AttemptEnd::kNotConnected:
      result = SendEnd::kUnreachable;
      break;
    case node::AttemptEnd::kLost:
      result = SendEnd::kLost;
      break;
    case node::AttemptEnd::kTimedOut:
      result = SendEnd::kTimedOut;
      break;
    case node::AttemptEnd::kInvalid:
      result = SendEnd::kInvalid;
      break;
  }
  const Send done = *std::exchange(request.send, std::nullopt);
  by_send_.erase(found);
  GiveBack(done, result, load, now);
  if (done.granter != options_.vm) {
    pool_.Observe(done.slot.server, request.route->id, now - done.started,
                  result, now);
  }
  metrics_.CountSend(result);
  Log(log::EventId::kSendEnded,
      fmt::format("request={} server={} end={} status={} ms={}", request.id,
                  done.slot.server, kSendEndNames.Name(result), answer.status,
                  core::ToMilliseconds(now - request.arrived)));
  request.failed.push_back(done.slot.server);
  request.room_wanted_at = now;
  switch (result) {
    case SendEnd::kServed:
      request.send = done;
      Deliver(handle, std::move(answer), now);
      return;
    case SendEnd::kServerError:
      request.last_error = core::ErrorKind::kBackendLost;
      if (MaySendAgain(request, now)) {
        break;
      }
      if (PromisesNotRun(answer.status)) {
        Refuse(handle, core::ErrorKind::kBackendLost, now);
      } else {
        Deliver(handle, std::move(answer), now);
      }
      return;
    case SendEnd::kUnreachable:
      unreachable_until_[done.slot.server] = now + kUnreachableTime;
      --request.arrivals;
      --request.runs;
      break;
    case SendEnd::kNotRun:
    case SendEnd::kWrongServer:
      --request.runs;
      break;
    case SendEnd::kInvalid:
      request.last_error = core::ErrorKind::kBackendAnswerInvalid;
      break;
    case SendEnd::kTimedOut:
      request.last_error = core::ErrorKind::kBackendTimeout;
      break;
    case SendEnd::kLost:
    case SendEnd::kCancelled:
      request.last_error = core::ErrorKind::kBackendLost;
      break;
  }
  SendAgainOrFail(handle, now);
}

bool Gateway::MaySendAgain(const Request& request, core::Time now) const {
  const bool proven_unrun = request.runs == 0;
  const bool attempts_left =
      request.route->repeatable && request.runs < request.route->max_attempts;
  return (proven_unrun || attempts_left) &&
         request.asks < kMaxAsks + request.waits && now < request.deadline;
}

void Gateway::SendAgainOrFail(core::Handle handle, core::Time now) {
  Request& request = *requests_.Find(handle);
  if (request.asked) {
    SetDue(handle, request);  // The slot for the next send is on its way.
  } else if (MaySendAgain(request, now)) {
    AskForSlot(handle, now);
  } else {
    Refuse(handle,
           request.runs > 0 ? request.last_error : core::ErrorKind::kNoServer,
           now);
  }
}

/// The dispatchers of all groups of a service hold a request that crashes its
/// servers.
void Gateway::ReportCrashes(core::Time now) {
  for (const Crash& it : crash_watch_.TakeCrashes()) {
    Log(log::EventId::kServerCrashed,
        fmt::format("server={} service={} fingerprint={:016x} held={}",
                    it.server, it.service, it.fingerprint,
                    crash_watch_.IsHeld(it.fingerprint, now)));
    std::set<core::VmId> dispatchers;
    for (std::uint32_t i = 0; i < pool_.Groups(it.service); ++i) {
      dispatchers.insert(broker_.Choose(DispatchKey(it.service, i), now));
    }
    dispatchers.erase(options_.vm);
    for (const core::VmId vm : dispatchers) {
      actions_.emplace_back(
          TellPeer{vm, CrashNotice{it.fingerprint, it.server}});
    }
  }
}

void Gateway::CancelSendOf(Request& request, SendEnd end, core::Time now) {
  if (!request.send) {
    return;
  }
  const Send send = *std::exchange(request.send, std::nullopt);
  by_send_.erase(send.number);
  actions_.emplace_back(CancelSend{send.number});
  GiveBack(send, end, std::nullopt, now);
}

void Gateway::GiveBack(const Send& send, SendEnd end,
                       const std::optional<ServerLoad>& load, core::Time now) {
  GiveBack(send.granter, send.slot.lease, end, load, now);
}

void Gateway::GiveBack(core::VmId granter, std::uint64_t lease, SendEnd end,
                       const std::optional<ServerLoad>& load, core::Time now) {
  if (granter == options_.vm) {
    pool_.Release(lease, end, load, now);
  } else {
    actions_.emplace_back(TellPeer{granter, SlotRelease{lease, end, load}});
  }
}

}  // namespace bambootack::gateway

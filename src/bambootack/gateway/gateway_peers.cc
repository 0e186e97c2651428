#include <fmt/format.h>

#include "bambootack/gateway/gateway.h"

// Messages between gateways.

namespace bambootack::gateway {
namespace {

std::string_view ServerStateName(bool draining, bool removed) {
  if (removed) {
    return "gone";
  }
  return draining ? "draining" : "ready";
}

}  // namespace

void Gateway::OnMessage(core::VmId from, PeerMessage message, core::Time now) {
  std::visit([&](auto& it) { Handle(from, it, now); }, message);
  RecordFinishedAttempts(now);
  ReportHealthChanges();
}

void Gateway::Handle(core::VmId from, SlotRequest& message, core::Time now) {
  std::optional<Slot> slot;
  const bool knows_servers = pool_.HasServers(message.requirements.service);
  const bool quarantined =
      poison_detector_.IsQuarantined(message.requirements.fingerprint, now);
  for (const KnownLimit& it : message.limits) {
    const core::Time stated = now - it.age;
    RecordLimit(it.server, {it.rate}, stated, stated, from);
  }
  const std::string group =
      GroupName(message.requirements.service, message.requirements.group);
  if (message.lends_limits) {
    limit_borrower_.RecordLoan(group, from, now);
  }
  message.requirements.limit_share = LimitShareOf(group, now);
  if (knows_servers) {
    slot = AcquireSlot(from, false, message.retry, message.requirements, now);
  }
  const auto wait =
      slot ? std::nullopt : pool_.PromiseAdmission(message.requirements, now);
  actions_.emplace_back(
      SendToPeer{from, SlotReply{message.key, std::move(slot), knows_servers,
                                 quarantined, wait}});
}

void Gateway::Handle(core::VmId from, SlotReply& message, core::Time now) {
  peers_.MarkResponsive(from);
  Request* request = requests_.Find(message.key.request);
  const bool awaited = request != nullptr &&
                       request->awaited_dispatcher == from &&
                       request->slot_requests == message.key.number;
  if (awaited && !message.knows_servers) {
    peers_.MarkUnresponsive(from, now);
    ChooseLocally(message.key.request, now);
  } else if (awaited && message.slot && !IsUsable(*message.slot, now)) {
    ReleaseSlot(from, {message.slot->lease, AttemptOutcome::kUnused}, now);
    ChooseLocally(message.key.request, now);
  } else if (awaited && message.quarantined && !request->attempt) {
    Refuse(message.key.request, core::ErrorKind::kRequestHeld, now);
  } else if (awaited) {
    metrics_.ObserveSlotWait(now - request->slot_requested_at);
    request->awaited_dispatcher.reset();
    request->admission_wait = message.admission_wait;
    OnSlotDecision(message.key.request, std::move(message.slot), from, now);
  } else if (message.slot) {
    ReleaseSlot(from, {message.slot->lease, AttemptOutcome::kCancelled}, now);
  }
}

void Gateway::Handle(core::VmId from, SlotRelease& message, core::Time now) {
  if (const auto lease = pool_.FindLease(message.lease);
      lease && message.limit) {
    RecordLimit(lease->server, *message.limit, lease->start, now, from);
  }
  pool_.Release(message.lease, message.outcome, message.load, now);
}

void Gateway::Handle(core::VmId from, MemberNotice& message, core::Time now) {
  if (message.leaving) {
    peers_.MarkLeaving(from, now);
    return;
  }
  peers_.RecordStart(from);
  quota_owner_.RecordRestart(from);
  limit_borrower_.RecordRestart(from);
  if (peers_.Add({from, {}, message.address, message.failure_domain})) {
    actions_.emplace_back(SetMembers{peers_.ListPeers()});
  }
}

void Gateway::AddPeer(membership::Member member) {
  const core::VmId vm = member.vm;
  if (peers_.Add(std::move(member))) {
    actions_.emplace_back(SetMembers{peers_.ListPeers()});
    actions_.emplace_back(SendToPeer{
        vm,
        MemberNotice{options_.peer_address, options_.failure_domain, false}});
  }
}

void Gateway::BeginShutdown(const ShutdownSchedule& schedule) {
  shutdown_ = schedule;
  quota_owner_.Stop();
  for (const auto& [vm, member] : peers_.Peers()) {
    actions_.emplace_back(SendToPeer{
        vm,
        MemberNotice{options_.peer_address, options_.failure_domain, true}});
  }
}

void Gateway::Handle(core::VmId from, StateUpdate& message, core::Time now) {
  const std::vector<ServerChange> changes = sync_.Receive(from, message, now);
  if (message.config) {
    Configure(*std::move(message.config), now);
  }
  if (changes.empty()) {
    return;
  }
  for (const ServerChange& it : changes) {
    Log(log::EventId::kServerChanged,
        fmt::format("server={} state={} from={} position={} age_ms={}",
                    it.record.id,
                    ServerStateName(it.record.draining, it.removed),
                    static_cast<std::uint32_t>(from), message.position,
                    core::ToMilliseconds(message.age)));
  }
  ApplyRegistry(now);
}

void Gateway::Handle(core::VmId from, StateQuery& message, core::Time now) {
  sync_.Receive(from, message, now);
}

void Gateway::Handle(core::VmId from, customers::KeyStateQuery& message,
                     core::Time now) {
  if (const auto reply = keys_.Reply(message, routes_->Version(), now)) {
    actions_.emplace_back(SendToPeer{from, *reply});
  }
}

void Gateway::Handle(core::VmId from, customers::KeyStateReply& message,
                     core::Time now) {
  keys_.Receive(message, routes_->Version(), now, random_);
  sync_.RecordPeerVersion(from, message.config_version, now);
}

void Gateway::Handle(core::VmId /*from*/, CrashNotice& message,
                     core::Time now) {
  poison_detector_.RecordCrash(message.fingerprint, message.server,
                               message.started, now);
}

}  // namespace bambootack::gateway

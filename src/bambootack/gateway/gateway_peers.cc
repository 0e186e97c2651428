#include <fmt/format.h>

#include "bambootack/gateway/gateway.h"

// Messages between gateways.

namespace bambootack::gateway {
namespace {

std::string_view StateName(bool draining, bool gone) {
  if (gone) {
    return "gone";
  }
  return draining ? "draining" : "ready";
}

}  // namespace

void Gateway::OnMessage(core::VmId from, PeerMessage message, core::Time now) {
  std::visit([&](auto& it) { On(from, it, now); }, message);
  WatchCrashes(now);
  ReportTrust();
}

void Gateway::On(core::VmId from, SlotRequest& message, core::Time now) {
  std::optional<Slot> slot;
  const bool knows = pool_.HasServers(message.need.service);
  const bool held = crash_watch_.IsQuarantined(message.need.fingerprint, now);
  if (knows) {
    slot = TakeSlot(from, false, message.retry, message.need, now);
  }
  actions_.emplace_back(
      SendToPeer{from, SlotReply{message.key, std::move(slot), knows, held}});
}

void Gateway::On(core::VmId from, SlotReply& message, core::Time now) {
  broker_.MarkResponsive(from);
  Request* request = requests_.Find(message.key.request);
  const bool awaited = request != nullptr && request->asked == from &&
                       request->asks == message.key.attempt;
  if (awaited && !message.knows_servers) {
    broker_.MarkUnresponsive(from, now);
    ChooseAlone(message.key.request, now);
  } else if (awaited && message.slot && !IsUsable(*message.slot)) {
    GiveBack(from, message.slot->lease, AttemptOutcome::kCancelled,
             std::nullopt, now);
    ChooseAlone(message.key.request, now);
  } else if (awaited && message.quarantined && !request->send) {
    Refuse(message.key.request, core::ErrorKind::kRequestHeld, now);
  } else if (awaited) {
    metrics_.ObserveSlotWait(now - request->asked_at);
    request->asked.reset();
    UseSlot(message.key.request, std::move(message.slot), from, now);
  } else if (message.slot) {
    GiveBack(from, message.slot->lease, AttemptOutcome::kCancelled,
             std::nullopt, now);
  }
}

void Gateway::On(core::VmId /*from*/, SlotRelease& message, core::Time now) {
  pool_.Release(message.lease, message.outcome, message.load, now);
}

void Gateway::On(core::VmId from, MemberNotice& message, core::Time now) {
  if (message.leaving) {
    broker_.MarkLeaving(from, now);
    return;
  }
  broker_.RecordStart(from);
  if (broker_.Add({from, {}, message.address, message.failure_domain})) {
    actions_.emplace_back(SetMembers{broker_.ListPeers()});
  }
}

void Gateway::AddPeer(membership::Member member) {
  const core::VmId vm = member.vm;
  if (broker_.Add(std::move(member))) {
    actions_.emplace_back(SetMembers{broker_.ListPeers()});
    actions_.emplace_back(SendToPeer{
        vm,
        MemberNotice{options_.peer_address, options_.failure_domain, false}});
  }
}

void Gateway::BeginShutdown() {
  stopping_ = true;
  for (const auto& [vm, member] : broker_.Peers()) {
    actions_.emplace_back(SendToPeer{
        vm,
        MemberNotice{options_.peer_address, options_.failure_domain, true}});
  }
}

void Gateway::On(core::VmId from, StateUpdate& message, core::Time now) {
  const std::vector<ServerChange> changes = spread_.Receive(from, message, now);
  if (message.config) {
    Configure(*std::move(message.config), now);
  }
  if (changes.empty()) {
    return;
  }
  for (const ServerChange& it : changes) {
    Log(log::EventId::kServerChanged,
        fmt::format("server={} state={} from={} position={} age_ms={}",
                    it.record.id, StateName(it.record.draining, it.removed),
                    static_cast<std::uint32_t>(from), message.position,
                    core::ToMilliseconds(message.age)));
  }
  ApplyRegistry(now);
}

void Gateway::On(core::VmId from, StateQuery& message, core::Time now) {
  spread_.Receive(from, message, now);
}

void Gateway::On(core::VmId /*from*/, CrashNotice& message, core::Time now) {
  crash_watch_.RecordCrash(message.fingerprint, message.server, now);
}

}  // namespace bambootack::gateway

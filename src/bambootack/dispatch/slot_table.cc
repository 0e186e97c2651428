#include "bambootack/dispatch/slot_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bambootack::dispatch {
namespace {

/// How long a server is limited after it refused a request. A few service
/// times: by then the requests that filled the server have ended.
constexpr core::Duration kRefusalLimitTime = std::chrono::milliseconds(200);

/// Slots of the server that the current limits allow, in use or free.
int Capacity(const ServerSlots& it, core::Time now) noexcept {
  if (it.server.leaving || it.server.pin == config::Pin::kOut) {
    return 0;
  }
  int slots = std::min(it.server.slots, it.admission.max_busy);
  if (now < it.assumed_busy_until) {
    // At least one request is admitted: its answer carries a load report, and a
    // full server refuses it before it executes.
    slots = std::min(slots, std::max(1, it.server.slots - it.assumed_busy));
  }
  if (now < it.refusal_limit_until) {
    slots = std::min(slots, it.refusal_limit);
  }
  return std::max(0, slots);
}

/// Compares the fractions of slots in use, without division.
bool IsLessLoaded(const ServerSlots& a, const ServerSlots& b) noexcept {
  return (a.busy - a.admission.overdue) * b.server.slots <
         (b.busy - b.admission.overdue) * a.server.slots;
}

}  // namespace

void SlotTable::Configure(const std::vector<config::Server>& servers) {
  std::vector<ServerSlots> next;
  busy_ = 0;
  for (const config::Server& server : servers) {
    ServerSlots slots;
    if (const ServerSlots* old = Find(server.id)) {
      slots = *old;
    }
    slots.server = server;
    busy_ += slots.busy;
    next.push_back(std::move(slots));
  }
  servers_ = std::move(next);
}

ServerSlots* SlotTable::Find(std::string_view server_id) noexcept {
  const auto it = std::find_if(
      servers_.begin(), servers_.end(),
      [&](const ServerSlots& row) { return row.server.id == server_id; });
  return it == servers_.end() ? nullptr : &*it;
}

void SlotTable::SetAdmission(std::string_view server_id,
                             ServerAdmission admission) {
  if (ServerSlots* it = Find(server_id)) {
    it->admission = admission;
  }
}

void SlotTable::AssumeBusy(core::Time until) {
  for (ServerSlots& it : servers_) {
    it.assumed_busy = it.server.slots;
    it.assumed_busy_until = until;
  }
}

void SlotTable::RecordServerLoad(std::string_view server_id, double load) {
  ServerSlots* it = Find(server_id);
  if (it == nullptr || !(load >= 0.0 && load <= 1.0)) {
    return;
  }
  const auto in_use = static_cast<int>(std::lround(load * it->server.slots));
  it->assumed_busy = std::max(0, in_use - it->busy);
}

void SlotTable::RecordRefusal(std::string_view server_id, core::Time now) {
  if (ServerSlots* it = Find(server_id)) {
    it->refusal_limit = it->busy;
    it->refusal_limit_until = now + kRefusalLimitTime;
  }
}

ServerSlots* SlotTable::Acquire(bool repeatable, core::Time now) {
  if (busy_ >= max_busy_) {
    return nullptr;
  }
  available_.clear();
  for (ServerSlots& it : servers_) {
    if ((repeatable || !it.admission.repeatable_only) &&
        it.busy < Capacity(it, now)) {
      available_.push_back(&it);
    }
  }
  if (available_.empty()) {
    return nullptr;
  }
  ServerSlots* best = selection_ == ServerSelection::kLeastLoaded
                          ? LeastLoaded(available_)
                          : LessLoadedOfTwo(available_);
  ++best->busy;
  ++busy_;
  return best;
}

ServerSlots* SlotTable::LeastLoaded(
    const std::vector<ServerSlots*>& available) {
  // A rotating start index distributes requests over equally loaded servers.
  ++scan_start_;
  ServerSlots* best = available[scan_start_ % available.size()];
  for (std::size_t i = 1; i < available.size(); ++i) {
    ServerSlots* it = available[(scan_start_ + i) % available.size()];
    if (IsLessLoaded(*it, *best)) {
      best = it;
    }
  }
  return best;
}

ServerSlots* SlotTable::LessLoadedOfTwo(
    const std::vector<ServerSlots*>& available) {
  ServerSlots* a = available[random_.Below(available.size())];
  ServerSlots* b = available[random_.Below(available.size())];
  return IsLessLoaded(*b, *a) ? b : a;
}

void SlotTable::Release(std::string_view server_id) {
  ServerSlots* it = Find(server_id);
  if (it != nullptr && it->busy > 0) {
    --it->busy;
    --busy_;
  }
}

int SlotTable::Usable(core::Time now) const noexcept {
  int sum = 0;
  for (const ServerSlots& it : servers_) {
    sum += Capacity(it, now);
  }
  return std::min(sum, max_busy_);
}

int SlotTable::Free(core::Time now) const noexcept {
  int sum = 0;
  for (const ServerSlots& it : servers_) {
    sum += std::max(0, Capacity(it, now) - it.busy);
  }
  return std::max(0, std::min(sum, max_busy_ - busy_));
}

}  // namespace bambootack::dispatch

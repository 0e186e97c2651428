#include "bambootack/net/body_memory.h"

#include <algorithm>

namespace bambootack::net {
namespace {

/// First reservation of a body without a length. It doubles when it is used up.
constexpr std::size_t kFirstReservation = 16UL * 1024;

}  // namespace

core::ErrorKind BodyMemory::Reserve(Reading& reading, std::size_t bytes) {
  const auto decision = account_->Reserve(reading.id, bytes, now_());
  for (const BodyId id : decision.evicted) {
    ++evicted_;
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
      continue;
    }
    const auto evicted = readings_.extract(found->second);
    by_id_.erase(found);
    evicted.mapped().close();
  }
  if (!decision.admitted) {
    ++refused_;
    return core::ErrorKind::kOverloaded;
  }
  reading.reserved = bytes;
  return core::ErrorKind::kCount;
}

core::ErrorKind BodyMemory::Begin(const void* key, std::size_t bytes,
                                  std::function<void()> close) {
  Abandon(key);
  if (bytes > max_body_bytes_) {
    return core::ErrorKind::kBodyTooLarge;
  }
  const std::size_t first = bytes > 0 ? bytes : kFirstReservation;
  Reading& reading = readings_[key];
  reading.id = ++last_id_;
  reading.close = std::move(close);
  by_id_[reading.id] = key;
  const core::ErrorKind result = Reserve(reading, first);
  if (result != core::ErrorKind::kCount) {
    Abandon(key);
  }
  return result;
}

core::ErrorKind BodyMemory::Receive(const void* key, std::size_t total) {
  if (total > max_body_bytes_) {
    return core::ErrorKind::kBodyTooLarge;
  }
  const auto it = readings_.find(key);
  if (it == readings_.end()) {
    return core::ErrorKind::kOverloaded;  // Evicted; its connection closes.
  }
  if (total > it->second.reserved) {
    const core::ErrorKind result = Reserve(
        it->second,
        std::min(max_body_bytes_, std::max(total, 2 * it->second.reserved)));
    if (result != core::ErrorKind::kCount) {
      return result;
    }
  }
  account_->RecordReceived(it->second.id, total, now_());
  return core::ErrorKind::kCount;
}

std::size_t BodyMemory::ReservedBytes(const void* key) const {
  const auto it = readings_.find(key);
  return it == readings_.end() ? 0 : it->second.reserved;
}

BodyMemory::Reservation BodyMemory::Complete(const void* key) {
  const auto it = readings_.find(key);
  if (it == readings_.end()) {
    return nullptr;
  }
  const BodyId id = it->second.id;
  readings_.erase(it);
  by_id_.erase(id);
  account_->RecordComplete(id);
  // The pointer only has to differ from null; the deleter does the work.
  return {account_.get(), [account = account_, id](memory::BodyAccount*) {
            account->Release(id);
          }};
}

void BodyMemory::Abandon(const void* key) {
  const auto it = readings_.find(key);
  if (it == readings_.end()) {
    return;
  }
  account_->Release(it->second.id);
  by_id_.erase(it->second.id);
  readings_.erase(it);
}

}  // namespace bambootack::net

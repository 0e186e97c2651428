#include "bambootack/memory/body_account.h"

#include <algorithm>

namespace bambootack::memory {
namespace {

constexpr std::size_t kMegabyte = 1UL << 20;

/// Memory of code, state, connections, messages and answers. A VM in a fleet of
/// 300 with 600 servers used 40 MB without bodies.
constexpr std::size_t kOtherBytes = 40 * kMegabyte;

/// The least part of the memory that bodies may take on a very small VM.
constexpr std::size_t kMinPartDivisor = 4;

/// Bounds for a VM of unknown memory.
constexpr std::size_t kDefaultMemory = 512 * kMegabyte;

/// Bodies up to this size are small. Requests of ordinary callers have some
/// kilobytes.
constexpr std::size_t kSmallBody = 64UL * 1024;
constexpr std::size_t kSmallBytes = 8 * kMegabyte;

/// A body that has received fewer than `kMinProgress` bytes for this time may
/// lose its memory to another one. Clients that send within their deadline are
/// faster by far; a slow one loses its memory only if the VM is short of it.
constexpr core::Duration kStallTime = std::chrono::seconds(1);
constexpr std::size_t kMinProgress = 4096;

}  // namespace

BodyLimits MakeBodyLimits(std::size_t memory_bytes) noexcept {
  const std::size_t memory = memory_bytes > 0 ? memory_bytes : kDefaultMemory;
  const std::size_t least = memory / kMinPartDivisor;
  const std::size_t large =
      memory > kOtherBytes + least ? memory - kOtherBytes : least;
  return {large, std::min(kSmallBytes, least)};
}

std::size_t& BodyAccount::UsedBy(std::size_t bytes) noexcept {
  return bytes > kSmallBody ? large_used_ : small_used_;
}

std::size_t BodyAccount::LimitFor(std::size_t bytes) const noexcept {
  return bytes > kSmallBody ? limits_.large_bytes : limits_.small_bytes;
}

/// Evicts the incomplete body that has waited longest, if any has waited too
/// long.
bool BodyAccount::EvictOne(bool large, BodyId except, core::Time now,
                           std::vector<BodyId>& evicted) {
  auto oldest = bodies_.end();
  for (auto it = bodies_.begin(); it != bodies_.end(); ++it) {
    const bool eligible = it->first != except && !it->second.complete &&
                          (it->second.reserved > kSmallBody) == large &&
                          it->second.progress_at + kStallTime <= now;
    if (eligible && (oldest == bodies_.end() ||
                     it->second.progress_at < oldest->second.progress_at)) {
      oldest = it;
    }
  }
  if (oldest == bodies_.end()) {
    return false;
  }
  evicted.push_back(oldest->first);
  Release(oldest->first);
  return true;
}

BodyAccount::Decision BodyAccount::Reserve(BodyId body, std::size_t bytes,
                                           core::Time now) {
  Decision decision;
  const auto known = bodies_.find(body);
  const std::size_t held = known != bodies_.end() ? known->second.reserved : 0;
  if (bytes <= held) {
    decision.admitted = true;
    return decision;
  }
  const bool large = bytes > kSmallBody;
  const bool moves = large && held <= kSmallBody;  // To the other part.
  const std::size_t needed = moves ? bytes : bytes - held;
  const std::size_t limit = LimitFor(bytes);
  while (UsedBy(bytes) + needed > limit) {
    if (needed > limit || !EvictOne(large, body, now, decision.evicted)) {
      return decision;
    }
  }
  UsedBy(bytes) += needed;
  if (moves) {
    small_used_ -= held;
  }
  Body& state = bodies_[body];
  if (held == 0) {
    state.progress_at = now;
  }
  state.reserved = bytes;
  decision.admitted = true;
  return decision;
}

void BodyAccount::RecordReceived(BodyId body, std::size_t bytes,
                                 core::Time now) {
  const auto it = bodies_.find(body);
  if (it != bodies_.end() && bytes >= it->second.counted + kMinProgress) {
    it->second.counted = bytes;
    it->second.progress_at = now;
  }
}

void BodyAccount::RecordComplete(BodyId body) {
  if (const auto it = bodies_.find(body); it != bodies_.end()) {
    it->second.complete = true;
  }
}

void BodyAccount::Release(BodyId body) {
  const auto it = bodies_.find(body);
  if (it == bodies_.end()) {
    return;
  }
  UsedBy(it->second.reserved) -= it->second.reserved;
  bodies_.erase(it);
}

}  // namespace bambootack::memory

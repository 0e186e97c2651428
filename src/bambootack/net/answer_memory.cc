#include "bambootack/net/answer_memory.h"

namespace bambootack::net {
namespace {

/// Part of the memory that large answers leave to the others.
constexpr std::size_t kSmallAnswerDivisor = 4;

}  // namespace

bool AnswerMemory::Resize(Account& account, std::size_t bytes) {
  if (account.evicted_) {
    return false;
  }
  const std::size_t total = limits_.total_body_bytes;
  const bool large = bytes > kLargeBodyBytes;
  const std::size_t limit = large ? total - total / kSmallAnswerDivisor : total;
  while (bytes > account.bytes_ && used_ - account.bytes_ + bytes > limit) {
    if (large || !EvictLargerThan(bytes)) {
      return false;
    }
  }
  Set(account, bytes);
  return true;
}

/// Takes the memory of the largest answer, if it is larger than this.
bool AnswerMemory::EvictLargerThan(std::size_t bytes) {
  if (by_bytes_.empty() || by_bytes_.rbegin()->first <= bytes) {
    return false;
  }
  Account& largest = *by_bytes_.rbegin()->second;
  largest.evicted_ = true;
  Set(largest, 0);
  largest.on_evicted_();
  return true;
}

void AnswerMemory::Set(Account& account, std::size_t bytes) {
  by_bytes_.erase({account.bytes_, &account});
  used_ += bytes - account.bytes_;
  account.bytes_ = bytes;
  if (bytes > 0) {
    by_bytes_.emplace(bytes, &account);
  }
}

}  // namespace bambootack::net

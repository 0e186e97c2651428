#include "bambootack/health/request_quarantine.h"

#include <algorithm>
#include <chrono>

namespace bambootack::health {
namespace {

constexpr std::size_t kLossesToHold = 2;
/// A single loss is forgotten after this time.
constexpr core::Duration kSuspicionTime = std::chrono::minutes(2);
constexpr core::Duration kHoldTime = std::chrono::minutes(10);
// Each hop between VMs adds its delay to the time left. Without this bound two
// VMs could pass an expired fingerprint back and forth.
constexpr core::Duration kShortestMerge = std::chrono::seconds(5);
/// Fingerprints on record; a flood of resets records no more than this.
constexpr std::size_t kMaxRecords = 4096;

}  // namespace

void RequestQuarantine::RecordLoss(std::uint64_t fingerprint,
                                   std::string_view server_id, core::Time now) {
  Expire(now);
  if (!records_.contains(fingerprint) && records_.size() >= kMaxRecords) {
    return;
  }
  Record& record = records_[fingerprint];
  if (record.held) {
    return;
  }
  const bool counted = std::any_of(
      record.losses.begin(), record.losses.end(),
      [&](const Loss& it) { return it.server_id == server_id && !it.down; });
  if (!counted) {
    record.losses.push_back({std::string(server_id)});
  }
  record.held = record.losses.size() >= kLossesToHold;
  record.until = now + (record.held ? kHoldTime : kSuspicionTime);
}

void RequestQuarantine::RecordServerDown(std::string_view server_id) {
  for (auto& [fingerprint, record] : records_) {
    for (Loss& it : record.losses) {
      it.down = it.down || it.server_id == server_id;
    }
  }
}

void RequestQuarantine::RecordSuccess(std::uint64_t fingerprint) {
  const auto it = records_.find(fingerprint);
  if (it != records_.end() && !it->second.held) {
    records_.erase(it);
  }
}

const RequestQuarantine::Record* RequestQuarantine::Find(
    std::uint64_t fingerprint, core::Time now) const {
  const auto it = records_.find(fingerprint);
  const bool valid = it != records_.end() && it->second.until > now;
  return valid ? &it->second : nullptr;
}

bool RequestQuarantine::IsQuarantined(std::uint64_t fingerprint,
                                      core::Time now) const {
  const Record* record = Find(fingerprint, now);
  return record != nullptr && record->held;
}

bool RequestQuarantine::IsSuspected(std::uint64_t fingerprint,
                                    core::Time now) const {
  return Find(fingerprint, now) != nullptr;
}

std::vector<QuarantinedFingerprint> RequestQuarantine::Export(
    core::Time now) const {
  std::vector<QuarantinedFingerprint> held;
  for (const auto& [fingerprint, record] : records_) {
    if (record.held && record.until > now) {
      held.push_back({fingerprint, record.until - now});
    }
  }
  return held;
}

void RequestQuarantine::Merge(const std::vector<QuarantinedFingerprint>& held,
                              core::Time now) {
  Expire(now);
  for (const QuarantinedFingerprint& it : held) {
    const core::Duration left = std::min(it.remaining, kHoldTime);
    const bool known = records_.contains(it.fingerprint);
    if (left < kShortestMerge || (!known && records_.size() >= kMaxRecords)) {
      continue;
    }
    Record& record = records_[it.fingerprint];
    if (!record.held) {
      record.held = true;
      record.until = now + left;
    }
  }
}

void RequestQuarantine::Expire(core::Time now) {
  std::erase_if(records_,
                [&](const auto& it) { return it.second.until <= now; });
}

}  // namespace bambootack::health

#include "bambootack/health/request_quarantine.h"

#include <algorithm>
#include <chrono>

namespace bambootack::health {
namespace {

constexpr std::size_t kLossesToQuarantine = 2;
/// Time after which a single loss no longer counts.
constexpr core::Duration kSuspectedTime = std::chrono::minutes(2);
constexpr core::Duration kQuarantineTime = std::chrono::minutes(10);
// Remaining times below this are not merged. Each transfer between VMs adds its
// delay to the remaining time, so without this bound two VMs could renew an
// expired fingerprint for each other indefinitely.
constexpr core::Duration kMinMergedTime = std::chrono::seconds(5);
/// Bounds the memory used when many connections are reset.
constexpr std::size_t kMaxRecords = 4096;

}  // namespace

void RequestQuarantine::RecordLoss(std::uint64_t fingerprint,
                                   std::string_view server_id, core::Time now) {
  Expire(now);
  if (!records_.contains(fingerprint) && records_.size() >= kMaxRecords) {
    return;
  }
  Record& record = records_[fingerprint];
  if (record.quarantined) {
    return;
  }
  const bool counted = std::any_of(
      record.losses.begin(), record.losses.end(),
      [&](const Loss& it) { return it.server_id == server_id && !it.down; });
  if (!counted) {
    record.losses.push_back({std::string(server_id)});
  }
  record.quarantined = record.losses.size() >= kLossesToQuarantine;
  record.expires =
      now + (record.quarantined ? kQuarantineTime : kSuspectedTime);
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
  if (it != records_.end() && !it->second.quarantined) {
    records_.erase(it);
  }
}

const RequestQuarantine::Record* RequestQuarantine::Find(
    std::uint64_t fingerprint, core::Time now) const {
  const auto it = records_.find(fingerprint);
  const bool valid = it != records_.end() && it->second.expires > now;
  return valid ? &it->second : nullptr;
}

bool RequestQuarantine::IsQuarantined(std::uint64_t fingerprint,
                                      core::Time now) const {
  const Record* record = Find(fingerprint, now);
  return record != nullptr && record->quarantined;
}

bool RequestQuarantine::IsSuspected(std::uint64_t fingerprint,
                                    core::Time now) const {
  return Find(fingerprint, now) != nullptr;
}

std::vector<QuarantinedFingerprint> RequestQuarantine::Export(
    core::Time now) const {
  std::vector<QuarantinedFingerprint> quarantined;
  for (const auto& [fingerprint, record] : records_) {
    if (record.quarantined && record.expires > now) {
      quarantined.push_back({fingerprint, record.expires - now});
    }
  }
  return quarantined;
}

void RequestQuarantine::Merge(
    const std::vector<QuarantinedFingerprint>& quarantined, core::Time now) {
  Expire(now);
  for (const QuarantinedFingerprint& it : quarantined) {
    const core::Duration remaining = std::min(it.remaining, kQuarantineTime);
    const bool recorded = records_.contains(it.fingerprint);
    if (remaining < kMinMergedTime ||
        (!recorded && records_.size() >= kMaxRecords)) {
      continue;
    }
    Record& record = records_[it.fingerprint];
    if (!record.quarantined) {
      record.quarantined = true;
      record.expires = now + remaining;
    }
  }
}

void RequestQuarantine::Expire(core::Time now) {
  std::erase_if(records_,
                [&](const auto& it) { return it.second.expires <= now; });
}

}  // namespace bambootack::health

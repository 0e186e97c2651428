#include "bambootack/spread/log_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "bambootack/core/hash.h"

namespace bambootack::spread {
namespace {

constexpr char kChecksumMark = '.';

/// Reads in a row that must agree before the log counts as reset: a single
/// answer may come from an outdated copy of the log.
constexpr int kResetSuspicions = 2;

constexpr int kMaxDoublings = 4;

std::string Checksum(std::string_view body) {
  return fmt::format("{:016x}", core::HashBytes(body));
}

}  // namespace

std::string RecordId(std::string_view unique, std::string_view body) {
  return fmt::format("{}{}{}", unique, kChecksumMark, Checksum(body));
}

bool BodyMatches(const wire::TicketRecord& record) {
  const std::string_view id = record.id;
  const std::size_t at = id.rfind(kChecksumMark);
  return at == std::string_view::npos ||
         id.substr(at + 1) == Checksum(record.body);
}

std::optional<std::uint64_t> LogClient::NextRead(
    const config::Position& position, bool wanted, core::Time now) {
  if (reading_since_ && now - *reading_since_ >= kReadPatience) {
    reading_since_.reset();
    ++failures_;
    last_failure_ = now;
  }
  if (!wanted || reading_since_ || now < next_read_) {
    return std::nullopt;
  }
  reading_since_ = now;
  return position.offset == 0 ? 0 : position.offset - 1;
}

ReadOutcome LogClient::Compare(const LogBatch& batch,
                               const config::Position& position,
                               std::string_view last_id) const {
  if (position.offset > 0 && batch.next < position.offset) {
    return ReadOutcome::kReset;
  }
  for (const wire::TicketRecord& it : batch.records) {
    const bool last = it.offset + 1 == position.offset;
    if (last && !last_id.empty() && it.id != last_id) {
      return ReadOutcome::kReset;
    }
  }
  return batch.first > position.offset ? ReadOutcome::kGap
                                       : ReadOutcome::kUpToDate;
}

ReadResult LogClient::Receive(LogBatch batch, const config::Position& position,
                              std::string_view last_id, core::Time now,
                              core::Random& random) {
  reading_since_.reset();
  ReadResult result;
  if (batch.ok) {
    if (!batch.records.empty()) {
      batch.next = std::max(batch.next, batch.records.back().offset + 1);
    }
    result.outcome = Compare(batch, position, last_id);
  }
  if (result.outcome == ReadOutcome::kReset &&
      ++suspicions_ < kResetSuspicions) {
    result.outcome = ReadOutcome::kSuspect;
  } else if (result.outcome != ReadOutcome::kUnavailable) {
    suspicions_ = 0;
  }
  if (result.outcome == ReadOutcome::kUpToDate) {
    Collect(batch, position.offset, result);
  }
  Schedule(result.outcome, result.at_end, now, random);
  return result;
}

void LogClient::Collect(LogBatch& batch, std::uint64_t expected,
                        ReadResult& result) {
  bool truncated = false;
  for (wire::TicketRecord& it : batch.records) {
    if (it.offset < expected) {
      continue;  // Read before.
    }
    if (it.offset > expected) {
      truncated = true;
      break;
    }
    if (!BodyMatches(it) && truncated_reads_ < kMaxTruncatedReads) {
      truncated = true;
      ++truncated_reads_;
      break;
    }
    truncated_reads_ = 0;
    ++expected;
    result.records.push_back(std::move(it));
  }
  result.at_end = !truncated && expected >= batch.next;
  if (!result.records.empty()) {
    result.outcome = ReadOutcome::kRecords;
  } else if (!result.at_end) {
    result.outcome = ReadOutcome::kTruncated;
  }
}

void LogClient::Schedule(ReadOutcome outcome, bool at_end, core::Time now,
                         core::Random& random) {
  const bool failed = outcome == ReadOutcome::kUnavailable ||
                      outcome == ReadOutcome::kTruncated ||
                      outcome == ReadOutcome::kGap;
  failures_ = failed ? failures_ + 1 : 0;
  last_failure_ = failed ? now : last_failure_;
  if (outcome == ReadOutcome::kRecords && !at_end) {
    next_read_ = now;
    return;
  }
  const int doublings = std::min(failures_, kMaxDoublings);
  const core::Duration pause =
      std::min(kMaxBackOff, kReadInterval * (1 << doublings));
  // Jitter keeps the VMs from reading in step after an outage.
  const double jitter = failed ? 0.5 + random.Unit() : 1.0;
  next_read_ = now + std::chrono::duration_cast<core::Duration>(pause * jitter);
}

bool LogClient::Submit(std::string id, std::string body, core::Time now) {
  if (waiting_.size() >= kMaxWaitingAppends) {
    return false;
  }
  pending_[id] = now;
  waiting_.push_back({std::move(id), std::move(body)});
  return true;
}

std::vector<PendingAppend> LogClient::DueAppends(core::Time now) {
  const std::chrono::duration<double> passed = now - refilled_;
  tokens_ =
      std::min(kAppendBurst, tokens_ + passed.count() * kAppendsPerSecond);
  refilled_ = now;
  std::vector<PendingAppend> due;
  while (!waiting_.empty() && tokens_ >= 1.0) {
    tokens_ -= 1.0;
    due.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  return due;
}

void LogClient::Seen(const std::string& id) { pending_.erase(id); }

std::vector<std::string> LogClient::Expired(core::Time now) {
  std::vector<std::string> ids;
  for (const auto& row : pending_) {
    const std::string& id = row.first;
    const bool waits =
        std::any_of(waiting_.begin(), waiting_.end(),
                    [&](const PendingAppend& it) { return it.id == id; });
    if (!waits && now - row.second >= kResolvePatience) {
      ids.push_back(id);
    }
  }
  for (const std::string& id : ids) {
    pending_.erase(id);
  }
  return ids;
}

}  // namespace bambootack::spread

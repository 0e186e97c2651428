#ifndef TEST_BAMBOOTACK_IDEMPOTENCY_OWNER_SIMULATION_H_
#define TEST_BAMBOOTACK_IDEMPOTENCY_OWNER_SIMULATION_H_

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bambootack/core/hash.h"
#include "bambootack/core/random.h"
#include "bambootack/core/uuid.h"
#include "bambootack/idempotency/owner.h"
#include "bambootack/membership/view_log.h"

namespace bambootack::idempotency::test {

using membership::ViewChange;

inline constexpr std::uint32_t kVms = 4;

/// A small number of partitions keeps the run time of a case short.
inline constexpr std::uint32_t kPartitions = 64;

/// Wall-clock time at which the virtual time is zero.
inline constexpr core::WallTime kEpoch{
    std::chrono::milliseconds(1'800'000'000'000)};

/// A partition that each VM takes over from the one before when they join in
/// the order of their numbers.
inline core::PartitionId SuccessivelyOwnedPartition() {
  for (std::uint32_t p = 0;; ++p) {
    const auto id = static_cast<core::PartitionId>(p);
    bool ascending = true;
    for (std::uint32_t vm = 1; vm < kVms; ++vm) {
      ascending =
          ascending && membership::PartitionScore(id, core::VmId{vm}) <
                           membership::PartitionScore(id, core::VmId{vm + 1});
    }
    if (ascending) {
      return id;
    }
  }
}

/// A key of a partition, found by incrementing its last digits.
inline std::string KeyIn(core::PartitionId partition, core::WallTime created,
                         core::Random& random) {
  constexpr std::uint32_t kEightDigits = 0x10000000;
  std::string key = core::Uuid::Make(created, random).ToString();
  char* const end = key.data() + key.size();
  for (std::uint32_t i = kEightDigits; core::PartitionOf(key) != partition;
       ++i) {
    std::to_chars(end - 8, end, i, 16);
  }
  return key;
}

inline wire::Answer AnswerOf(core::Outcome outcome) {
  wire::Answer answer;
  answer.outcome = outcome;
  return answer;
}

/// One process of a VM.
struct Process {
  Process(core::VmId vm, core::Incarnation number)
      : incarnation(number), owner(vm) {}

  core::Incarnation incarnation;
  Owner owner;
  membership::ViewLog views;
  membership::PartitionTable table{kPartitions};
  std::size_t position = 0;
  std::set<std::string> pending;
};

/// Simulates up to four VMs that compete for one partition, with a view log and
/// messages in flight, in virtual time. It records which keys were executed and
/// the first violation of the at-most-once guarantee.
class OwnerSimulation {
 public:
  struct InFlightMessage {
    core::VmId from;
    core::VmId to;
    OwnerMessage message;
  };

  OwnerSimulation() { skew_ms_ = {0, -900, 900, -500, 700}; }

  [[nodiscard]] core::Time Now() const { return core::Time(elapsed_); }
  [[nodiscard]] core::WallTime Wall(std::uint32_t vm) const {
    return kEpoch + std::chrono::milliseconds(core::ToMilliseconds(elapsed_) +
                                              skew_ms_[vm]);
  }
  [[nodiscard]] Process* At(std::uint32_t vm) { return processes_[vm].get(); }
  [[nodiscard]] core::PartitionId Partition() const { return partition_; }
  [[nodiscard]] const std::string& Violation() const { return violation_; }
  [[nodiscard]] std::size_t ExecutedCount() const { return executed_.size(); }
  [[nodiscard]] std::vector<InFlightMessage>& InFlightMessages() {
    return in_flight_;
  }

  void Append(ViewChange change, std::uint32_t vm, std::uint32_t writer,
              core::Incarnation incarnation) {
    membership::ViewRecord record;
    record.number = core::ViewNumber{log_.size() + 1};
    record.change = change;
    record.member = {core::VmId{vm}, incarnation, "", ""};
    record.at = Wall(writer);
    log_.push_back(record);
  }

  /// Starts a process; an earlier one of the VM must have ended.
  void Start(std::uint32_t vm) {
    processes_[vm] = std::make_unique<Process>(
        core::VmId{vm}, core::Incarnation{++incarnations_[vm]});
    Append(ViewChange::kJoin, vm, vm, At(vm)->incarnation);
  }

  void Kill(std::uint32_t vm) { processes_[vm].reset(); }

  /// Records a VM without a process as gone.
  void RecordGone(std::uint32_t vm, std::uint32_t writer) {
    if (At(vm) == nullptr && incarnations_[vm] > 0) {
      Append(ViewChange::kGone, vm, writer,
             core::Incarnation{incarnations_[vm]});
    }
  }

  /// Ends a leaving process once it has handed over its partitions.
  void Leave(std::uint32_t vm) {
    Process* it = At(vm);
    if (it == nullptr) {
      return;
    }
    const auto& leaving = it->views.Current().leaving;
    const bool left = std::any_of(
        leaving.begin(), leaving.end(),
        [&](const auto& member) { return member.vm == core::VmId{vm}; });
    if (left && it->pending.empty() && it->owner.IsHandedOver(it->table)) {
      Append(ViewChange::kLeave, vm, vm, it->incarnation);
      Kill(vm);
    }
  }

  /// Reads up to `count` further records of the log.
  void Read(std::uint32_t vm, std::size_t count) {
    Process* it = At(vm);
    if (it == nullptr) {
      return;
    }
    bool changed = false;
    for (; count > 0 && it->position < log_.size(); --count) {
      const membership::ViewRecord& record = log_[it->position++];
      if (it->views.Apply(record)) {
        const auto list = it->table.Apply(record);
        changed = changed ||
                  std::find(list.begin(), list.end(), partition_) != list.end();
      }
    }
    const membership::Member* self = it->views.Find(core::VmId{vm});
    const bool member = self != nullptr && self->incarnation == it->incarnation;
    std::vector<core::PartitionId> list;
    if (changed) {
      list.push_back(partition_);
    }
    it->owner.ApplyView(it->table, list,
                        member ? it->incarnation : core::Incarnation{}, Now());
    CollectMessages(vm);
  }

  /// Handles a request for a key, received from any entry.
  BeginResult Request(std::uint32_t vm, const std::string& key) {
    Process* it = At(vm);
    if (it == nullptr) {
      return {Decision::kNotOwner, {}, nullptr};
    }
    const BeginResult begun = it->owner.Begin(key, 1, Wall(vm));
    if (begun.decision == Decision::kExecute) {
      Check(!executed_.contains(key), "a key was executed twice");
      Check(!not_executed_.contains(key), "a key was executed after not-run");
      executed_.insert(key);
      it->pending.insert(key);
    } else if (begun.decision == Decision::kAnswer) {
      const core::Outcome outcome = begun.answer->outcome;
      Check(outcome != core::Outcome::kDone || executed_.contains(key),
            "done without an execution");
      Check(outcome != core::Outcome::kNotRun || not_executed_.contains(key),
            "not-run without proof");
    }
    return begun;
  }

  /// Ends an operation; `kNotRun` means that it was proven not to have been
  /// executed.
  void FinishOperation(std::uint32_t vm, core::Outcome outcome) {
    Process* it = At(vm);
    if (it == nullptr || it->pending.empty()) {
      return;
    }
    const std::string key = *it->pending.begin();
    it->pending.erase(key);
    if (outcome == core::Outcome::kNotRun) {
      executed_.erase(key);
      not_executed_.insert(key);
      it->owner.RecordNotExecuted(key, AnswerOf(outcome), Now());
    } else {
      it->owner.Complete(key, AnswerOf(outcome), Now());
    }
    CollectMessages(vm);
  }

  void Deliver(std::size_t index, bool keep) {
    if (index >= in_flight_.size()) {
      return;
    }
    const InFlightMessage delivered = in_flight_[index];
    if (!keep) {
      DropMessage(index);
    }
    const auto vm = static_cast<std::uint32_t>(delivered.to);
    Process* it = At(vm);
    if (it == nullptr) {
      return;
    }
    if (const auto* acquire =
            std::get_if<wire::AcquireRequest>(&delivered.message.message)) {
      it->owner.OnMessage(delivered.from, *acquire, Now());
    } else if (const auto* reply = std::get_if<wire::AcquireReply>(
                   &delivered.message.message)) {
      it->owner.OnMessage(delivered.from, *reply, Now());
    } else {
      it->owner.OnMessage(std::get<wire::KeyUpdate>(delivered.message.message),
                          Now());
    }
    CollectMessages(vm);
  }

  void DropMessage(std::size_t index) {
    if (index < in_flight_.size()) {
      in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }

  /// Delivers the messages in flight from one VM to another.
  void DeliverBetween(std::uint32_t from, std::uint32_t to) {
    for (std::size_t i = 0; i < in_flight_.size();) {
      const bool match = in_flight_[i].from == core::VmId{from} &&
                         in_flight_[i].to == core::VmId{to};
      if (match) {
        Deliver(i, false);
      } else {
        ++i;
      }
    }
  }

  /// Delivers messages in order until none is left, at most 100.
  void DeliverAll() {
    for (int i = 0; i < 100 && !in_flight_.empty(); ++i) {
      Deliver(0, false);
    }
  }

  void Advance(core::Duration duration, int timer_calls) {
    elapsed_ += duration;
    for (std::uint32_t vm = 1; vm <= kVms; ++vm) {
      for (int i = 0; i < timer_calls && At(vm) != nullptr; ++i) {
        At(vm)->owner.OnTimer(Now());
      }
      CollectMessages(vm);
    }
  }

 private:
  void Check(bool holds, const char* violation) {
    if (!holds && violation_.empty()) {
      violation_ = violation;
    }
  }

  void CollectMessages(std::uint32_t vm) {
    if (At(vm) != nullptr) {
      for (OwnerMessage& it : At(vm)->owner.TakeMessages()) {
        in_flight_.push_back({core::VmId{vm}, it.to, std::move(it)});
      }
    }
  }

  core::PartitionId partition_ = SuccessivelyOwnedPartition();
  core::Duration elapsed_ = std::chrono::hours(1);
  std::array<std::int64_t, kVms + 1> skew_ms_{};
  std::array<std::unique_ptr<Process>, kVms + 1> processes_;
  std::array<std::uint64_t, kVms + 1> incarnations_{};
  std::vector<membership::ViewRecord> log_;
  std::vector<InFlightMessage> in_flight_;
  std::set<std::string> executed_;
  std::set<std::string> not_executed_;
  std::string violation_;
};

}  // namespace bambootack::idempotency::test

#endif  // TEST_BAMBOOTACK_IDEMPOTENCY_OWNER_SIMULATION_H_

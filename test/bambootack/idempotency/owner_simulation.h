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

/// Few partitions keep a case short.
inline constexpr std::uint32_t kPartitions = 64;

/// Start of the virtual calendar.
inline constexpr core::WallTime kEpoch{
    std::chrono::milliseconds(1'800'000'000'000)};

/// A partition that each VM takes over from the one before, if they join in
/// order of their numbers.
inline core::PartitionId ContestedPartition() {
  for (std::uint32_t p = 0;; ++p) {
    const auto id = static_cast<core::PartitionId>(p);
    bool rising = true;
    for (std::uint32_t vm = 1; vm < kVms; ++vm) {
      rising = rising && membership::PartitionScore(id, core::VmId{vm}) <
                             membership::PartitionScore(id, core::VmId{vm + 1});
    }
    if (rising) {
      return id;
    }
  }
}

/// A key of a partition, found by counting in its last digits.
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

/// Up to four VMs with a log and messages in flight, in virtual time, that
/// contest one partition. It keeps count of what was run and states the first
/// broken promise.
class World {
 public:
  struct Mail {
    core::VmId from;
    core::VmId to;
    OwnerMessage message;
  };

  World() { skew_ms_ = {0, -900, 900, -500, 700}; }

  [[nodiscard]] core::Time Now() const { return core::Time(elapsed_); }
  [[nodiscard]] core::WallTime Wall(std::uint32_t vm) const {
    return kEpoch + std::chrono::milliseconds(core::ToMilliseconds(elapsed_) +
                                              skew_ms_[vm]);
  }
  [[nodiscard]] Process* At(std::uint32_t vm) { return processes_[vm].get(); }
  [[nodiscard]] core::PartitionId Partition() const { return partition_; }
  [[nodiscard]] const std::string& Broken() const { return broken_; }
  [[nodiscard]] std::size_t Runs() const { return runs_.size(); }
  [[nodiscard]] std::vector<Mail>& Mails() { return mails_; }

  void Append(ViewChange change, std::uint32_t vm, std::uint32_t writer,
              core::Incarnation incarnation) {
    membership::ViewRecord record;
    record.number = core::ViewNumber{log_.size() + 1};
    record.change = change;
    record.member = {core::VmId{vm}, incarnation, "", ""};
    record.at = Wall(writer);
    log_.push_back(record);
  }

  /// Starts a process; an earlier one of the VM has ended before.
  void Start(std::uint32_t vm) {
    processes_[vm] = std::make_unique<Process>(
        core::VmId{vm}, core::Incarnation{++incarnations_[vm]});
    Append(ViewChange::kJoin, vm, vm, At(vm)->incarnation);
  }

  void Kill(std::uint32_t vm) { processes_[vm].reset(); }

  /// Records a dead VM as gone.
  void RecordGone(std::uint32_t vm, std::uint32_t writer) {
    if (At(vm) == nullptr && incarnations_[vm] > 0) {
      Append(ViewChange::kGone, vm, writer,
             core::Incarnation{incarnations_[vm]});
    }
  }

  /// Ends a process as planned once it has handed over.
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

  /// Reads records of the log.
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
    Collect(vm);
  }

  /// A request for a key arrives, by way of any entry.
  BeginResult Request(std::uint32_t vm, const std::string& key) {
    Process* it = At(vm);
    if (it == nullptr) {
      return {Decision::kNotOwner, {}, nullptr};
    }
    const BeginResult begun = it->owner.Begin(key, 1, Wall(vm));
    if (begun.decision == Decision::kExecute) {
      Check(!runs_.contains(key), "a key ran twice");
      Check(!not_run_.contains(key), "a key ran after not-run");
      runs_.insert(key);
      it->pending.insert(key);
    } else if (begun.decision == Decision::kAnswer) {
      const core::Outcome outcome = begun.answer->outcome;
      Check(outcome != core::Outcome::kDone || runs_.contains(key),
            "done without a run");
      Check(outcome != core::Outcome::kNotRun || not_run_.contains(key),
            "not-run without proof");
    }
    return begun;
  }

  /// An operation ends; `kNotRun` means that it was proven not to have run.
  void Finish(std::uint32_t vm, core::Outcome outcome) {
    Process* it = At(vm);
    if (it == nullptr || it->pending.empty()) {
      return;
    }
    const std::string key = *it->pending.begin();
    it->pending.erase(key);
    if (outcome == core::Outcome::kNotRun) {
      runs_.erase(key);
      not_run_.insert(key);
      it->owner.RecordNotExecuted(key, AnswerOf(outcome), Now());
    } else {
      it->owner.Complete(key, AnswerOf(outcome), Now());
    }
    Collect(vm);
  }

  void Deliver(std::size_t index, bool keep) {
    if (index >= mails_.size()) {
      return;
    }
    const Mail mail = mails_[index];
    if (!keep) {
      Lose(index);
    }
    const auto vm = static_cast<std::uint32_t>(mail.to);
    Process* it = At(vm);
    if (it == nullptr) {
      return;
    }
    if (const auto* acquire =
            std::get_if<wire::AcquireRequest>(&mail.message.message)) {
      it->owner.OnMessage(mail.from, *acquire, Now());
    } else if (const auto* reply =
                   std::get_if<wire::AcquireReply>(&mail.message.message)) {
      it->owner.OnMessage(mail.from, *reply, Now());
    } else {
      it->owner.OnMessage(std::get<wire::KeyUpdate>(mail.message.message),
                          Now());
    }
    Collect(vm);
  }

  void Lose(std::size_t index) {
    if (index < mails_.size()) {
      mails_.erase(mails_.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }

  /// Delivers the messages in flight from one VM to another.
  void DeliverBetween(std::uint32_t from, std::uint32_t to) {
    for (std::size_t i = 0; i < mails_.size();) {
      const bool match =
          mails_[i].from == core::VmId{from} && mails_[i].to == core::VmId{to};
      if (match) {
        Deliver(i, false);
      } else {
        ++i;
      }
    }
  }

  /// Delivers messages in order until none is left, with a bound.
  void DeliverAll() {
    for (int i = 0; i < 100 && !mails_.empty(); ++i) {
      Deliver(0, false);
    }
  }

  void Advance(core::Duration duration, int ticks) {
    elapsed_ += duration;
    for (std::uint32_t vm = 1; vm <= kVms; ++vm) {
      for (int i = 0; i < ticks && At(vm) != nullptr; ++i) {
        At(vm)->owner.OnTimer(Now());
      }
      Collect(vm);
    }
  }

 private:
  void Check(bool kept, const char* promise) {
    if (!kept && broken_.empty()) {
      broken_ = promise;
    }
  }

  void Collect(std::uint32_t vm) {
    if (At(vm) != nullptr) {
      for (OwnerMessage& it : At(vm)->owner.TakeMessages()) {
        mails_.push_back({core::VmId{vm}, it.to, std::move(it)});
      }
    }
  }

  core::PartitionId partition_ = ContestedPartition();
  core::Duration elapsed_ = std::chrono::hours(1);
  std::array<std::int64_t, kVms + 1> skew_ms_{};
  std::array<std::unique_ptr<Process>, kVms + 1> processes_;
  std::array<std::uint64_t, kVms + 1> incarnations_{};
  std::vector<membership::ViewRecord> log_;
  std::vector<Mail> mails_;
  std::set<std::string> runs_;
  std::set<std::string> not_run_;
  std::string broken_;
};

}  // namespace bambootack::idempotency::test

#endif  // TEST_BAMBOOTACK_IDEMPOTENCY_OWNER_SIMULATION_H_

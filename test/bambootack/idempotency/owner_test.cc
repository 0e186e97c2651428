#include "bambootack/idempotency/owner.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "bambootack/idempotency/owner_simulation.h"

namespace core = bambootack::core;
namespace idempotency = bambootack::idempotency;

using idempotency::test::OwnerSimulation;
using idempotency::test::ViewChange;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMaxKeys = 4;
constexpr std::size_t kSteps = 250;
constexpr int kTimerCallsForAllPartitions = 256;

enum class StepKind : std::uint8_t {
  kRequest,
  kFinish,
  kDeliver,
  kDuplicate,
  kDropMessage,
  kDeliverAll,
  kReadOne,
  kReadAll,
  kStart,
  kRestart,
  kKill,
  kRecordGone,
  kLeaving,
  kLeave,
  kWait,
  kWaitLong,
};

struct Step {
  StepKind kind;
  std::uint32_t vm;
  std::uint32_t pick;
};

std::ostream& operator<<(std::ostream& out, const Step& it) {
  return out << static_cast<int>(it.kind) << '/' << it.vm << '/' << it.pick;
}

/// Keys in use; new ones replace old ones. The timestamps of new keys are up to
/// 2 s before or after the current time.
class Keys {
 public:
  const std::string& Pick(std::uint32_t pick, OwnerSimulation& simulation) {
    if (keys_.size() < kMaxKeys || pick % 7 == 0) {
      const auto ahead = milliseconds(static_cast<int>(pick % 4000) - 2000);
      keys_.push_back(idempotency::test::KeyIn(
          simulation.Partition(), simulation.Wall(0) + ahead, random_));
    }
    const std::size_t recent = std::min(keys_.size(), kMaxKeys);
    return keys_[keys_.size() - 1 - pick % recent];
  }

 private:
  core::Random random_{1};
  std::vector<std::string> keys_;
};

void ApplyMembershipStep(OwnerSimulation& simulation, const Step& step) {
  const std::uint32_t other = 1 + step.pick % idempotency::test::kVms;
  const bool alive = simulation.At(step.vm) != nullptr;
  switch (step.kind) {
    case StepKind::kStart:
    case StepKind::kRestart:
      if (!alive || step.kind == StepKind::kRestart) {
        simulation.Kill(step.vm);
        simulation.Start(step.vm);
      }
      break;
    case StepKind::kKill:
      simulation.Kill(step.vm);
      break;
    case StepKind::kRecordGone:
      simulation.RecordGone(step.vm, other);
      break;
    case StepKind::kLeaving:
      if (alive) {
        simulation.Append(ViewChange::kLeaving, step.vm, step.vm,
                          simulation.At(step.vm)->incarnation);
      }
      break;
    default:
      simulation.Leave(step.vm);
  }
}

void ApplyMessageOrReadStep(OwnerSimulation& simulation, const Step& step) {
  const std::size_t index =
      step.pick %
      std::max<std::size_t>(simulation.InFlightMessages().size(), 1);
  switch (step.kind) {
    case StepKind::kDeliver:
    case StepKind::kDuplicate:
      simulation.Deliver(index, step.kind == StepKind::kDuplicate);
      break;
    case StepKind::kDropMessage:
      simulation.DropMessage(index);
      break;
    case StepKind::kDeliverAll:
      simulation.DeliverAll();
      break;
    case StepKind::kReadOne:
      simulation.Read(step.vm, 1);
      break;
    default:
      simulation.Read(step.vm, 100);
  }
}

void ApplyStep(OwnerSimulation& simulation, Keys& keys, const Step& step) {
  constexpr std::array kOutcomes{core::Outcome::kDone, core::Outcome::kNotRun,
                                 core::Outcome::kUnknown};
  if (step.kind == StepKind::kRequest) {
    std::ignore = simulation.Request(step.vm, keys.Pick(step.pick, simulation));
  } else if (step.kind == StepKind::kFinish) {
    simulation.FinishOperation(step.vm,
                               kOutcomes[step.pick % kOutcomes.size()]);
  } else if (step.kind == StepKind::kWait) {
    simulation.Advance(milliseconds(step.pick % 3000), 1);
  } else if (step.kind == StepKind::kWaitLong) {
    simulation.Advance(minutes(28) + seconds(step.pick % 360),
                       kTimerCallsForAllPartitions);
  } else if (step.kind <= StepKind::kReadAll) {
    ApplyMessageOrReadStep(simulation, step);
  } else {
    ApplyMembershipStep(simulation, step);
  }
}

/// Starts two members that have read the log; the second one owns the
/// partition.
void StartTwoMembers(OwnerSimulation& simulation) {
  for (const std::uint32_t vm : {1U, 2U}) {
    simulation.Start(vm);
  }
  for (const std::uint32_t vm : {1U, 2U}) {
    simulation.Read(vm, 2);
  }
  simulation.DeliverAll();
}

rc::Gen<Step> AnyStep() {
  using enum StepKind;
  return rc::gen::construct<Step>(
      rc::gen::weightedElement<StepKind>({{40, kRequest},
                                          {10, kFinish},
                                          {25, kDeliver},
                                          {5, kDuplicate},
                                          {3, kDropMessage},
                                          {10, kDeliverAll},
                                          {20, kReadOne},
                                          {8, kReadAll},
                                          {8, kStart},
                                          {2, kRestart},
                                          {2, kKill},
                                          {3, kRecordGone},
                                          {3, kLeaving},
                                          {3, kLeave},
                                          {4, kWait},
                                          {2, kWaitLong}}),
      rc::gen::inRange<std::uint32_t>(1, idempotency::test::kVms + 1),
      rc::gen::inRange<std::uint32_t>(0, 10'000));
}

/// Timestamps of the keys in scripts, relative to the start, by VM 0's clock.
/// The clocks of VMs 1 to 4 differ from it by -0.9, 0.9, -0.5 and 0.7 s.
core::Duration CreatedAfter(char key) {
  switch (key) {
    case 'b':
      return milliseconds(6000);
    case 'c':
      return milliseconds(2800);
    case 'd':
      return seconds(10);
    default:
      return milliseconds(-1000);
  }
}

/// Runs scripts of blank-separated commands; digits are VMs, lower-case letters
/// at the end are keys:
/// S3 start, k3 kill, g31 VM 1 records 3 as gone, l3 leaving, L3 leave, r3 read
/// the log, m31 deliver from 3 to 1, X drop all messages, q3a request key a,
/// f3 and n3 its operation is done or not-run, w500 wait 500 ms, b3 report
/// whether VM 3 knows that its view is behind.
class Script {
 public:
  Script() {
    StartTwoMembers(simulation_);
    start_ = simulation_.Wall(0);
  }

  /// Returns the decisions, outcomes and reports of a script.
  std::string Run(const std::string& commands) {
    std::istringstream in(commands);
    for (std::string it; in >> it;) {
      RunCommand(it);
    }
    return report_;
  }

  [[nodiscard]] const std::string& Violation() const {
    return simulation_.Violation();
  }

 private:
  void RunCommand(const std::string& it) {
    const std::uint32_t vm = it.size() > 1 ? it[1] - '0' : 0;
    const std::uint32_t other = it.size() > 2 ? it[2] - '0' : 0;
    switch (it[0]) {
      case 'S':
        return simulation_.Start(vm);
      case 'k':
        return simulation_.Kill(vm);
      case 'g':
        return simulation_.RecordGone(vm, other);
      case 'l':
        return simulation_.Append(ViewChange::kLeaving, vm, vm,
                                  simulation_.At(vm)->incarnation);
      case 'L':
        return simulation_.Leave(vm);
      case 'r':
        return simulation_.Read(vm, 100);
      case 'm':
        return simulation_.DeliverBetween(vm, other);
      case 'X':
        return simulation_.InFlightMessages().clear();
      case 'f':
        return simulation_.FinishOperation(vm, core::Outcome::kDone);
      case 'n':
        return simulation_.FinishOperation(vm, core::Outcome::kNotRun);
      case 'w':
        return simulation_.Advance(milliseconds(std::stoi(it.substr(1))),
                                   kTimerCallsForAllPartitions);
      case 'b':
        return Report(simulation_.At(vm)->owner.AwaitedView() ==
                              core::ViewNumber{}
                          ? "current"
                          : "behind");
      default:
        Report(Text(simulation_.Request(vm, Key(it[2]))));
    }
  }

  static std::string Text(const idempotency::BeginResult& begun) {
    if (begun.reason) {
      return std::string(core::AnswerOf(*begun.reason).name);
    }
    return std::string(begun.answer != nullptr
                           ? core::kOutcomeNames.Name(begun.answer->outcome)
                           : idempotency::kDecisionNames.Name(begun.decision));
  }

  void Report(std::string_view text) {
    report_ += report_.empty() ? "" : " ";
    report_ += text;
  }

  const std::string& Key(char name) {
    std::string& key = keys_[name];
    if (key.empty()) {
      const core::WallTime created =
          start_ + std::chrono::duration_cast<milliseconds>(CreatedAfter(name));
      key = idempotency::test::KeyIn(simulation_.Partition(), created, random_);
    }
    return key;
  }

  OwnerSimulation simulation_;
  core::WallTime start_;
  core::Random random_{2};
  std::map<char, std::string> keys_;
  std::string report_;
};

struct Case {
  std::string failure;  ///< What the case guards against.
  std::string script;
  std::string expected;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(owner)

// VM 2 owns the partition at the start; VMs 3 and 4 take it over when they
// join.
BOOST_AUTO_TEST_CASE(faults_of_ownership) {
  const std::vector<Case> cases{
      {"an owner that has not read the next view executes a released key",
       "S3 r3 m31 m13 m32 m23 q3a q2a", "run moving"},
      {"only the last owner is asked to release, while the one before still "
       "executes",
       "S3 r3 X S4 r4 m41 m14 m43 m34 q4a q2a m42 m24 q4a",
       "moving run unknown"},
      {"a reply to an earlier process of the VM counts as a release",
       "S4 r4 m42 k4 g41 r2 w6000 q2b S4 r4 m24 q4b m42 m24 q4b",
       "run moving unknown"},
      {"a key ahead of the clocks is executed again after its owner was "
       "removed",
       "q2c k2 g21 r1 w2000 q1c", "run record-lost"},
      {"a key far ahead of the clocks is admitted", "q2d k2 g21 r1 w12000 q1d",
       "key-in-future run"},
      {"a record expires while its key is still young enough to be executed",
       "q2c f2 w1800500 q2c w5000 q2c", "run done key-expired"},
      {"a key that the removed owner may have executed is executed, a later "
       "one is not",
       "k2 g21 r1 q1a w7000 q1b", "record-lost run"},
      {"a graceful shutdown loses records or makes keys unknown",
       "q2a f2 l2 r1 r2 m12 m21 L2 r1 q1a w2000 q1c", "run done run"},
      {"a process leaves before its partitions were acquired",
       "l2 r2 L2 r1 q1a", "moving"},
      {"a late outcome does not reach the new owner",
       "q2a S3 r3 m31 m13 m32 m23 q3a f2 m23 q3a", "run unknown done"},
      {"a late outcome does not reach the owner after the next",
       "q2a S3 r3 m31 m13 m32 m23 S4 r4 m41 m14 m42 m24 m43 m34 q4a f2 m24 q4a",
       "run unknown done"},
      {"not-run is not final after a change of the owner",
       "q2a n2 S3 r3 m31 m13 m32 m23 q3a", "run not-run"},
      {"a requester whose view is behind is not told so",
       "S3 r3 S4 r4 m42 m32 b3 m23 b3", "current behind"},
      {"a restarted process executes keys whose records it has lost",
       "q2a f2 k2 S2 r2 m21 m12 q2a", "run record-lost"},
      {"a restarted process owns by its earlier join", "k2 S2 q2a",
       "not-owner"},
  };
  for (const Case& it : cases) {
    BOOST_TEST_CONTEXT(it.failure) {
      Script script;
      BOOST_TEST(script.Run(it.script) == it.expected);
      BOOST_TEST(script.Violation() == "");
    }
  }
}

// Guards against a key that is executed twice, or executed after its caller was
// told not-run, under any order of messages, pauses, lost and duplicated
// messages, restarts and differing views.
RC_BOOST_PROP(each_key_runs_at_most_once, ()) {
  const auto steps = *rc::gen::container<std::vector<Step>>(kSteps, AnyStep());
  OwnerSimulation simulation;
  Keys keys;
  StartTwoMembers(simulation);
  for (const Step& it : steps) {
    ApplyStep(simulation, keys, it);
    if (!simulation.Violation().empty()) {
      RC_FAIL(simulation.Violation());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

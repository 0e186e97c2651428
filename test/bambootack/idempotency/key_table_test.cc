#include "bambootack/idempotency/key_table.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "bambootack/core/hash.h"
#include "bambootack/idempotency/owner_simulation.h"

namespace core = bambootack::core;
namespace idempotency = bambootack::idempotency;
namespace wire = bambootack::wire;

using core::Outcome;
using idempotency::test::AnswerOf;

namespace {

constexpr core::Time kNow{std::chrono::hours(1)};

wire::Answer WithBody(std::size_t bytes) {
  wire::Answer answer = AnswerOf(Outcome::kDone);
  answer.http = {200, {}, std::string(bytes, 'x')};
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(key_table)

// Guards against a late or duplicated message that changes a known outcome.
BOOST_AUTO_TEST_CASE(known_outcomes_are_final) {
  struct Case {
    Outcome first;
    Outcome second;
    Outcome kept;
  };
  const std::vector<Case> cases{
      {Outcome::kUnknown, Outcome::kDone, Outcome::kDone},
      {Outcome::kUnknown, Outcome::kNotRun, Outcome::kNotRun},
      {Outcome::kDone, Outcome::kUnknown, Outcome::kDone},
      {Outcome::kNotRun, Outcome::kUnknown, Outcome::kNotRun},
      {Outcome::kNotRun, Outcome::kDone, Outcome::kNotRun},
      {Outcome::kDone, Outcome::kNotRun, Outcome::kDone},
  };
  for (const Case& it : cases) {
    idempotency::KeyTable recorded;
    recorded.Add("k", 1);
    recorded.RecordOutcome("k", AnswerOf(it.first), kNow);
    recorded.RecordOutcome("k", AnswerOf(it.second), kNow);
    BOOST_TEST((recorded.Find("k")->answer.outcome == it.kept));
    idempotency::KeyTable imported;
    imported.Import({"k", 1, AnswerOf(it.first), core::Duration{1}}, kNow);
    imported.Import({"k", 1, AnswerOf(it.second), core::Duration{1}}, kNow);
    BOOST_TEST((imported.Find("k")->answer.outcome == it.kept));
  }
}

// Guards against unbounded memory, and against a limit that drops an outcome or
// a record of another owner.
BOOST_AUTO_TEST_CASE(limits_bound_memory_but_keep_outcomes) {
  idempotency::KeyTable table({.max_records = 2,
                               .max_records_per_partition = 1,
                               .max_answer_bytes = 100});
  const core::PartitionId first = core::PartitionOf("a");
  table.Add("a", 1);
  BOOST_TEST(!table.HasCapacity(first));
  BOOST_REQUIRE((core::PartitionOf("b") != first));
  BOOST_TEST(table.HasCapacity(core::PartitionOf("b")));
  table.Add("b", 1);
  BOOST_TEST(!table.HasCapacity(core::PartitionOf("c")));
  BOOST_TEST(table.Import({"c", 1, WithBody(10), core::Duration{1}}, kNow));
  table.RecordOutcome("a", WithBody(80), kNow);
  table.RecordOutcome("b", WithBody(80), kNow);
  BOOST_TEST(table.AnswerBytes() <= 100U);
  const wire::Answer& dropped = table.Find("b")->answer;
  BOOST_TEST((dropped.outcome == Outcome::kDone));
  BOOST_TEST(dropped.http.status == 200);
  BOOST_TEST(
      core::FindHeader(dropped.http.headers, "Bambootack-Body").value() ==
      "not-kept");
}

// Guards against records that never expire or that are erased while pending.
BOOST_AUTO_TEST_CASE(only_final_records_expire) {
  idempotency::KeyTable table;
  table.Add("pending", 1);
  table.Add("final", 1);
  table.RecordOutcome("final", WithBody(10), kNow);
  const auto sweep = [&](core::Time now) {
    for (int i = 0; i < 256; ++i) {
      table.EraseExpired(now);
    }
  };
  sweep(kNow + idempotency::kRecordLifetime - core::Duration(1));
  BOOST_TEST(table.size() == 2U);
  sweep(kNow + idempotency::kRecordLifetime);
  BOOST_TEST(table.size() == 1U);
  BOOST_TEST(table.Find("pending") != nullptr);
  BOOST_TEST(table.AnswerBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

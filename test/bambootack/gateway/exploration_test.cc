#include "bambootack/gateway/exploration.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bambootack/gateway/server_pool.h"

namespace core = bambootack::core;
namespace gateway = bambootack::gateway;
using gateway::AttemptOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kServers = 28;
constexpr core::Duration kWork = milliseconds(340);
constexpr core::Duration kTimeToReset = milliseconds(5);
constexpr core::Duration kGap = milliseconds(18);

/// A group of servers with 4 slots each in virtual time, as one dispatcher sees
/// it.
class Replay {
 public:
  /// Whether a server resets an attempt that starts at a time.
  using IsLost = bool (*)(int server, core::Time time, core::Random& random);

  explicit Replay(IsLost is_lost) : is_lost_(is_lost) {
    for (int i = 0; i < kServers; ++i) {
      AddServer(i);
    }
  }

  void AddServer(int number) {
    gateway::ServerRecord record;
    record.id = Name(number);
    record.service = "desk";
    record.address = "10.0.0." + std::to_string(number + 1) + ":80";
    record.failure_domain = "west";
    record.slots = 4;
    registry_.Apply(record, static_cast<std::uint64_t>(number), now_);
    pool_.Update(registry_, now_);
  }

  /// @param repeatable_share Every n-th request is repeatable; 0 for none.
  void Run(core::Duration time, int repeatable_share = 0) {
    for (const core::Time end = now_ + time; now_ < end; now_ += kGap) {
      Finish();
      ++requests_;
      gateway::SlotRequirements requirements;
      requirements.service = "desk";
      requirements.route = "book";
      requirements.failure_domain = "west";
      requirements.max_queue_wait = milliseconds(1000);
      requirements.time_left = seconds(12);
      requirements.repeatable =
          repeatable_share > 0 && requests_ % repeatable_share == 0;
      const auto slot =
          pool_.Acquire(requirements, core::VmId{1}, now_, random_);
      if (!slot) {
        continue;
      }
      const int server = std::stoi(slot->server.substr(1));
      used_[server].push_back(now_);
      const bool lost = is_lost_(server, now_, random_);
      attempts_.emplace(now_ + (lost ? kTimeToReset : kWork),
                        Attempt{slot->lease, lost, requirements.repeatable});
    }
  }

  int Lost() const { return lost_; }
  int Requests() const { return requests_; }

  /// Servers that received a request in a span.
  std::size_t UsedBetween(core::Time begin, core::Time end) const {
    std::size_t count = 0;
    for (const auto& [server, times] : used_) {
      for (const core::Time it : times) {
        if (it >= begin && it < end) {
          ++count;
          break;
        }
      }
    }
    return count;
  }
  bool IsUsed(int server) const { return used_.contains(server); }
  core::Time Now() const { return now_; }

 private:
  struct Attempt {
    std::uint64_t lease = 0;
    bool lost = false;
    bool repeatable = false;
  };

  static std::string Name(int number) { return "s" + std::to_string(number); }

  void Finish() {
    while (!attempts_.empty() && attempts_.begin()->first <= now_) {
      const Attempt it = attempts_.begin()->second;
      pool_.Release(
          it.lease,
          it.lost ? AttemptOutcome::kServerError : AttemptOutcome::kServed,
          std::nullopt, attempts_.begin()->first);
      lost_ += it.lost && !it.repeatable ? 1 : 0;
      attempts_.erase(attempts_.begin());
    }
  }

  IsLost is_lost_;
  core::Time now_{core::Duration(1'000'000)};
  core::Random random_{7};
  gateway::ServerRegistry registry_;
  gateway::ServerPool pool_;
  std::multimap<core::Time, Attempt> attempts_;
  std::map<int, std::vector<core::Time>> used_;
  int requests_ = 0;
  int lost_ = 0;
};

bool IsNeverLost(int /*server*/, core::Time /*time*/,
                 core::Random& /*random*/) {
  return false;
}

/// Requests are lost whatever server they go to.
bool IsOneInEight(int /*server*/, core::Time /*time*/, core::Random& random) {
  return random.Unit() < 0.12;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(exploration)

// Guards against bookings that are spent to find out which servers fail: each
// of the servers got one in every 1.6 s, and 30% of them were in a bad spell.
BOOST_AUTO_TEST_CASE(few_servers_carry_bookings_while_few_are_lost) {
  Replay replay(&IsNeverLost);
  replay.Run(seconds(4));
  std::size_t used = 0;
  for (int i = 0; i < 10; ++i) {
    const core::Time begin = replay.Now();
    replay.Run(seconds(2));
    used += replay.UsedBetween(begin, replay.Now());
  }
  BOOST_TEST(used <= 10 * kServers * 3 / 4);
}

// Guards against a change where repeatable requests explore.
BOOST_AUTO_TEST_CASE(repeatable_requests_explore) {
  Replay replay(&IsNeverLost);
  replay.Run(seconds(4), 4);
  for (int i = 0; i < 10; ++i) {
    const core::Time begin = replay.Now();
    replay.Run(seconds(2), 4);
    BOOST_TEST(replay.UsedBetween(begin, replay.Now()) == kServers);
  }
}

// Guards against idle servers while a group loses requests again.
BOOST_AUTO_TEST_CASE(exploration_follows_the_share_of_failures) {
  gateway::Exploration exploration;
  core::Time now{core::Duration(1'000'000)};
  const auto run = [&](int failed_of_20, int repeatable_of_20) {
    for (int i = 0; i < 200; ++i) {
      now += milliseconds(10);
      exploration.RecordOutcome(i % 20 >= failed_of_20, now);
      if (i % 20 < repeatable_of_20) {
        exploration.RecordRepeatable(now);
      }
    }
    return exploration.MaxIdleTime(now);
  };
  BOOST_TEST((run(0, 0) == seconds(20)));
  BOOST_TEST((run(1, 0) == seconds(20)));
  const core::Duration near_floor = run(3, 0);
  BOOST_TEST((near_floor < seconds(2)));
  BOOST_TEST((run(2, 0) < seconds(2)));
  BOOST_TEST((run(9, 0) < seconds(2)));
  BOOST_TEST((run(16, 0) == seconds(20)));
  BOOST_TEST((run(0, 4) < seconds(2)));
  BOOST_TEST((run(0, 0) == seconds(20)));
}

// Guards against a floor that is not met: while a tenth of the requests fail,
// 70% of the servers receive requests in every 2 s.
BOOST_AUTO_TEST_CASE(the_floor_is_met_while_an_eighth_is_lost) {
  Replay replay(&IsOneInEight);
  replay.Run(seconds(4));
  for (int i = 0; i < 20; ++i) {
    const core::Time begin = replay.Now();
    const int lost = replay.Lost();
    const int requests = replay.Requests();
    replay.Run(seconds(2));
    const double share = static_cast<double>(replay.Lost() - lost) /
                         static_cast<double>(replay.Requests() - requests);
    if (share > 0.1 && share < 0.5) {
      BOOST_TEST(replay.UsedBetween(begin, replay.Now()) >= kServers * 7 / 10);
    }
  }
}

// Guards against capacity that is added and stays unused.
BOOST_AUTO_TEST_CASE(a_new_server_gets_a_request_within_4_s) {
  Replay replay(&IsNeverLost);
  replay.Run(seconds(10));
  replay.AddServer(kServers);
  replay.Run(seconds(4));
  BOOST_TEST(replay.IsUsed(kServers));
}

BOOST_AUTO_TEST_SUITE_END()

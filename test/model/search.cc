#include "model/search.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "bambootack/core/random.h"

namespace bambootack::model {
namespace {

constexpr auto kVms = static_cast<std::uint8_t>(StateExchange::kVms);
constexpr auto kServers = static_cast<std::uint8_t>(StateExchange::kServers);

/// Events of the exhaustive search.
std::vector<Event> CoreEvents() {
  std::vector<Event> events{{EventKind::kRemove},
                            {EventKind::kReport},
                            {EventKind::kOtherWriter},
                            {EventKind::kToggleStore},
                            {EventKind::kLongWait}};
  for (std::uint8_t a = 0; a < kVms; ++a) {
    events.push_back({EventKind::kRead, a});
    events.push_back({EventKind::kToggleCut, a});
    events.push_back({EventKind::kRestart, a});
    for (std::uint8_t b = 0; b < kVms; ++b) {
      if (a != b) {
        events.push_back({EventKind::kDeliver, a, b});
      }
    }
  }
  return events;
}

/// Events of random orders; frequent ones are listed more than once.
std::vector<Event> AllEvents() {
  std::vector<Event> events = CoreEvents();
  for (std::uint8_t a = 0; a < kVms; ++a) {
    events.push_back({EventKind::kRequest, a});
    events.push_back({EventKind::kAnswer, a});
    events.push_back({EventKind::kRead, a});
    events.push_back({EventKind::kTogglePause, a});
    for (std::uint8_t b = 0; b < kVms; ++b) {
      if (a != b) {
        events.push_back({EventKind::kDeliver, a, b});
        events.push_back({EventKind::kLose, a, b});
      }
    }
  }
  for (std::uint8_t i = 0; i < kServers; ++i) {
    events.push_back({EventKind::kRemove, i});
    events.push_back({EventKind::kReport, i});
  }
  events.push_back({EventKind::kExpire});
  for (int i = 0; i < 4; ++i) {
    events.push_back({EventKind::kShortWait});
  }
  return events;
}

/// Violation once all disruptions have ended.
std::optional<std::string> ViolationAfterCalm(StateExchange& exchange) {
  exchange.CalmDown();
  auto violation = exchange.Violation();
  return violation ? violation : exchange.Disagreement();
}

/// Violation of an order of events, or of the calm at its end.
std::optional<std::string> Play(std::size_t domains,
                                const std::vector<Event>& events,
                                std::uint64_t& states) {
  StateExchange exchange(domains);
  for (const Event& it : events) {
    if (exchange.Apply(it)) {
      ++states;
      if (auto violation = exchange.Violation()) {
        return violation;
      }
    }
  }
  return ViolationAfterCalm(exchange);
}

/// Leaves out events, as many at once as possible, while the order still breaks
/// an invariant.
void Shrink(std::size_t domains, Finding& finding) {
  std::uint64_t ignored = 0;
  for (std::size_t n = finding.events.size() / 2; n > 0;) {
    bool shrunk = false;
    for (std::size_t i = 0; i + n <= finding.events.size();) {
      std::vector<Event> events = finding.events;
      const auto first = events.begin() + static_cast<std::ptrdiff_t>(i);
      events.erase(first, first + static_cast<std::ptrdiff_t>(n));
      if (auto violation = Play(domains, events, ignored)) {
        finding = {std::move(events), *std::move(violation)};
        shrunk = true;
      } else {
        i += n;
      }
    }
    n = shrunk ? std::min(n, finding.events.size() / 2) : n / 2;
  }
}

/// Depth-first search. Real objects cannot be copied, so each order is played
/// from its start; only the last event of an order is new.
class OrderSearch {
 public:
  OrderSearch(std::size_t domains, std::size_t depth,
              std::atomic<bool>& stopped)
      : domains_(domains), depth_(depth), stopped_(stopped) {}

  void Visit(std::vector<Event>& order) {
    if (stopped_) {
      return;
    }
    StateExchange exchange(domains_);
    bool possible = true;
    for (const Event& it : order) {
      possible = exchange.Apply(it);
    }
    if (!possible) {
      return;
    }
    ++report.states;
    auto violation = exchange.Violation();
    if (!violation && order.size() == depth_) {
      violation = ViolationAfterCalm(exchange);
    }
    if (violation) {
      report.finding = Finding{order, *std::move(violation)};
      stopped_ = true;
      return;
    }
    if (order.size() < depth_) {
      for (const Event& it : events_) {
        order.push_back(it);
        Visit(order);
        order.pop_back();
      }
    }
  }

  SearchReport report;

 private:
  const std::vector<Event> events_ = CoreEvents();
  std::size_t domains_;
  std::size_t depth_;
  std::atomic<bool>& stopped_;
};

}  // namespace

SearchReport CheckAllOrders(std::size_t domains, std::size_t depth,
                            std::size_t threads) {
  const std::vector<Event> events = CoreEvents();
  SearchReport sum;
  std::mutex mutex;
  std::atomic<std::size_t> next = 0;
  std::atomic<bool> stopped = false;
  std::vector<std::thread> workers;
  for (std::size_t i = 0; i < threads; ++i) {
    workers.emplace_back([&] {
      for (std::size_t n = next++; n < events.size() && !stopped; n = next++) {
        OrderSearch search(domains, depth, stopped);
        std::vector<Event> order{events[n]};
        search.Visit(order);
        const std::scoped_lock lock(mutex);
        sum.states += search.report.states;
        if (search.report.finding) {
          sum.finding = std::move(search.report.finding);
        }
      }
    });
  }
  for (std::thread& it : workers) {
    it.join();
  }
  if (sum.finding) {
    Shrink(domains, *sum.finding);
  }
  return sum;
}

SearchReport CheckRandomOrder(std::size_t domains, std::uint64_t seed,
                              std::size_t length) {
  static const std::vector<Event> kEvents = AllEvents();
  core::Random random(seed);
  Finding finding;
  for (std::size_t i = 0; i < length; ++i) {
    finding.events.push_back(kEvents[random.Below(kEvents.size())]);
  }
  SearchReport report;
  if (auto violation = Play(domains, finding.events, report.states)) {
    finding.violation = *std::move(violation);
    Shrink(domains, finding);
    report.finding = std::move(finding);
  }
  return report;
}

}  // namespace bambootack::model

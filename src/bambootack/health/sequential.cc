#include "bambootack/health/sequential.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bambootack::health {
namespace {

constexpr std::size_t At(Signal signal) {
  return static_cast<std::size_t>(signal);
}

// A CUSUM loses power when the true rate is far from its alternative, so
// several run side by side: certain failures, one in ten, one in thirty, two
// for slow answers in narrow and in wide latency distributions, and hangs.
//
// With these thresholds a healthy server crosses one in 8.1e-8 of its requests,
// summed over the hypotheses. The rate is computed exactly; the bound of Wald
// and Lorden alone, ln(6 / 1e-7) = 17.9, would be needlessly high, since one
// failure overshoots a threshold by several units.
constexpr std::array<SequentialHypothesis, kHypothesisCount> kHypotheses{{
    {Signal::kFailure, 0.9, 14.0},
    {Signal::kFailure, 0.08, 13.4},
    {Signal::kFailure, 0.03, 14.0},
    {Signal::kVerySlow, 0.5, 16.0},
    {Signal::kSlow, 0.8, 16.0},
    {Signal::kHang, 0.9, 16.0},
}};

/// Rate of each signal on a healthy server before there is evidence.
constexpr std::array<double, kSignalCount> kPriorRates{0.002, 0.10, 0.01,
                                                       0.002};
// Least rate of each signal that is assumed on a healthy server, however few
// occurrences were seen.
constexpr std::array<double, kSignalCount> kLeastRates{0.001, 0.10, 0.01,
                                                       0.0001};

/// Requests that the prior rate counts for.
constexpr double kPriorRequests = 500.0;
/// Requests that the long-term rate counts for in the recent rate.
constexpr double kRecentPriorRequests = 4.0;
/// Highest baseline; above it nearly every request of the peers is hit.
constexpr double kHighestBaseline = 0.98;
/// An alternative has at least this multiple of the odds of the baseline.
constexpr double kLeastOddsRatio = 3.0;

/// Recent requests of each server that are kept for the comparison over the
/// same time, and memory of the recent rate, in requests.
constexpr std::size_t kSamples = 512;
constexpr double kRecentMemory = 16.0;

// Two-sample threshold. A server with 3 failures in 3 requests, while 7 peers
// succeeded 21 times, reaches 9.0.
constexpr double kConfirmThreshold = 8.5;
/// Two-sample threshold while there are signs of a fault that servers share.
constexpr double kSharedThreshold = 20.0;

// More hits among the peers than this point to a fault that servers share. The
// test is then repeated for as long as the fault lasts, so that it needs a
// threshold for an unlimited number of requests.
constexpr double kFewHits = 1.0;
constexpr double kUsualFactor = 2.0;
/// A shared fault may have begun before it showed on the server in question.
constexpr core::Duration kSharedLookback = std::chrono::seconds(1);

// Scores above this multiple of the threshold would outlast a shared fault that
// the baseline has caught up with.
constexpr double kScoreLimit = 1.25;

/// Share of the threshold from which a server counts as affected when a fault
/// of the dispatcher's own link is considered.
constexpr double kAffectedShare = 0.5;
/// Ejections within this time may have the same cause.
constexpr core::Duration kCommonCauseTime = std::chrono::seconds(10);

// Two unhealthy servers of a group must not hide each other. The worst third of
// the peers is left out of the comparison over the same time, and the worst one
// of at least three peers is left out of the recent baseline.
constexpr std::size_t kTrimDivisor = 3;
constexpr std::size_t kLeastTrimmed = 3;

constexpr core::Duration kAgingInterval = std::chrono::milliseconds(500);
// Rates follow a shared fault within this time; an older baseline makes every
// server look worse than its peers were. Answer times change less.
constexpr core::Duration kRateHalfLife = std::chrono::seconds(20);
constexpr core::Duration kLatencyHalfLife = std::chrono::seconds(60);

double AgingFactor(core::Duration half_life) {
  return std::exp2(-std::chrono::duration<double>(kAgingInterval) / half_life);
}

constexpr std::uint8_t Bit(Signal signal) {
  return static_cast<std::uint8_t>(1U << At(signal));
}

double Alternative(double probability, double baseline) {
  const double odds = std::max(probability / (1.0 - probability),
                               kLeastOddsRatio * baseline / (1.0 - baseline));
  return odds / (1.0 + odds);
}

/// Log-likelihood of `hits` among `trials` at the maximum-likelihood rate.
double BestLogLikelihood(double hits, double trials) {
  const double misses = trials - hits;
  const double a = hits > 0.0 ? hits * std::log(hits / trials) : 0.0;
  const double b = misses > 0.0 ? misses * std::log(misses / trials) : 0.0;
  return a + b;
}

template <typename Rate>
Rate Sum(const std::vector<Rate>& rates) {
  Rate sum;
  for (const Rate& it : rates) {
    sum.trials += it.trials;
    sum.hits += it.hits;
  }
  return sum;
}

/// Peers without the `n` that have the highest rates.
template <typename Rate>
std::vector<Rate> WithoutWorst(std::vector<Rate> peers, std::size_t n) {
  const auto share = [](const Rate& it) {
    return it.trials > 0.0 ? it.hits / it.trials : 0.0;
  };
  std::sort(peers.begin(), peers.end(),
            [&](const Rate& a, const Rate& b) { return share(a) < share(b); });
  peers.resize(peers.size() - n);
  return peers;
}

/// Two-sample log-likelihood ratio of different rates against one common rate;
/// 0 unless the own rate is the higher one.
template <typename Rate>
double LogRatio(const Rate& own, const Rate& peers) {
  if (own.trials == 0.0 || peers.trials == 0.0 ||
      own.hits / own.trials <= peers.hits / peers.trials) {
    return 0.0;
  }
  return BestLogLikelihood(own.hits, own.trials) +
         BestLogLikelihood(peers.hits, peers.trials) -
         BestLogLikelihood(own.hits + peers.hits, own.trials + peers.trials);
}

}  // namespace

Sequential::Judged Sequential::MakeJudged() {
  Judged it;
  it.samples.fill(Samples(kSamples));
  return it;
}

std::span<const SequentialHypothesis> Sequential::Hypotheses() noexcept {
  return kHypotheses;
}

double Sequential::MinHealthyRate(Signal signal) noexcept {
  return kLeastRates[At(signal)];
}

void Sequential::Add() {
  servers_.push_back(MakeJudged());
  latency_.Add();
}

void Sequential::Remove(ServerIndex server) {
  servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(server));
  latency_.Remove(server);
}

void Sequential::Activate(ServerIndex server) {
  servers_[server] = MakeJudged();
}

void Sequential::Deactivate(ServerIndex server, core::Time now) {
  Activate(server);
  servers_[server].active = false;
  servers_[server].deactivated = now;
}

void Sequential::Observe(const Evidence& evidence) {
  if (!IsEvidence(evidence.kind)) {
    return;
  }
  const auto limits = latency_.Limits(evidence.server, evidence.route);
  const bool timeout = evidence.kind == EvidenceKind::kTimeout;
  if (timeout && limits && evidence.elapsed < limits->very_slow) {
    return;  // The caller allowed less time than healthy servers need.
  }
  const auto count = [&](Signal signal, bool hit, double weight) {
    if ((evidence.counted & Bit(signal)) == 0) {
      Count({evidence.server, evidence.route, signal, hit, weight, evidence.at,
             evidence.at - evidence.elapsed});
    }
  };
  const double weight = FailureWeight(evidence.kind);
  count(Signal::kFailure, weight > 0.0, weight);
  if (evidence.kind != EvidenceKind::kSuccess && !timeout) {
    return;
  }
  if (limits) {
    count(Signal::kSlow, evidence.elapsed > limits->slow, 1.0);
    count(Signal::kVerySlow, evidence.elapsed > limits->very_slow, 1.0);
    count(Signal::kHang, evidence.elapsed > limits->hanging, 1.0);
  }
  latency_.Record(evidence.server, evidence.route, evidence.elapsed);
}

std::uint8_t Sequential::ObserveRunning(const RunningRequest& request,
                                        core::Time now) {
  std::uint8_t counted = request.counted;
  const auto limits = latency_.Limits(request.server, request.route);
  if (!limits) {
    return counted;
  }
  const auto count = [&](Signal signal, core::Duration limit) {
    if ((counted & Bit(signal)) == 0 && request.elapsed > limit) {
      Count({request.server, request.route, signal, true, 1.0, now,
             now - request.elapsed});
      counted |= Bit(signal);
    }
  };
  count(Signal::kSlow, limits->slow);
  count(Signal::kVerySlow, limits->very_slow);
  count(Signal::kHang, limits->hanging);
  return counted;
}

bool Sequential::IsOverdue(const RunningRequest& request) const noexcept {
  const auto limits = latency_.Limits(request.server, request.route);
  return limits && request.elapsed > limits->very_slow;
}

void Sequential::Count(const Observation& seen) {
  Judged& it = servers_[seen.server];
  if (!it.active) {
    return;
  }
  UpdateScores(seen);
  if (it.routes.size() <= seen.route) {
    it.routes.resize(seen.route + 1);
  }
  const double hit = seen.hit ? 1.0 : 0.0;
  Rate& rate = it.routes[seen.route][At(seen.signal)];
  rate = {rate.trials + 1.0, rate.hits + hit};
  constexpr double kKeep = 1.0 - 1.0 / kRecentMemory;
  Rate& recent = it.recent_rates[At(seen.signal)];
  recent = {recent.trials * kKeep + 1.0, recent.hits * kKeep + hit};
  it.samples[At(seen.signal)].push_back({seen.at, seen.hit});
}

void Sequential::UpdateScores(const Observation& seen) {
  const double p0 = Baseline(seen.server, seen.route, seen.signal);
  for (std::size_t i = 0; i < kHypothesisCount; ++i) {
    const SequentialHypothesis& hypothesis = kHypotheses[i];
    if (hypothesis.signal != seen.signal) {
      continue;
    }
    const double p1 = Alternative(hypothesis.probability, p0);
    const double step = seen.hit ? seen.weight * std::log(p1 / p0)
                                 : std::log((1.0 - p1) / (1.0 - p0));
    Score& score = servers_[seen.server].scores[i];
    if (score.value <= 0.0) {
      score.since = seen.started;
    }
    score.value =
        std::clamp(score.value + step, 0.0, kScoreLimit * hypothesis.threshold);
  }
}

double Sequential::Baseline(ServerIndex server, RouteIndex route,
                            Signal signal) const {
  Rate sum;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    const Judged& it = servers_[i];
    if (i != server && it.active && route < it.routes.size()) {
      sum.trials += it.routes[route][At(signal)].trials;
      sum.hits += it.routes[route][At(signal)].hits;
    }
  }
  const double usual = (sum.hits + kPriorRates[At(signal)] * kPriorRequests) /
                       (sum.trials + kPriorRequests);
  const double recent = RecentPeerRate(server, signal, usual);
  return std::clamp(std::max(usual, recent), kLeastRates[At(signal)],
                    kHighestBaseline);
}

double Sequential::RecentPeerRate(ServerIndex server, Signal signal,
                                  double usual) const {
  std::vector<Rate> rates;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    const Rate& it = servers_[i].recent_rates[At(signal)];
    if (i != server && servers_[i].active) {
      rates.push_back({it.trials + kRecentPriorRequests,
                       it.hits + usual * kRecentPriorRequests});
    }
  }
  const std::size_t worst = rates.size() >= kLeastTrimmed ? 1 : 0;
  const Rate sum = Sum(WithoutWorst(std::move(rates), worst));
  return sum.trials > 0.0 ? sum.hits / sum.trials : usual;
}

Sequential::Rate Sequential::RateSince(ServerIndex server, Signal signal,
                                       core::Time since) const {
  Rate rate;
  const Samples& samples = servers_[server].samples[At(signal)];
  for (auto it = samples.rbegin(); it != samples.rend() && it->at >= since;
       ++it) {
    rate.trials += 1.0;
    rate.hits += it->hit ? 1.0 : 0.0;
  }
  return rate;
}

std::vector<Sequential::Rate> Sequential::PeersSince(ServerIndex server,
                                                     Signal signal,
                                                     core::Time since) const {
  std::vector<Rate> peers;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    if (i != server && servers_[i].active) {
      peers.push_back(RateSince(i, signal, since));
    }
  }
  return peers;
}

bool Sequential::DiffersFromPeers(ServerIndex server,
                                  std::size_t hypothesis) const {
  const Signal signal = kHypotheses[hypothesis].signal;
  const core::Time since = servers_[server].scores[hypothesis].since;
  const Rate own = RateSince(server, signal, since);
  std::vector<Rate> peers = PeersSince(server, signal, since);
  const Rate before = Sum(PeersSince(server, signal, since - kSharedLookback));
  const double usual = kLeastRates[At(signal)] * before.trials;
  if (before.hits <= kFewHits + kUsualFactor * usual) {
    return LogRatio(own, Sum(peers)) >= kConfirmThreshold;
  }
  const std::size_t worst = peers.size() / kTrimDivisor;
  return LogRatio(own, Sum(WithoutWorst(std::move(peers), worst))) >=
         kSharedThreshold;
}

bool Sequential::IsUnhealthy(ServerIndex server) const {
  for (std::size_t i = 0; i < kHypothesisCount; ++i) {
    if (servers_[server].scores[i].value >= kHypotheses[i].threshold &&
        DiffersFromPeers(server, i)) {
      return true;
    }
  }
  return false;
}

bool Sequential::IsOwnLinkSuspected(core::Time now) const {
  std::size_t judged = 0;
  std::size_t affected = 0;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    const Judged& it = servers_[i];
    const bool recent =
        it.deactivated && now - *it.deactivated < kCommonCauseTime;
    judged += it.active || recent ? 1 : 0;
    affected += recent || Suspicion(i) >= kAffectedShare ? 1 : 0;
  }
  return 2 * affected > judged;
}

std::optional<ServerIndex> Sequential::Worst(
    core::Time now, const std::vector<bool>& exempt) const {
  std::optional<ServerIndex> worst;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    const bool worse = !worst || Suspicion(i) > Suspicion(*worst);
    if (servers_[i].active && !exempt[i] && worse && IsUnhealthy(i)) {
      worst = i;
    }
  }
  return worst && !IsOwnLinkSuspected(now) ? worst : std::nullopt;
}

void Sequential::OnTimer(core::Time now) {
  if (now < next_aging_) {
    return;
  }
  next_aging_ = now + kAgingInterval;
  const double factor = AgingFactor(kRateHalfLife);
  for (Judged& it : servers_) {
    for (Rates& rates : it.routes) {
      for (Rate& rate : rates) {
        rate.trials *= factor;
        rate.hits *= factor;
      }
    }
  }
  latency_.Refresh(AgingFactor(kLatencyHalfLife));
}

bool Sequential::IsBad(const Evidence& evidence) const noexcept {
  if (FailureWeight(evidence.kind) > 0.0) {
    return true;
  }
  const auto limits = latency_.Limits(evidence.server, evidence.route);
  return limits && evidence.elapsed > limits->very_slow;
}

double Sequential::Suspicion(ServerIndex server) const noexcept {
  double highest = 0.0;
  for (std::size_t i = 0; i < kHypothesisCount; ++i) {
    highest = std::max(
        highest, servers_[server].scores[i].value / kHypotheses[i].threshold);
  }
  return highest;
}

}  // namespace bambootack::health

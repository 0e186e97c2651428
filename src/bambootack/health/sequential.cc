#include "bambootack/health/sequential.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bambootack::health {
namespace {

constexpr std::size_t IndexOf(Signal signal) {
  return static_cast<std::size_t>(signal);
}

// A CUSUM loses power when the true rate is far from its alternative, so
// several run in parallel: certain failures, one in ten, one in thirty, two for
// slow responses in narrow and in wide latency distributions, and hangs.
//
// With these thresholds a healthy server crosses one of them at 8.1e-8 of its
// requests, summed over the hypotheses. The rate is computed exactly: the bound
// of Wald and Lorden, ln(6 / 1e-7) = 17.9, would delay detection needlessly,
// since one failure overshoots a threshold by several units.
constexpr std::array<SequentialHypothesis, kHypothesisCount> kHypotheses{{
    {Signal::kFailure, 0.9, 14.0},
    {Signal::kFailure, 0.08, 13.4},
    {Signal::kFailure, 0.03, 14.0},
    {Signal::kVerySlow, 0.5, 16.0},
    {Signal::kSlow, 0.8, 16.0},
    {Signal::kHang, 0.9, 16.0},
}};

/// Prior rate of each signal on a healthy server.
constexpr std::array<double, kSignalCount> kPriorRates{0.002, 0.10, 0.01,
                                                       0.002};
// Lower bound of the rate of each signal assumed on a healthy server, however
// few occurrences were observed.
constexpr std::array<double, kSignalCount> kMinHealthyRates{0.001, 0.10, 0.01,
                                                            0.0001};

/// Weight of the prior rate, in requests.
constexpr double kPriorRequests = 500.0;
/// Weight of the long-term rate in the recent rate, in requests.
constexpr double kRecentPriorRequests = 4.0;
/// Upper bound of the baseline; above it nearly all requests of peers are hits.
constexpr double kMaxBaselineRate = 0.98;
/// The odds of an alternative are at least this multiple of the baseline odds.
constexpr double kMinOddsRatio = 3.0;

/// Recent requests of each server kept for the two-sample test.
constexpr std::size_t kMaxSamples = 512;
/// Each request reduces the weight of earlier ones in the recent rate by 1/16.
constexpr double kRecentRateMemory = 16.0;

// Threshold of the two-sample test. A server with 3 failures in 3 requests
// reaches 9.0 while 7 peers had 21 successes.
constexpr double kConfirmThreshold = 8.5;
/// Threshold of the two-sample test while servers may share a fault.
constexpr double kSharedFaultThreshold = 20.0;

// A shared fault is assumed when the hits of the peers exceed
// `kSharedFaultHitMargin` plus `kSharedFaultRateFactor` times the expected
// hits. The test is then repeated for as long as the fault lasts, and its
// higher threshold has to hold for an unlimited number of requests.
constexpr double kSharedFaultHitMargin = 1.0;
constexpr double kSharedFaultRateFactor = 2.0;
/// A shared fault may reach the peers this much earlier than the server.
constexpr core::Duration kSharedFaultLookback = std::chrono::seconds(1);

// Scores are capped at this multiple of the threshold. Higher ones would
// outlast a shared fault that the baseline has caught up with.
constexpr double kMaxNormalizedScore = 1.25;

/// Normalized score from which a server counts as affected when checking for a
/// fault of the dispatcher's own network link.
constexpr double kAffectedScore = 0.5;
/// Ejections within this time may have the same cause.
constexpr core::Duration kCommonCauseWindow = std::chrono::seconds(10);

// Two unhealthy servers of a group must not mask each other. The third of the
// peers with the highest rates is left out of the two-sample test, and the
// highest of at least three peers is left out of the recent baseline.
constexpr std::size_t kTrimDivisor = 3;
constexpr std::size_t kMinPeersToTrim = 3;

constexpr core::Duration kDecayInterval = std::chrono::milliseconds(500);
// Rates follow a shared fault within this time; with an older baseline every
// server would look worse than its peers were. Latencies change more slowly.
constexpr core::Duration kRateHalfLife = std::chrono::seconds(20);
constexpr core::Duration kLatencyHalfLife = std::chrono::seconds(60);

double DecayFactor(core::Duration half_life) {
  return std::exp2(-std::chrono::duration<double>(kDecayInterval) / half_life);
}

constexpr std::uint8_t Bit(Signal signal) {
  return static_cast<std::uint8_t>(1U << IndexOf(signal));
}

double AlternativeRate(double probability, double baseline) {
  const double odds = std::max(probability / (1.0 - probability),
                               kMinOddsRatio * baseline / (1.0 - baseline));
  return odds / (1.0 + odds);
}

/// Log-likelihood of `hits` among `trials` at the maximum-likelihood rate.
double MaxLogLikelihood(double hits, double trials) {
  const double misses = trials - hits;
  const double hit_term = hits > 0.0 ? hits * std::log(hits / trials) : 0.0;
  const double miss_term =
      misses > 0.0 ? misses * std::log(misses / trials) : 0.0;
  return hit_term + miss_term;
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

/// Returns the peers without the `n` that have the highest rates.
template <typename Rate>
std::vector<Rate> TrimHighestRates(std::vector<Rate> peers, std::size_t n) {
  const auto rate_of = [](const Rate& it) {
    return it.trials > 0.0 ? it.hits / it.trials : 0.0;
  };
  std::sort(peers.begin(), peers.end(), [&](const Rate& a, const Rate& b) {
    return rate_of(a) < rate_of(b);
  });
  peers.resize(peers.size() - n);
  return peers;
}

/// Two-sample log-likelihood ratio of different rates against one common rate;
/// 0 unless the server's own rate is the higher one.
template <typename Rate>
double LogLikelihoodRatio(const Rate& own, const Rate& peers) {
  if (own.trials == 0.0 || peers.trials == 0.0 ||
      own.hits / own.trials <= peers.hits / peers.trials) {
    return 0.0;
  }
  return MaxLogLikelihood(own.hits, own.trials) +
         MaxLogLikelihood(peers.hits, peers.trials) -
         MaxLogLikelihood(own.hits + peers.hits, own.trials + peers.trials);
}

}  // namespace

Sequential::ServerData Sequential::MakeServerData() {
  ServerData it;
  it.samples.fill(Samples(kMaxSamples));
  return it;
}

std::span<const SequentialHypothesis> Sequential::Hypotheses() noexcept {
  return kHypotheses;
}

double Sequential::MinHealthyRate(Signal signal) noexcept {
  return kMinHealthyRates[IndexOf(signal)];
}

void Sequential::Add() {
  servers_.push_back(MakeServerData());
  latency_.Add();
}

void Sequential::Remove(ServerIndex server) {
  servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(server));
  latency_.Remove(server);
}

void Sequential::Activate(ServerIndex server) {
  servers_[server] = MakeServerData();
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
    return;  // The time limit was shorter than healthy servers need.
  }
  const auto count = [&](Signal signal, bool hit, double weight) {
    if ((evidence.counted_signals & Bit(signal)) == 0) {
      RecordObservation({evidence.server, evidence.route, signal, hit, weight,
                         evidence.at, evidence.at - evidence.elapsed});
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

std::uint8_t Sequential::ObserveInFlight(const InFlightRequest& request,
                                         core::Time now) {
  std::uint8_t counted = request.counted_signals;
  const auto limits = latency_.Limits(request.server, request.route);
  if (!limits) {
    return counted;
  }
  const auto count = [&](Signal signal, core::Duration limit) {
    if ((counted & Bit(signal)) == 0 && request.elapsed > limit) {
      RecordObservation({request.server, request.route, signal, true, 1.0, now,
                         now - request.elapsed});
      counted |= Bit(signal);
    }
  };
  count(Signal::kSlow, limits->slow);
  count(Signal::kVerySlow, limits->very_slow);
  count(Signal::kHang, limits->hanging);
  return counted;
}

bool Sequential::IsOverdue(const InFlightRequest& request) const noexcept {
  const auto limits = latency_.Limits(request.server, request.route);
  return limits && request.elapsed > limits->very_slow;
}

void Sequential::RecordObservation(const Observation& observation) {
  ServerData& it = servers_[observation.server];
  if (!it.active) {
    return;
  }
  UpdateScores(observation);
  if (it.routes.size() <= observation.route) {
    it.routes.resize(observation.route + 1);
  }
  const double hit = observation.hit ? 1.0 : 0.0;
  Rate& rate = it.routes[observation.route][IndexOf(observation.signal)];
  rate = {rate.trials + 1.0, rate.hits + hit};
  constexpr double kRetained = 1.0 - 1.0 / kRecentRateMemory;
  Rate& recent = it.recent_rates[IndexOf(observation.signal)];
  recent = {recent.trials * kRetained + 1.0, recent.hits * kRetained + hit};
  it.samples[IndexOf(observation.signal)].push_back(
      {observation.at, observation.hit});
}

void Sequential::UpdateScores(const Observation& observation) {
  const double baseline =
      BaselineRate(observation.server, observation.route, observation.signal);
  for (std::size_t i = 0; i < kHypothesisCount; ++i) {
    const SequentialHypothesis& hypothesis = kHypotheses[i];
    if (hypothesis.signal != observation.signal) {
      continue;
    }
    const double alternative =
        AlternativeRate(hypothesis.probability, baseline);
    const double step =
        observation.hit ? observation.weight * std::log(alternative / baseline)
                        : std::log((1.0 - alternative) / (1.0 - baseline));
    Score& score = servers_[observation.server].scores[i];
    if (score.value <= 0.0) {
      score.onset = observation.started;
    }
    score.value = std::clamp(score.value + step, 0.0,
                             kMaxNormalizedScore * hypothesis.threshold);
  }
}

double Sequential::BaselineRate(ServerIndex server, RouteIndex route,
                                Signal signal) const {
  Rate sum;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    const ServerData& it = servers_[i];
    if (i != server && it.active && route < it.routes.size()) {
      sum.trials += it.routes[route][IndexOf(signal)].trials;
      sum.hits += it.routes[route][IndexOf(signal)].hits;
    }
  }
  const double long_term_rate =
      (sum.hits + kPriorRates[IndexOf(signal)] * kPriorRequests) /
      (sum.trials + kPriorRequests);
  const double recent = RecentPeerRate(server, signal, long_term_rate);
  return std::clamp(std::max(long_term_rate, recent),
                    kMinHealthyRates[IndexOf(signal)], kMaxBaselineRate);
}

double Sequential::RecentPeerRate(ServerIndex server, Signal signal,
                                  double long_term_rate) const {
  std::vector<Rate> rates;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    const Rate& it = servers_[i].recent_rates[IndexOf(signal)];
    if (i != server && servers_[i].active) {
      rates.push_back({it.trials + kRecentPriorRequests,
                       it.hits + long_term_rate * kRecentPriorRequests});
    }
  }
  const std::size_t trimmed = rates.size() >= kMinPeersToTrim ? 1 : 0;
  const Rate sum = Sum(TrimHighestRates(std::move(rates), trimmed));
  return sum.trials > 0.0 ? sum.hits / sum.trials : long_term_rate;
}

Sequential::Rate Sequential::RateSince(ServerIndex server, Signal signal,
                                       core::Time since) const {
  Rate rate;
  const Samples& samples = servers_[server].samples[IndexOf(signal)];
  for (auto it = samples.rbegin(); it != samples.rend() && it->at >= since;
       ++it) {
    rate.trials += 1.0;
    rate.hits += it->hit ? 1.0 : 0.0;
  }
  return rate;
}

std::vector<Sequential::Rate> Sequential::PeerRatesSince(
    ServerIndex server, Signal signal, core::Time since) const {
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
  const core::Time since = servers_[server].scores[hypothesis].onset;
  const Rate own = RateSince(server, signal, since);
  std::vector<Rate> peers = PeerRatesSince(server, signal, since);
  const Rate before =
      Sum(PeerRatesSince(server, signal, since - kSharedFaultLookback));
  const double expected_hits =
      kMinHealthyRates[IndexOf(signal)] * before.trials;
  if (before.hits <=
      kSharedFaultHitMargin + kSharedFaultRateFactor * expected_hits) {
    return LogLikelihoodRatio(own, Sum(peers)) >= kConfirmThreshold;
  }
  const std::size_t trimmed = peers.size() / kTrimDivisor;
  return LogLikelihoodRatio(own,
                            Sum(TrimHighestRates(std::move(peers), trimmed))) >=
         kSharedFaultThreshold;
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

bool Sequential::IsLocalLinkFaultLikely(core::Time now) const {
  std::size_t considered = 0;
  std::size_t affected = 0;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    const ServerData& it = servers_[i];
    const bool recent =
        it.deactivated && now - *it.deactivated < kCommonCauseWindow;
    considered += it.active || recent ? 1 : 0;
    affected += recent || NormalizedScore(i) >= kAffectedScore ? 1 : 0;
  }
  return 2 * affected > considered;
}

std::optional<ServerIndex> Sequential::NextToEject(
    core::Time now, const std::vector<bool>& exempt) const {
  std::optional<ServerIndex> worst;
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    const bool worse = !worst || NormalizedScore(i) > NormalizedScore(*worst);
    if (servers_[i].active && !exempt[i] && worse && IsUnhealthy(i)) {
      worst = i;
    }
  }
  return worst && !IsLocalLinkFaultLikely(now) ? worst : std::nullopt;
}

void Sequential::OnTimer(core::Time now) {
  if (now < next_decay_) {
    return;
  }
  next_decay_ = now + kDecayInterval;
  const double factor = DecayFactor(kRateHalfLife);
  for (ServerData& it : servers_) {
    for (Rates& rates : it.routes) {
      for (Rate& rate : rates) {
        rate.trials *= factor;
        rate.hits *= factor;
      }
    }
  }
  latency_.Refresh(DecayFactor(kLatencyHalfLife));
}

bool Sequential::IndicatesFault(const Evidence& evidence) const noexcept {
  if (FailureWeight(evidence.kind) > 0.0) {
    return true;
  }
  const auto limits = latency_.Limits(evidence.server, evidence.route);
  return limits && evidence.elapsed > limits->very_slow;
}

double Sequential::NormalizedScore(ServerIndex server) const noexcept {
  double highest = 0.0;
  for (std::size_t i = 0; i < kHypothesisCount; ++i) {
    highest = std::max(
        highest, servers_[server].scores[i].value / kHypotheses[i].threshold);
  }
  return highest;
}

}  // namespace bambootack::health

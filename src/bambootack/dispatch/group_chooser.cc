#include "bambootack/dispatch/group_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bambootack::dispatch {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight factor of groups in the local failure domain, which save a hop
/// between domains. The factor leaves other domains enough traffic to keep
/// their loads up to date.
constexpr double kLocalDomainWeight = 2.0;

/// Minimum expected wait of a group without free slots. It ranks groups whose
/// queues are empty.
constexpr Seconds kFullGroupMinWait{0.005};

/// Age at which a load counts 1/e. Queue lengths change within about this time.
constexpr Seconds kLoadDecayTime{0.5};

double SlotsOf(const std::vector<config::Server>& servers) noexcept {
  double slots = 0.0;
  for (const config::Server& it : servers) {
    const bool in_service = !it.leaving && it.pin != config::Pin::kOut;
    slots += in_service ? it.slots : 0;
  }
  return slots;
}

/// Draws an index other than `except` with a probability that is proportional
/// to the weight.
std::size_t DrawIndex(const std::vector<GroupCandidate>& candidates,
                      std::size_t except, core::Random& random) {
  double total = 0.0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    total += i == except ? 0.0 : candidates[i].weight;
  }
  double remaining = random.Unit() * total;
  std::size_t drawn = except == 0 && candidates.size() > 1 ? 1 : 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i == except || candidates[i].weight <= 0.0) {
      continue;
    }
    drawn = i;
    remaining -= candidates[i].weight;
    if (remaining < 0.0) {
      break;
    }
  }
  return drawn;
}

/// Expected wait in seconds, plus a part of `kFullGroupMinWait` for the slots
/// in use. Decays with the age of the load, because an old load predicts less.
double LoadScore(const GroupCandidate& it, core::Rank rank, core::Time now) {
  const Seconds wait = it.load.wait[static_cast<std::size_t>(rank)];
  const Seconds age = now - it.load_at;
  const double busy = it.slots > 0 ? 1.0 - it.load.free_slots / it.slots : 0.0;
  return (wait + busy * kFullGroupMinWait).count() *
         std::exp(-age / kLoadDecayTime);
}

}  // namespace

void GroupChooser::Configure(const config::FleetConfig& config,
                             const membership::View& view,
                             std::string_view local_domain) {
  std::map<std::string, Candidates, std::less<>> next;
  for (const auto& [id, service] : config.services) {
    Candidates& candidates = next[id];
    for (auto& [key, servers] : config::GroupsOf(service)) {
      GroupCandidate it;
      if (const GroupCandidate* old = Find(key)) {
        it = *old;
      }
      it.group = key;
      it.dispatchers =
          membership::DispatcherOrder(view, key, kDispatcherCandidates);
      it.slots = SlotsOf(servers);
      it.weight = key.failure_domain == local_domain
                      ? it.slots * kLocalDomainWeight
                      : it.slots;
      it.servers = servers;
      candidates.push_back(std::move(it));
    }
  }
  services_ = std::move(next);
}

void GroupChooser::RecordLoad(const wire::GroupLoad& load, core::Time now) {
  const auto service = services_.find(load.group.service);
  if (service == services_.end()) {
    return;
  }
  for (GroupCandidate& it : service->second) {
    if (it.group == load.group) {
      it.load = load;
      it.load_at = now;
    }
  }
}

const GroupCandidate* GroupChooser::Choose(std::string_view service,
                                           core::Rank rank, core::Time now,
                                           core::Random& random) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.empty()) {
    return nullptr;
  }
  const Candidates& candidates = found->second;
  const std::size_t first = DrawIndex(candidates, candidates.size(), random);
  if (candidates.size() == 1) {
    return &candidates[first];
  }
  const std::size_t second = DrawIndex(candidates, first, random);
  const GroupCandidate& a = candidates[first];
  const GroupCandidate& b = candidates[second];
  const bool second_is_better =
      b.weight > 0.0 && LoadScore(b, rank, now) < LoadScore(a, rank, now);
  return second_is_better ? &b : &a;
}

const GroupCandidate* GroupChooser::Find(const config::GroupKey& key) const {
  const auto service = services_.find(key.service);
  if (service == services_.end()) {
    return nullptr;
  }
  const auto it = std::find_if(
      service->second.begin(), service->second.end(),
      [&](const GroupCandidate& candidate) { return candidate.group == key; });
  return it == service->second.end() ? nullptr : &*it;
}

}  // namespace bambootack::dispatch

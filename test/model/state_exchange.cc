#include "model/state_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <variant>

#include "standin/common/encoding.h"
#include "standin/common/query.h"

namespace bambootack::model {
namespace {

using standin::Base64;
using standin::BigEndian;
using std::chrono::milliseconds;

constexpr core::Duration kChangeTime = milliseconds(2000);
constexpr core::Duration kShortWait = milliseconds(300);
constexpr core::Duration kLongWait = milliseconds(3000);
constexpr int kCalmRounds = 24;

/// Longest time for which a removed server may stay in use.
constexpr core::Duration kMaxDeferral = milliseconds(2000);

constexpr int kHttpOk = 200;
constexpr int kHttpGone = 410;
constexpr int kHttpUnavailable = 503;

std::string IdOf(std::size_t server) { return fmt::format("i-{}", server); }

std::string DomainOf(std::size_t vm, std::size_t domains) {
  return vm + 1 == StateExchange::kVms && domains > 1 ? "east" : "west";
}

core::VmId VmIdOf(std::size_t vm) {
  return core::VmId{static_cast<std::uint32_t>(vm + 1)};
}

/// The offset is the sequence number, which tells of which report a state is.
std::string ReportOf(std::size_t server, std::size_t offset) {
  const bool other = server == StateExchange::kOtherEntry;
  return fmt::format(
      R"({{"service":"{}","address":"10.2.0.{}:8526","zone":"west",)"
      R"("slots":3,"state":"ready","warmupLeftMs":0,"seq":{},)"
      R"("born":{}}})",
      other ? "other" : "desk", other ? 1 : server + 1, offset,
      other ? 1700000001000 : 1700000000000);
}

const std::string& ConfigPage() {
  static const std::string kPage = fmt::format(
      R"({{"items":[{{"key":"config","value":"{}","offset":0}}],)"
      R"("hasMore":false,"end":1}})",
      Base64(R"({"version":"r1","routes":{"columns":["name"],"rows":[]},)"
             R"("services":{"columns":["name"],"rows":[["desk"]]}})"));
  return kPage;
}

}  // namespace

std::string ToText(const Event& event) {
  return fmt::format("{} {} {}", kEventKindNames.Name(event.kind),
                     event.subject, event.other);
}

StateExchange::Process::Process(std::size_t vm, std::size_t domains)
    : peers(VmIdOf(vm)),
      sync(VmIdOf(vm), DomainOf(vm, domains), kChangeTime, registry, peers),
      store(sync, registry,
            {[this](const gateway::GatewayConfig& config, core::Time now) {
               Configure(config, now);
             },
             [](core::Time) {}, [](log::EventId, const std::string&) {}}),
      random(vm + 1) {
  for (std::size_t i = 0; i < kVms; ++i) {
    peers.Add({VmIdOf(i), {}, "10.0.0.1:1", DomainOf(i, domains)});
  }
  sync.MarkFleetKnown();
}

void StateExchange::Process::Configure(const gateway::GatewayConfig& config,
                                       core::Time now) {
  registry.SetServices({config.services.begin(), config.services.end()});
  sync.UpdateConfig(config, now);
}

StateExchange::StateExchange(std::size_t domains) : domains_(domains) {
  for (std::size_t i = 0; i < kServers; ++i) {
    Append(i, false);
  }
  for (std::size_t i = 0; i < kVms; ++i) {
    Start(i);
    vms_[i].process->sync.SetFirstReadTime(now_);
  }
  for (std::size_t i = 0; i < kVms; ++i) {
    SendRequests(i);
    ReceiveAnswers(i);
  }
  messages_.clear();
}

void StateExchange::Start(std::size_t vm) {
  vms_[vm].process = std::make_unique<Process>(vm, domains_);
  vms_[vm].paused = false;
  vms_[vm].process->sync.SetFirstReadTime(now_ + kShortWait);
  for (auto& [pair, queue] : messages_) {
    if (pair.second == vm) {
      queue.clear();
    }
  }
}

void StateExchange::Append(std::size_t server, bool removed) {
  log_.push_back({server, removed});
}

bool StateExchange::IsLive(std::size_t server) const {
  const auto last =
      std::find_if(log_.rbegin(), log_.rend(),
                   [&](const Record& it) { return it.server == server; });
  return last != log_.rend() && !last->removed;
}

bool StateExchange::Apply(const Event& event) {
  const std::size_t subject = event.subject;
  switch (event.kind) {
    case EventKind::kReport:
      Append(subject, false);
      return true;
    case EventKind::kRemove:
      if (!IsLive(subject)) {
        return false;
      }
      Append(subject, true);
      return true;
    case EventKind::kOtherWriter:
      Append(kOtherEntry, false);
      return true;
    case EventKind::kRequest:
      return SendRequests(subject);
    case EventKind::kAnswer:
      return ReceiveAnswers(subject);
    case EventKind::kRead: {
      const bool sent = SendRequests(subject);
      return ReceiveAnswers(subject) || sent;
    }
    case EventKind::kDeliver:
      return MoveMessage(subject, event.other, true);
    case EventKind::kLose:
      return MoveMessage(subject, event.other, false);
    case EventKind::kToggleCut:
      vms_[subject].cut = !vms_[subject].cut;
      return true;
    case EventKind::kRestart:
      Start(subject);
      return true;
    case EventKind::kTogglePause:
      vms_[subject].paused = !vms_[subject].paused;
      return true;
    case EventKind::kExpire:
      log_start_ = log_.size();
      return true;
    case EventKind::kToggleStore:
      store_available_ = !store_available_;
      return true;
    case EventKind::kShortWait:
      Wait(kShortWait);
      return true;
    case EventKind::kLongWait:
      Wait(kLongWait);
      return true;
  }
  return false;
}

bool StateExchange::SendRequests(std::size_t vm) {
  Vm& it = vms_[vm];
  if (it.paused) {
    return false;
  }
  bool sent = false;
  for (auto& request : it.process->store.NextRequests(now_)) {
    StoreRead read{std::move(request), now_, !it.cut, std::nullopt};
    if (read.reached_store) {
      read.answer = AnswerOf(read.request.request.http.target, false);
    }
    it.process->reads.push_back(std::move(read));
    sent = true;
  }
  return sent;
}

/// Passes on the answers that the store has given, and the end of reads without
/// an answer.
bool StateExchange::ReceiveAnswers(std::size_t vm) {
  Vm& it = vms_[vm];
  if (it.paused) {
    return false;
  }
  Process& process = *it.process;
  bool received = false;
  std::vector<StoreRead> left;
  for (StoreRead& read : std::exchange(process.reads, {})) {
    const std::string& target = read.request.request.http.target;
    if (read.reached_store && !read.answer) {
      const bool held =
          now_ <
          read.sent +
              milliseconds(standin::QueryInteger(target, "waitMs").value_or(0));
      read.answer = AnswerOf(target, !held);
    }
    const bool timed_out = now_ >= read.sent + read.request.request.timeout;
    if (read.answer && !it.cut) {
      process.store.OnAnswer(read.request.topic, read.answer, now_,
                             process.random);
      received = true;
    } else if (timed_out) {
      process.store.OnAnswer(read.request.topic, std::nullopt, now_,
                             process.random);
      received = true;
    } else {
      left.push_back(std::move(read));
    }
  }
  process.reads = std::move(left);
  CollectMessages(vm);
  return received;
}

/// Answer of the store, or nothing while it holds the read.
std::optional<core::HttpAnswer> StateExchange::AnswerOf(
    const std::string& target, bool end_of_wait) const {
  if (!store_available_) {
    return core::HttpAnswer{kHttpUnavailable, {}, ""};
  }
  const bool is_read = target.find("log-read") != std::string::npos;
  const bool is_config = target.find("keyed.op") != std::string::npos;
  if (!is_read) {
    return core::HttpAnswer{
        kHttpOk, {}, is_config ? ConfigPage() : NewestPage()};
  }
  const std::uint64_t from = standin::QueryInteger(target, "from").value_or(0);
  if (!is_config && from < log_start_) {
    return core::HttpAnswer{kHttpGone, {}, ""};
  }
  const bool is_empty = is_config || from >= log_.size();
  const bool waits = standin::QueryInteger(target, "waitMs").value_or(0) > 0;
  if (is_empty && waits && !end_of_wait) {
    return std::nullopt;
  }
  return core::HttpAnswer{
      kHttpOk,
      {},
      is_config ? BigEndian(1, 8) + BigEndian(0, 8) : ReadPage(from)};
}

std::string StateExchange::NewestPage() const {
  std::map<std::size_t, std::size_t> newest;
  for (std::size_t i = 0; i < log_.size(); ++i) {
    newest[log_[i].server] = i;
  }
  std::string items;
  for (const auto& [server, offset] : newest) {
    if (!log_[offset].removed) {
      items += fmt::format(R"({}{{"key":"{}","value":"{}","offset":{}}})",
                           items.empty() ? "" : ",", IdOf(server),
                           Base64(ReportOf(server, offset)), offset);
    }
  }
  return fmt::format(R"({{"items":[{}],"hasMore":false,"end":{}}})", items,
                     log_.size());
}

std::string StateExchange::ReadPage(std::uint64_t from) const {
  std::string body = BigEndian(log_.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < log_.size(); ++i) {
    const std::string key = IdOf(log_[i].server);
    const std::string record =
        BigEndian(key.size(), 1) + key +
        (log_[i].removed ? "" : ReportOf(log_[i].server, i));
    body += BigEndian(record.size(), 4) + record;
  }
  return body;
}

bool StateExchange::MoveMessage(std::size_t from, std::size_t to,
                                bool arrives) {
  auto& queue = messages_[{from, to}];
  if (queue.empty() || (arrives && vms_[to].paused)) {
    return false;
  }
  const gateway::PeerMessage message = std::move(queue.front());
  queue.pop_front();
  if (!arrives || vms_[from].cut || vms_[to].cut) {
    return true;
  }
  Process& process = *vms_[to].process;
  if (const auto* update = std::get_if<gateway::StateUpdate>(&message)) {
    static_cast<void>(process.sync.Receive(VmIdOf(from), *update, now_));
    if (update->config) {
      process.Configure(*update->config, now_);
    }
  } else if (const auto* query = std::get_if<gateway::StateQuery>(&message)) {
    process.sync.Receive(VmIdOf(from), *query, now_);
  }
  CollectMessages(to);
  return true;
}

void StateExchange::CollectMessages(std::size_t vm) {
  for (auto& [to, message] : vms_[vm].process->sync.TakeMessages()) {
    if (!vms_[vm].cut) {
      messages_[{vm, static_cast<std::size_t>(to) - 1}].push_back(
          std::move(message));
    }
  }
}

void StateExchange::Wait(core::Duration time) {
  now_ += time;
  for (std::size_t i = 0; i < kVms; ++i) {
    RunTimers(i);
  }
}

void StateExchange::RunTimers(std::size_t vm) {
  if (!vms_[vm].paused) {
    Process& process = *vms_[vm].process;
    process.sync.OnTimer(now_, process.random);
    static_cast<void>(process.registry.ApplyDueRemovals(now_));
    CollectMessages(vm);
  }
}

void StateExchange::CalmDown() {
  store_available_ = true;
  for (std::size_t i = 0; i < kVms; ++i) {
    vms_[i].cut = false;
    vms_[i].paused = false;
  }
  for (int round = 0; round < kCalmRounds; ++round) {
    Wait(kShortWait);
    for (std::size_t i = 0; i < kVms; ++i) {
      SendRequests(i);
      ReceiveAnswers(i);
    }
    for (std::size_t from = 0; from < kVms; ++from) {
      for (std::size_t to = 0; to < kVms; ++to) {
        while (MoveMessage(from, to, true)) {
        }
      }
    }
  }
}

std::optional<std::string> StateExchange::Violation() const {
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    const std::uint64_t position = vms_[vm].process->sync.Position();
    if (position > log_.size()) {
      return fmt::format("VM {} is ahead of the store", vm);
    }
    // Latest record of each server before the position.
    std::map<std::size_t, std::size_t> latest;
    for (std::size_t i = 0; i < position; ++i) {
      latest[log_[i].server] = i;
    }
    for (const auto& [server, offset] : latest) {
      auto violation = log_[offset].removed ? UseOfRemoved(vm, offset)
                                            : LackOfReported(vm, offset);
      if (violation) {
        return violation;
      }
    }
  }
  return std::nullopt;
}

/// Violation if a VM uses a server after the removal at an offset.
std::optional<std::string> StateExchange::UseOfRemoved(
    std::size_t vm, std::size_t offset) const {
  const std::string id = IdOf(log_[offset].server);
  const auto& servers = vms_[vm].process->registry.Servers();
  const auto it = servers.find(id);
  if (it == servers.end() ||
      static_cast<std::size_t>(it->second.record.sequence) > offset) {
    return std::nullopt;
  }
  if (!it->second.remove_at) {
    return fmt::format("VM {} at {} uses {}, removed at {}", vm,
                       vms_[vm].process->sync.Position(), id, offset);
  }
  if (*it->second.remove_at > now_ + kMaxDeferral) {
    return fmt::format("VM {} defers the removal of {} for too long", vm, id);
  }
  return std::nullopt;
}

/// Violation if a VM lacks a server after the report at an offset, and the
/// server has not been removed since.
std::optional<std::string> StateExchange::LackOfReported(
    std::size_t vm, std::size_t offset) const {
  const std::size_t server = log_[offset].server;
  const Process& process = *vms_[vm].process;
  const bool removed = std::any_of(
      log_.begin() + static_cast<std::ptrdiff_t>(offset), log_.end(),
      [server](const Record& it) { return it.server == server && it.removed; });
  if (removed || process.registry.Servers().contains(IdOf(server))) {
    return std::nullopt;
  }
  return fmt::format("VM {} at {} lacks {}, reported at {}", vm,
                     process.sync.Position(), IdOf(server), offset);
}

std::optional<std::string> StateExchange::Disagreement() const {
  std::set<std::string> live;
  for (std::size_t i = 0; i < kEntries; ++i) {
    if (IsLive(i)) {
      live.insert(IdOf(i));
    }
  }
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    std::set<std::string> known;
    for (const auto& [id, it] : vms_[vm].process->registry.Servers()) {
      known.insert(id);
    }
    if (known != live) {
      return fmt::format("VM {} has {} servers after calm, the store {}", vm,
                         known.size(), live.size());
    }
  }
  return std::nullopt;
}

}  // namespace bambootack::model

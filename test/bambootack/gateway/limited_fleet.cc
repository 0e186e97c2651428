#include "bambootack/gateway/limited_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "bambootack/gateway/gateway_fixture.h"

namespace bambootack::gateway {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr core::Duration kNetworkDelay = microseconds(500);
constexpr core::Duration kLostConnection = milliseconds(200);
constexpr int kSlots = 4;
constexpr int kQueue = 16;

// What the platform tolerates, from `stableWindowMs` after a server first named
// its limit.
constexpr core::Duration kStableWindow = milliseconds(3000);
constexpr core::Duration kWindow = milliseconds(4000);
constexpr core::Duration kTellingTime = milliseconds(500);
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5.0;

core::VmId IdOf(std::size_t vm) {
  return core::VmId{static_cast<std::uint32_t>(vm + 1)};
}

std::string AddressOf(std::size_t server) {
  return fmt::format("10.0.0.{}:80", server + 1);
}

std::string ServerId(std::size_t server) { return fmt::format("s{}", server); }

double Seconds(core::Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

LimitedFleet::LimitedFleet(LimitedFleetShape shape)
    : shape_(shape),
      random_(shape.seed),
      vms_(shape.vms),
      servers_(shape.servers) {
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    Start(i);
  }
  events_.At(events_.Now() + milliseconds(100), [this] { SendRequest(); });
}

void LimitedFleet::Start(std::size_t vm) {
  Vm& it = vms_[vm];
  ++it.epoch;
  it.told.clear();
  it.disturbed_at = it.epoch == 1 ? core::Time{} : events_.Now();
  GatewayOptions options = GatewayFixture::Options(IdOf(vm));
  it.gateway = std::make_unique<Gateway>(
      options, shape_.seed * 1000 + vm + it.epoch * 100'000);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    ServerRecord record;
    record.id = ServerId(i);
    record.service = "desk";
    record.address = AddressOf(i);
    record.failure_domain = "west";
    record.slots = kSlots;
    it.gateway->Registry().Apply(record, i, events_.Now());
  }
  GatewayConfig config;
  config.version = 1;
  config.services = {"desk"};
  config.routes = {GatewayFixture::Route("book", "/book/", false),
                   GatewayFixture::Route("read", "/read/", true)};
  it.gateway->Configure(std::move(config), events_.Now());
  it.gateway->Sync().RecordStoreRead(servers_.size(), events_.Now(),
                                     events_.Now());
  it.gateway->Sync().MarkFleetKnown();
  it.gateway->ApplyRegistry(events_.Now());
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    it.gateway->AddPeer({IdOf(i), {}, "10.0.1.1:7000", "west"});
  }
  Process(vm);
}

void LimitedFleet::Restart(std::size_t vm) { Start(vm); }

void LimitedFleet::Stop(std::size_t vm) {
  if (vms_[vm].gateway) {
    vms_[vm].gateway->BeginShutdown(
        PlanShutdown(events_.Now(), milliseconds(6000)));
    Process(vm);
  }
}

void LimitedFleet::SetConnected(std::size_t a, std::size_t b, bool connected) {
  const auto pair = std::minmax(a, b);
  if (connected) {
    disconnected_.erase(pair);
  } else {
    disconnected_.insert(pair);
  }
}

void LimitedFleet::SetCut(std::size_t vm, bool cut) {
  vms_[vm].cut = cut;
  vms_[vm].disturbed_at = events_.Now();
}

std::size_t LimitedFleet::Dispatcher(std::size_t of) const {
  PeerDirectory directory(IdOf(of));
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    directory.Add({IdOf(i), {}, "10.0.1.1:7000", "west"});
  }
  return static_cast<std::size_t>(
             directory.ChooseDispatcher("desk/0", events_.Now())) -
         1;
}

void LimitedFleet::SetLimit(std::size_t server, std::vector<std::string> fields,
                            std::optional<double> rate) {
  Server& it = servers_[server];
  it.fields = std::move(fields);
  it.changes.push_back({events_.Now(), rate});
  if (!rate) {
    it.first_named.reset();
  }
}

void LimitedFleet::RunFor(core::Duration time) {
  events_.RunUntil(events_.Now() + time);
}

void LimitedFleet::Process(std::size_t vm) {
  Vm& it = vms_[vm];
  if (!it.gateway) {
    return;
  }
  it.gateway->OnTimer(events_.Now());
  for (GatewayAction& action : it.gateway->TakeActions()) {
    Perform(vm, action);
  }
  const core::Time next =
      std::max(*it.gateway->NextTimer(), events_.Now() + milliseconds(1));
  it.timer = next;
  events_.At(next, [this, vm, next, epoch = it.epoch] {
    if (vms_[vm].epoch == epoch && vms_[vm].timer == next) {
      Process(vm);
    }
  });
}

void LimitedFleet::Perform(std::size_t vm, GatewayAction& action) {
  const bool cut = vms_[vm].cut;
  if (const auto* answer = std::get_if<node::AnswerCaller>(&action)) {
    NoteAnswer(vm, answer->http);
  } else if (auto* attempt = std::get_if<StartAttempt>(&action)) {
    const InFlight it{
        vm, vms_[vm].epoch, attempt->id,
        std::string(core::FindHeader(attempt->http.headers, "Request-Id")
                        .value_or(""))};
    const auto server = std::strtoul(
        attempt->address.c_str() + std::string_view("10.0.0.").size(), nullptr,
        10);
    if (cut) {
      events_.At(events_.Now() + kLostConnection, [this, it] {
        Finish(it, node::AttemptEnd::kNotConnected, {});
      });
    } else {
      events_.At(events_.Now() + kNetworkDelay,
                 [this, it, server] { Arrive(server - 1, it); });
    }
  } else if (auto* message = std::get_if<SendToPeer>(&action)) {
    const auto to = static_cast<std::size_t>(message->vm) - 1;
    if (cut || disconnected_.contains(std::minmax(vm, to)) ||
        random_.Unit() < shape_.peer_loss) {
      return;
    }
    events_.At(events_.Now() + kNetworkDelay,
               [this, vm, to, text = std::move(message->message),
                epoch = vms_[to].epoch]() mutable {
                 Vm& it = vms_[to];
                 if (it.gateway && it.epoch == epoch && !it.cut) {
                   it.gateway->OnMessage(IdOf(vm), std::move(text),
                                         events_.Now());
                   Process(to);
                 }
               });
  }
}

/// Each request goes to a VM at random, as the balancer sends them.
void LimitedFleet::SendRequest() {
  const double gap =
      -std::log(1.0 - random_.Unit()) / shape_.requests_per_second;
  events_.At(events_.Now() + microseconds(static_cast<std::int64_t>(gap * 1e6)),
             [this] { SendRequest(); });
  const std::size_t vm = random_.Below(vms_.size());
  if (!vms_[vm].gateway || vms_[vm].cut) {
    return;
  }
  const std::string id = std::to_string(++last_request_);
  vms_[vm].gateway->OnRequest(
      core::CallerId{last_request_},
      {"POST",
       random_.Unit() < 0.3 ? "/read/1" : "/book/1",
       {{"Host", "a.example"}, {"Request-Id", id}, {"Time-Left-Ms", "1400"}},
       id},
      events_.Now());
  Process(vm);
}

void LimitedFleet::Arrive(std::size_t server, const InFlight& it) {
  Server& state = servers_[server];
  const auto told = vms_[it.vm].told.find(server);
  state.arrivals.push_back({events_.Now(), it.vm,
                            told != vms_[it.vm].told.end() &&
                                told->second + kTellingTime <= events_.Now()});
  CheckLimit(server);
  if (random_.Unit() < shape_.server_loss) {
    events_.At(events_.Now() + kNetworkDelay,
               [this, it] { Finish(it, node::AttemptEnd::kLost, {}); });
    return;
  }
  if (state.executing >= kSlots + kQueue) {
    Answer(server, it, 503, {{"Not-Run", "1"}});
    return;
  }
  ++state.executing;
  const double ms =
      shape_.work_ms * (0.5 + random_.Unit()) *
      std::max(1.0, static_cast<double>(state.executing) / kSlots);
  events_.At(
      events_.Now() + microseconds(static_cast<std::int64_t>(ms * 1000.0)),
      [this, server, it] {
        --servers_[server].executing;
        Answer(server, it, 200, {{"Signature", "x"}});
      });
}

void LimitedFleet::Answer(std::size_t server, const InFlight& it, int status,
                          core::Headers headers) {
  Server& state = servers_[server];
  headers.push_back({"Request-Id", it.request});
  headers.push_back({"Server", ServerId(server)});
  for (const std::string& field : state.fields) {
    headers.push_back({"Limit", field});
  }
  if (!state.changes.empty() && state.changes.back().rate &&
      !state.first_named) {
    state.first_named = events_.Now();
  }
  events_.At(events_.Now() + kNetworkDelay, [this, it, status,
                                             headers = std::move(headers)] {
    Finish(it, node::AttemptEnd::kAnswered, {status, headers, "body"});
  });
}

void LimitedFleet::Finish(const InFlight& it, node::AttemptEnd end,
                          core::HttpAnswer answer) {
  Vm& vm = vms_[it.vm];
  if (vm.gateway && vm.epoch == it.epoch) {
    vm.gateway->OnAttemptFinished(it.attempt, end, std::move(answer),
                                  events_.Now());
    Process(it.vm);
  }
}

void LimitedFleet::NoteAnswer(std::size_t vm, const core::HttpAnswer& answer) {
  const auto server = core::FindHeader(answer.headers, "Server");
  if (!server) {
    ++refused_;
    return;
  }
  ++served_;
  if (core::FindHeader(answer.headers, "Limit")) {
    vms_[vm].told.try_emplace(
        std::strtoul(std::string(server->substr(1)).c_str(), nullptr, 10),
        events_.Now());
  }
}

/// Requests that a server allows in the window that ends now, or nothing while
/// no limit counts.
std::optional<double> LimitedFleet::Allowed(const Server& server) const {
  if (!server.first_named ||
      *server.first_named + kStableWindow > events_.Now()) {
    return std::nullopt;
  }
  double allowed = 0.0;
  core::Time until = events_.Now();
  for (auto it = server.changes.rbegin(); it != server.changes.rend(); ++it) {
    if (!it->rate) {
      return std::nullopt;
    }
    const core::Time from = std::max(it->at, events_.Now() - kWindow);
    if (from < until) {
      allowed += *it->rate * Seconds(until - from);
      until = from;
    }
    if (it->at <= events_.Now() - kWindow) {
      break;
    }
  }
  // Before it was named, the first limit is taken to hold as well.
  allowed += server.changes.front().rate.value_or(0.0) *
             Seconds(until - (events_.Now() - kWindow));
  return allowed * kTolerance + kSlack;
}

void LimitedFleet::CheckLimit(std::size_t server) {
  Server& state = servers_[server];
  const auto allowed = Allowed(state);
  if (!allowed) {
    return;
  }
  const auto got = std::count_if(
      state.arrivals.begin(), state.arrivals.end(), [&](const Arrival& it) {
        const Vm& vm = vms_[it.vm];
        const bool excused =
            vm.cut || (vm.disturbed_at != core::Time{} &&
                       vm.disturbed_at + kStableWindow > it.at);
        return it.counts && it.at > events_.Now() - kWindow && !excused;
      });
  if (static_cast<double>(got) > *allowed) {
    broken_.push_back(
        fmt::format("{:.3f} s: {} got {} requests in 4 s, allowed {:.1f}",
                    Seconds(events_.Now().time_since_epoch()), ServerId(server),
                    got, *allowed));
  }
}

std::size_t LimitedFleet::Arrivals(std::size_t server,
                                   core::Duration within) const {
  const auto& arrivals = servers_[server].arrivals;
  return static_cast<std::size_t>(std::count_if(
      arrivals.begin(), arrivals.end(),
      [&](const Arrival& it) { return it.at > events_.Now() - within; }));
}

}  // namespace bambootack::gateway

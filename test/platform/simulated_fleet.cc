#include "platform/simulated_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "bambootack/gateway/codec.h"
#include "standin/common/encoding.h"
#include "standin/common/query.h"

namespace bambootack::platform {
namespace {

using standin::Base64;
using standin::BigEndian;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr core::Duration kNetworkDelay = microseconds(500);
constexpr core::Duration kStoreDelay = milliseconds(4);
constexpr std::size_t kStoreRequestBytes = 300;
constexpr std::size_t kFrameOverhead = 60;

std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  return standin::QueryInteger(target, name).value_or(0);
}

std::string ServerId(std::size_t number) {
  return fmt::format("i-{:010x}", number);
}

core::VmId IdOf(std::size_t vm) {
  return core::VmId{static_cast<std::uint32_t>(vm + 1)};
}

}  // namespace

SimulatedFleet::SimulatedFleet(FleetShape shape)
    : shape_(shape), random_(shape.seed), vms_(shape.vms) {
  PublishConfig(1);
  for (std::size_t i = 0; i < shape_.servers; ++i) {
    ReportServer(i, false);
  }
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    Start(i);
  }
}

void SimulatedFleet::Start(std::size_t vm) {
  Vm& it = vms_[vm];
  ++it.epoch;
  gateway::GatewayOptions options;
  options.vm = IdOf(vm);
  options.peer_address = "10.0.0.1:1";
  options.failure_domain = "west";
  it.gateway = std::make_unique<gateway::Gateway>(
      options, shape_.seed * 1000 + vm + it.epoch * 100'000);
  it.store = std::make_unique<StoreClient>(*it.gateway,
                                           [](log::EventId, std::string) {});
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    it.gateway->AddPeer({IdOf(i), {}, "10.0.0.1:1", "west"});
  }
  it.gateway->Sync().MarkFleetKnown();
  it.gateway->Sync().SetFirstReadTime(
      events_.Now() + (it.epoch == 1 ? milliseconds(6000) : milliseconds(0)));
  events_.At(events_.Now() + core::Duration(random_.Below(60'000)),
             [this, vm] { Process(vm); });
}

void SimulatedFleet::Restart(std::size_t vm) { Start(vm); }

void SimulatedFleet::SetConnected(std::size_t vm, bool connected) {
  vms_[vm].connected = connected;
}

void SimulatedFleet::RunFor(core::Duration time) {
  events_.RunUntil(events_.Now() + time);
}

/// Performs the actions of a VM that follow from the last event.
void SimulatedFleet::Process(std::size_t vm) {
  Vm& it = vms_[vm];
  it.gateway->OnTimer(events_.Now());
  for (StoreClient::Request& request : it.store->NextRequests(events_.Now())) {
    SendToStore(vm, std::move(request));
  }
  for (const gateway::GatewayAction& action : it.gateway->TakeActions()) {
    if (const auto* message = std::get_if<gateway::SendToPeer>(&action)) {
      SendToPeer(vm, *message);
    }
  }
  core::Time next = *it.gateway->NextTimer();
  if (const auto store = it.store->NextTimer(events_.Now())) {
    next = std::min(next, *store);
  }
  next = std::max(next, events_.Now() + milliseconds(1));
  it.timer = next;
  events_.At(next, [this, vm, next, epoch = it.epoch] {
    if (vms_[vm].epoch == epoch && vms_[vm].timer == next) {
      Process(vm);
    }
  });
}

core::Time SimulatedFleet::PassLink(Vm& vm, std::size_t bytes) {
  const core::Time start = std::max(events_.Now(), vm.link_free_at);
  vm.link_free_at =
      start + microseconds(bytes * 1'000'000 / shape_.link_bytes_per_second);
  longest_link_wait_ = std::max(
      longest_link_wait_,
      std::chrono::duration_cast<core::Duration>(start - events_.Now()));
  return vm.link_free_at + kNetworkDelay;
}

void SimulatedFleet::SendToPeer(std::size_t vm,
                                const gateway::SendToPeer& action) {
  const auto to = static_cast<std::size_t>(action.vm) - 1;
  const std::size_t bytes =
      gateway::Encode(action.message).size() + kFrameOverhead;
  const core::Time arrival = PassLink(vms_[vm], bytes);
  events_.At(arrival, [this, vm, to, message = action.message,
                       epoch = vms_[to].epoch]() mutable {
    Vm& it = vms_[to];
    if (it.epoch == epoch && it.connected && it.receives_from_peers &&
        vms_[vm].connected) {
      it.gateway->OnMessage(IdOf(vm), std::move(message), events_.Now());
      Process(to);
    }
  });
}

void SimulatedFleet::SendToStore(std::size_t vm, StoreClient::Request request) {
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, vm, epoch = vms_[vm].epoch, answered,
                       kind = request.topic](const Answer& answer) {
    if (!std::exchange(*answered, true) && vms_[vm].epoch == epoch) {
      vms_[vm].store->OnAnswer(kind, answer, events_.Now(), random_);
      Process(vm);
    }
  };
  events_.At(events_.Now() + request.request.timeout,
             [finish] { finish(std::nullopt); });
  events_.At(
      PassLink(vms_[vm], kStoreRequestBytes),
      [this, vm, finish, target = std::move(request.request.http.target)] {
        if (!vms_[vm].connected) {
          return;
        }
        const core::Time hold_until =
            events_.Now() + milliseconds(QueryNumber(target, "waitMs"));
        AnswerFromStore(target, hold_until, [this, vm, finish](Answer answer) {
          if (vms_[vm].connected) {
            finish(answer);
          }
        });
      });
}

/// Answers after the store's delay. Holds a read of no records until one
/// arrives, and polls for it.
void SimulatedFleet::AnswerFromStore(const std::string& target,
                                     core::Time hold_until,
                                     std::function<void(Answer)> on_answer) {
  const Topic& topic =
      topics_[target.find("keyed.op") != std::string::npos ? "keyed.op"
                                                           : "keyed.servers"];
  const std::uint64_t from = QueryNumber(target, "from");
  const bool is_read = target.find("log-read") != std::string::npos;
  const bool holds = is_read && from >= topic.records.size();
  if (store_available_ && holds && events_.Now() < hold_until) {
    events_.At(
        events_.Now() + milliseconds(1),
        [this, target, hold_until, on_answer = std::move(on_answer)]() mutable {
          AnswerFromStore(target, hold_until, std::move(on_answer));
        });
    return;
  }
  core::HttpAnswer answer{503, {}, ""};
  if (store_available_) {
    answer = {200, {}, is_read ? ReadPage(topic, from) : NewestPage(topic)};
  }
  events_.At(events_.Now() + kStoreDelay,
             [answer = std::move(answer), on_answer = std::move(on_answer)] {
               on_answer(answer);
             });
}

std::string SimulatedFleet::NewestPage(const Topic& topic) {
  std::string items;
  for (const auto& [key, offset] : topic.newest) {
    if (!topic.records[offset].value) {
      continue;
    }
    items += fmt::format(R"({}{{"key":"{}","value":"{}","offset":{}}})",
                         items.empty() ? "" : ",", key,
                         Base64(*topic.records[offset].value), offset);
  }
  return fmt::format(R"({{"items":[{}],"hasMore":false,"end":{}}})", items,
                     topic.records.size());
}

std::string SimulatedFleet::ReadPage(const Topic& topic, std::uint64_t from) {
  std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < topic.records.size(); ++i) {
    const KeyedRecord& it = topic.records[i];
    const std::string record =
        BigEndian(it.key.size(), 1) + it.key + it.value.value_or("");
    body += BigEndian(record.size(), 4) + record;
  }
  return body;
}

void SimulatedFleet::Append(const std::string& topic, std::string key,
                            std::optional<std::string> value) {
  Topic& it = topics_[topic];
  it.newest[key] = it.records.size();
  it.records.push_back({std::move(key), std::move(value), it.records.size()});
}

void SimulatedFleet::PublishConfig(std::uint64_t version, std::size_t routes) {
  std::string rows;
  for (std::size_t i = 0; i < routes; ++i) {
    rows += fmt::format(
        R"({}["route-{}","a.example","/path-{}/","safe",1500,600,0,"desk",2])",
        i == 0 ? "" : ",", i, i);
  }
  Append("keyed.op", "config",
         fmt::format(R"({{"version":"r{}","routes":{{"columns":["name","host",)"
                     R"("pathPrefix","routeType","timeoutMs",)"
                     R"("targetLatencyMs","priority","service","maxAttempts"],)"
                     R"("rows":[{}]}},"services":{{"columns":["name"],)"
                     R"("rows":[["desk"]]}}}})",
                     version, rows));
}

void SimulatedFleet::ReportServer(std::size_t number, bool draining) {
  Append("keyed.servers", ServerId(number),
         fmt::format(R"({{"service":"desk","address":"10.2.{}.{}:8526",)"
                     R"("zone":"west","slots":3,"state":"{}",)"
                     R"("warmupLeftMs":0,"seq":{},"born":1700000000000}})",
                     number / 250, number % 250 + 1,
                     draining ? "draining" : "ready", draining ? 2 : 1));
}

void SimulatedFleet::RemoveServer(std::size_t number) {
  Append("keyed.servers", ServerId(number), std::nullopt);
}

std::vector<std::size_t> SimulatedFleet::VmsWithServer(
    std::size_t number) const {
  std::vector<std::size_t> result;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    if (vms_[i].gateway->Registry().Servers().contains(ServerId(number))) {
      result.push_back(i);
    }
  }
  return result;
}

std::uint64_t SimulatedFleet::Version(std::size_t vm) const {
  return vms_[vm].gateway->Routes().Version();
}

std::vector<std::size_t> SimulatedFleet::VmsWithoutVersion(
    std::uint64_t version) const {
  std::vector<std::size_t> result;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    if (Version(i) != version) {
      result.push_back(i);
    }
  }
  return result;
}

std::size_t SimulatedFleet::StoreReader() const {
  std::size_t vm = 0;
  while (!IsStoreReader(vm)) {
    ++vm;
  }
  return vm;
}

bool SimulatedFleet::IsStoreReader(std::size_t vm) const {
  return vms_[vm].gateway->Sync().IsStoreReader(events_.Now());
}

}  // namespace bambootack::platform

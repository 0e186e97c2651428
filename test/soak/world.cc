#include "soak/world.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <string_view>
#include <thread>
#include <utility>

namespace soak {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 3> kDomains{"west", "north", "east"};
constexpr std::array<std::string_view, 2> kServices{"desk", "pay"};

constexpr int kCallerPort = 9100;
constexpr int kOperatorPort = 9101;
constexpr int kMetricsPort = 9102;
constexpr int kPeerPort = 9103;
constexpr int kStorePathPort = 9105;
constexpr int kServerPort = 9106;
constexpr int kServerPathPort = 9107;
constexpr std::size_t kStoreHost = 1;
constexpr std::size_t kFirstVmHost = 2;
constexpr std::size_t kFirstServerHost = 150;

/// Times of the deployments (SYSTEM, "Bounds"; PROTOCOL, "Service discovery").
constexpr core::Duration kGrace = std::chrono::seconds(6);
constexpr core::Duration kDrainTime = milliseconds(2000);
constexpr core::Duration kLapseTime = milliseconds(4500);
constexpr core::Duration kRestartDelay = milliseconds(200);

constexpr std::string_view kSettings = R"(name = "vm-{0}"
failure_domain = "{1}"
caller_address = "{2}:{3}"
operator_address = "{2}:{4}"
metrics_address = "{2}:{5}"
peer_address = "{2}:{6}"
store_address = "{2}:{7}"
platform_bounds = '{{"retryBudgetRatio":0.2,"retryBudgetSlack":80,"retryWindowS":10,"graceS":6,"drainMs":2000,"configApplyMs":2000}}'
first_start = {8}
)";

/// Loopback addresses of one run, so that runs at the same time stay apart.
std::string NetworkOfProcess() {
  const auto pid = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}", 16 + ((pid >> 8) % 200), pid & 0xFF);
}

std::string_view RouteType(const SoakRoute& route) {
  if (route.prefix == kDownloadPrefix) {
    return "download";
  }
  return route.repeatable ? "safe" : "non_idempotent";
}

}  // namespace

World::World(SoakOptions given)
    : options(std::move(given)),
      random(options.seed),
      ledger(view),
      store(io, fmt::format("{}.{}:{}", NetworkOfProcess(), kStoreHost, 9100),
            options.seed),
      network_(NetworkOfProcess()) {
  view.gateways.resize(options.gateways);
  view.store_paths.resize(options.gateways);
  view.stopping.resize(options.gateways);
  for (std::size_t i = 0; i < options.gateways; ++i) {
    AddVm(i);
  }
  for (std::size_t i = 0; i < options.servers; ++i) {
    AddServer(i);
  }
}

core::Time World::Now() {
  return core::Time(std::chrono::duration_cast<core::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

std::string World::Ip(std::size_t host) const {
  return fmt::format("{}.{}", network_, host);
}

std::string World::NewId() { return fmt::format("i-{}", ++last_id_); }

void World::AddVm(std::size_t number) {
  Vm vm;
  vm.ip = Ip(kFirstVmHost + number);
  vm.failure_domain = kDomains[number % kDomains.size()];
  vm.log_file = fmt::format("{}/vm-{}.log", options.folder, number);
  vm.front = std::make_unique<FaultProxy>(
      io, fmt::format("{}:{}", vm.ip, kFrontPort),
      fmt::format("{}:{}", vm.ip, kCallerPort), random.Engine()());
  vm.store_path = std::make_unique<FaultProxy>(
      io, fmt::format("{}:{}", vm.ip, kStorePathPort),
      fmt::format("{}:{}", Ip(kStoreHost), store.Port()), random.Engine()());
  vms.push_back(std::move(vm));
}

void World::AddServer(std::size_t number) {
  const std::string ip = Ip(kFirstServerHost + number);
  Server server;
  server.address = fmt::format("{}:{}", ip, kServerPathPort);
  server.failure_domain = kDomains[number % kDomains.size()];
  server.service = kServices[number % 3 == 2 ? 1 : 0];
  server.backend = std::make_unique<Backend>(
      io, fmt::format("{}:{}", ip, kServerPort), random.Engine()(),
      [this, number](const bambootack::core::HttpRequest& http) {
        const Server& it = servers[number];
        ledger.NoteRun(http, it.backend->Id(), it.service, Now());
      },
      [this, number](const bambootack::core::HttpRequest& http,
                     core::Duration pause) {
        ledger.NoteRefused(http, servers[number].backend->Id(), pause, Now());
      });
  server.backend->Restart(NewId());
  server.path = std::make_unique<FaultProxy>(
      io, server.address, fmt::format("{}:{}", ip, kServerPort),
      random.Engine()());
  servers.push_back(std::move(server));
}

void World::Start(std::size_t number, bool first) {
  Vm& vm = vms[number];
  const std::string path = fmt::format("{}/vm-{}.toml", options.folder, number);
  std::ofstream(path) << fmt::format(
      kSettings, number, vm.failure_domain, vm.ip, kCallerPort, kOperatorPort,
      kMetricsPort, kPeerPort, kStorePathPort, first);
  vm.process = std::make_unique<bench::Process>(
      std::vector<std::string>{options.build + "/bambootack-gateway",
                               "--settings", path},
      vm.log_file);
  ++vm.start;
  vm.stop_expected = false;
  vm.missed = 2;
}

void World::Kill(std::size_t number, core::Duration down) {
  Vm& vm = vms[number];
  if (!vm.process || vm.stop_expected) {
    return;
  }
  Disturb(
      down, view.gateways[number],
      [&] {
        vm.process->Signal(SIGKILL);
        vm.process->Wait();
        vm.process.reset();
        vm.missed = 2;
      },
      [this, number] {
        if (!ending_) {
          Start(number, false);
        }
      });
}

void World::Stop(std::size_t number) {
  Vm& vm = vms[number];
  if (!vm.process || vm.stop_expected) {
    return;
  }
  ++active_faults;
  vm.stop_expected = true;
  view.stopping[number] = Now();
  vm.process->Signal(SIGTERM);
  After(kGrace, [this, number, start = vm.start] {
    Vm& it = vms[number];
    if (it.process && it.start == start) {
      it.process->Signal(SIGCONT);
      it.process->Signal(SIGKILL);
    }
  });
}

void World::Pause(std::size_t number, core::Duration time) {
  Vm& vm = vms[number];
  if (!vm.process) {
    return;
  }
  const std::uint64_t start = vm.start;
  Disturb(
      time, view.gateways[number], [&] { vm.process->Signal(SIGSTOP); },
      [this, number, start] {
        Vm& it = vms[number];
        if (it.process && it.start == start) {
          it.process->Signal(SIGCONT);
        }
      });
}

void World::WatchProcesses() {
  for (std::size_t i = 0; i < vms.size(); ++i) {
    Vm& vm = vms[i];
    if (!vm.process || vm.process->IsRunning()) {
      continue;
    }
    const int code = vm.process->Wait();
    vm.process.reset();
    vm.missed = 2;
    const bool calm = view.gateways[i].IsCalm(Now());
    if (!vm.stop_expected || (code != 0 && calm)) {
      ledger.Break(vm.stop_expected ? "LOST" : "FAULT",
                   fmt::format("gateway={} ended with code {}", i, code),
                   Now());
    }
    active_faults -= vm.stop_expected ? 1 : 0;
    view.stopping[i].reset();
    if (!ending_) {
      Disturb(
          kRestartDelay, view.gateways[i], [] {},
          [this, i] { Start(i, false); });
    }
  }
}

void World::StopAll() {
  ending_ = true;
  for (std::size_t i = 0; i < vms.size(); ++i) {
    Stop(i);
  }
}

void World::Crash(std::size_t number, core::Duration down) {
  Server& server = servers[number];
  if (!server.up || server.draining) {
    return;
  }
  ++active_faults;
  server.up = false;
  server.path->SetDown(true);
  const std::string id = server.backend->Id();
  server.backend->Restart("none");
  After(kLapseTime, [this, number, id] {
    if (!servers[number].up) {
      RemoveEntry(id);
    }
  });
  const bool same_id = random.Unit() < 0.5;
  After(down, [this, number, id, same_id] {
    if (!same_id) {
      RemoveEntry(id);
    }
    ComeBack(servers[number], same_id ? id : NewId());
    --active_faults;
  });
}

void World::AnnounceLeaving(std::size_t number, core::Duration until_report) {
  Server& server = servers[number];
  if (!server.up || server.draining || server.backend->leaving) {
    return;
  }
  server.backend->leaving = true;
  ++active_faults;
  After(until_report, [this, number, id = server.backend->Id()] {
    ReportLeaving(number, id);
    --active_faults;
  });
}

/// Drains a server that has announced it, once the store takes its report.
void World::ReportLeaving(std::size_t number, const std::string& id) {
  if (servers[number].backend->Id() != id) {
    return;
  }
  Drain(number);
  if (!servers[number].draining) {
    ++active_faults;
    After(milliseconds(200), [this, number, id] {
      ReportLeaving(number, id);
      --active_faults;
    });
  }
}

void World::Drain(std::size_t number) {
  Server& server = servers[number];
  if (!server.up || server.draining || !store.TakesWrites()) {
    return;
  }
  ++active_faults;
  server.draining = true;
  server.backend->leaving = true;
  const std::string id = server.backend->Id();
  WriteEntry(server);
  ledger.NoteLeaving(id, Now());
  const core::Duration stay =
      kDrainTime + milliseconds(500 + random.Below(2000));
  After(stay, [this, number, id] {
    Server& it = servers[number];
    it.up = false;
    it.path->SetDown(true);
    it.backend->Restart("none");
    RemoveEntry(id);
    After(kDrainTime, [this, number] {
      Server& again = servers[number];
      again.draining = false;
      if (random.Unit() < 0.3 && number % 3 != 0) {
        again.service = kServices[again.service == kServices[0] ? 1 : 0];
      }
      ComeBack(again, NewId());
      --active_faults;
    });
  });
}

void World::ComeBack(Server& server, std::string id) {
  ledger.NoteStart(id);
  server.backend->Restart(std::move(id));
  server.path->SetDown(false);
  server.up = true;
  server.reports = 0;
  server.started += 1000;
  WriteEntry(server);
}

void World::Report() {
  for (Server& it : servers) {
    if (it.up) {
      WriteEntry(it);
    }
  }
}

void World::WriteEntry(Server& server) {
  if (!store.TakesWrites()) {
    return;
  }
  store.Put("keyed.servers", server.backend->Id(),
            fmt::format(R"({{"service":"{}","address":"{}","zone":"{}",)"
                        R"("version":"v1","slots":4,"state":"{}",)"
                        R"("warmupLeftMs":0,"seq":{},"born":{}}})",
                        server.service, server.address, server.failure_domain,
                        server.draining ? "draining" : "ready",
                        ++server.reports, 1'700'000'000'000 + server.started));
}

void World::RemoveEntry(const std::string& id) {
  store.Put("keyed.servers", id, "");
}

void World::Lapse() {
  for (std::size_t i = 0; i < servers.size(); i += 2) {
    if (servers[i].up) {
      RemoveEntry(servers[i].backend->Id());
    }
  }
  After(milliseconds(1200), [this] { Report(); });
}

void World::ChangeConfig() {
  if (!store.TakesWrites()) {
    return;
  }
  const bool first = version_ == 0;
  version_ += 1 + random.Below(3);
  flipped_ = !flipped_;
  SoakConfig config;
  config.version = version_;
  const std::string flip(kServices[flipped_ ? 1 : 0]);
  for (const SoakRoute& it : std::initializer_list<SoakRoute>{
           {"/book/", false, {"desk"}},
           {"/read/", true, {"desk"}},
           {"/pay/", false, {"pay"}},
           {"/flip/", true, {flip}},
           {std::string(kDownloadPrefix), true, {"desk"}},
           {fmt::format("/added-{}/", version_), true, {"desk"}}}) {
    config.routes[it.prefix] = it;
  }
  std::string rows;
  for (const auto& [prefix, it] : config.routes) {
    rows += fmt::format(
        R"({}["r{}","soak.example","{}","{}",1500,600,{},"{}",2,null])",
        rows.empty() ? "" : ",", prefix, prefix, RouteType(it),
        it.repeatable ? 1 : 0, *it.services.begin());
  }
  store.Put(
      "keyed.op", "config",
      fmt::format(
          R"({{"version":"r{}","routes":{{"columns":["name","host",)"
          R"("pathPrefix","routeType","timeoutMs","targetLatencyMs",)"
          R"("priority","service","maxAttempts","trafficSplit"],"rows":[{}]}},)"
          R"("services":{{"columns":["name","healthPath","maxConns",)"
          R"("protocol","tls"],"rows":[["desk","/health",400,"h1",false],)"
          R"(["pay","/health",400,"h1",false]]}},"limits":{{)"
          R"("maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
          R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}}}})",
          version_, rows));
  config.acknowledged = first ? core::Time{} : Now();
  ledger.NoteConfig(std::move(config));
}

void World::After(core::Duration delay, std::function<void()> run) {
  auto timer = std::make_shared<asio::steady_timer>(io);
  timer->expires_after(delay);
  timer->async_wait([timer, run = std::move(run)](std::error_code ec) {
    if (!ec) {
      run();
    }
  });
}

void World::Disturb(core::Duration time, Calm& calm,
                    const std::function<void()>& begin,
                    std::function<void()> end) {
  ++active_faults;
  calm.Begin();
  begin();
  After(time, [this, &calm, end = std::move(end)] {
    end();
    calm.End(Now());
    --active_faults;
  });
}

}  // namespace soak

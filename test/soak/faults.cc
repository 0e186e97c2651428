#include "soak/faults.h"

#include <fmt/format.h>
#include <signal.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace soak {
namespace {

using std::chrono::milliseconds;

core::Duration Between(World& world, std::uint64_t low_ms,
                       std::uint64_t high_ms) {
  return milliseconds(low_ms + world.random.Below(high_ms - low_ms + 1));
}

std::size_t AnyVm(World& world) { return world.random.Below(world.vms.size()); }

std::size_t AnyServer(World& world) {
  return world.random.Below(world.servers.size());
}

/// Disturbs one path for some time. `reset` says whether its open connections
/// break at the beginning.
void DisturbPath(World& world, FaultProxy& path, Calm& calm, PathFaults faults,
                 bool reset) {
  world.Disturb(
      Between(world, 300, 4000), calm,
      [&] {
        path.Faults() = faults;
        if (reset) {
          path.ResetAll();
        }
      },
      [&path] { path.Faults() = {}; });
}

void DisturbServer(World& world, PathFaults faults, bool reset = false) {
  Server& server = world.servers[AnyServer(world)];
  if (server.up && !server.draining) {
    DisturbPath(world, *server.path, world.unwatched, faults, reset);
  }
}

void DisturbFront(World& world, PathFaults faults, bool reset = false) {
  const std::size_t number = AnyVm(world);
  DisturbPath(world, *world.vms[number].front, world.view.gateways[number],
              faults, reset);
}

void DisturbStorePath(World& world, PathFaults faults, bool reset = false) {
  const std::size_t number = AnyVm(world);
  DisturbPath(world, *world.vms[number].store_path,
              world.view.store_paths[number], faults, reset);
}

void DisturbStore(World& world, const standin::StoreFaults& faults,
                  core::Duration time, bool lapse = false) {
  world.Disturb(
      time, world.view.store, [&] { world.store.Faults() = faults; },
      [&world, lapse] {
        world.store.Faults() = {};
        if (lapse) {
          world.Lapse();
        }
      });
}

/// Makes the work of a server fail in some way while it goes on reporting.
void DisturbWork(World& world, double Backend::*what, double value,
                 double normal) {
  Backend& backend = *world.servers[AnyServer(world)].backend;
  world.Disturb(
      Between(world, 1000, 5000), world.unwatched,
      [&] { backend.*what = value; },
      [&backend, what, normal] { backend.*what = normal; });
}

/// Lets a server name a limit. Odd texts name none; of several fields the
/// lowest counts.
void LimitServer(World& world) {
  struct Named {
    std::vector<std::string> fields;
    std::optional<double> rate;
  };
  const std::vector<Named> choices{
      {{"2"}, 2.0}, {{"2.7"}, 2.7},    {{"0.5"}, 0.5},
      {{"0"}, 0.0}, {{"4", "1"}, 1.0}, {{"nan", "1.5"}, 1.5},
      {{"-1"}, {}}, {{"nan"}, {}},     {{""}, {}}};
  const Named& named = choices[world.random.Below(choices.size())];
  Backend& backend = *world.servers[AnyServer(world)].backend;
  const std::string id = backend.Id();
  world.Disturb(
      Between(world, 4000, 12000), world.unwatched,
      [&] {
        backend.limits = named.fields;
        world.ledger.NoteLimit(id, named.rate, World::Now());
      },
      [&world, &backend, id] {
        if (backend.Id() == id) {
          backend.limits.clear();
          world.ledger.NoteLimit(id, std::nullopt, World::Now());
        }
      });
}

void KillAll(World& world) {
  const core::Duration down = Between(world, 200, 1500);
  for (std::size_t i = 0; i < world.vms.size(); ++i) {
    world.Kill(i, down);
  }
}

void RollStop(World& world) {
  for (std::size_t i = 0; i < world.vms.size() / 2; ++i) {
    world.After(milliseconds(700) * i, [&world, i] { world.Stop(i); });
  }
}

void ConfigStorm(World& world) {
  for (int i = 0; i < 6; ++i) {
    world.After(milliseconds(250) * i, [&world] { world.ChangeConfig(); });
  }
}

/// Entries of another writer, as a valid one with one odd field.
std::string ForgedServer(const std::string& field, const std::string& value) {
  std::map<std::string, std::string> fields{{"service", R"("desk")"},
                                            {"address", R"("127.0.0.1:9")"},
                                            {"zone", R"("a")"},
                                            {"slots", "4"},
                                            {"state", R"("ready")"},
                                            {"warmupLeftMs", "0"},
                                            {"seq", "1"},
                                            {"born", "1700000000000"}};
  fields[field] = value;
  std::string text;
  for (const auto& [name, it] : fields) {
    text += fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, it);
  }
  return text + "}";
}

void ForgeEntries(World& world) {
  constexpr std::size_t kDepth = 20'000;
  constexpr std::string_view kTopic = "keyed.servers";
  const std::vector<std::pair<std::string, std::string>> entries{
      {"forged", R"({"service":7,"state":"odd"})"},
      {"unreadable", "\x01\x02{"},
      {"0-key-\xc3\x28", "{}"},
      {"0-nested", ForgedServer("zone", std::string(kDepth, '[') +
                                            std::string(kDepth, ']'))},
      {"0-large-number", ForgedServer("slots", "1e400")},
      {"0-large-start", ForgedServer("born", "9007199254740991")},
      {"0-port", ForgedServer("address", R"("127.0.0.1:65536")")},
      {"0-long",
       ForgedServer("service", "\"" + std::string(200'000, 's') + "\"")}};
  const auto& [key, value] = entries[world.random.Below(entries.size())];
  world.store.Put(std::string(kTopic), key, value);
  world.store.Put("keyed.fleet", "member/::1:80", "a");
}

constexpr std::array kKinds{
    FaultKind{"kill",
              [](World& it) { it.Kill(AnyVm(it), Between(it, 100, 3000)); }},
    FaultKind{"kill-all", &KillAll},
    FaultKind{"pause",
              [](World& it) { it.Pause(AnyVm(it), Between(it, 200, 4000)); }},
    FaultKind{"stop", [](World& it) { it.Stop(AnyVm(it)); }},
    FaultKind{"roll-stop", &RollStop},
    FaultKind{"reload",
              [](World& it) {
                const Vm& vm = it.vms[AnyVm(it)];
                if (vm.process) {
                  vm.process->Signal(SIGHUP);
                }
              }},
    FaultKind{"front-reset", [](World& it) { DisturbFront(it, {}, true); }},
    FaultKind{"front-delay",
              [](World& it) { DisturbFront(it, {.delay = milliseconds(80)}); }},
    FaultKind{"front-one-way",
              [](World& it) { DisturbFront(it, {.drop_answers = true}); }},
    FaultKind{"store-path-silent",
              [](World& it) {
                DisturbStorePath(it,
                                 {.drop_requests = true, .drop_answers = true});
              }},
    FaultKind{"store-path-one-way",
              [](World& it) { DisturbStorePath(it, {.drop_answers = true}); }},
    FaultKind{"store-path-reset",
              [](World& it) { DisturbStorePath(it, {.refuse = true}, true); }},
    FaultKind{
        "store-path-delay",
        [](World& it) { DisturbStorePath(it, {.delay = milliseconds(300)}); }},
    FaultKind{"server-reset",
              [](World& it) { DisturbServer(it, {.reset = 0.8}); }},
    FaultKind{"server-truncate",
              [](World& it) { DisturbServer(it, {.truncate = 0.4}); }},
    FaultKind{
        "server-silent",
        [](World& it) { DisturbServer(it, {.drop_requests = true}, true); }},
    FaultKind{"server-answers-lost",
              [](World& it) { DisturbServer(it, {.drop_answers = true}); }},
    FaultKind{
        "server-delay",
        [](World& it) { DisturbServer(it, {.delay = milliseconds(60)}); }},
    FaultKind{"server-refuse",
              [](World& it) { DisturbServer(it, {.refuse = true}, true); }},
    FaultKind{"server-errors",
              [](World& it) { DisturbWork(it, &Backend::errors, 0.7, 0.0); }},
    FaultKind{"server-hang",
              [](World& it) { DisturbWork(it, &Backend::hang, 0.5, 0.0); }},
    FaultKind{"server-slow",
              [](World& it) { DisturbWork(it, &Backend::slow, 8.0, 1.0); }},
    FaultKind{
        "server-crash",
        [](World& it) { it.Crash(AnyServer(it), Between(it, 500, 6000)); }},
    FaultKind{"server-drain", [](World& it) { it.Drain(AnyServer(it)); }},
    FaultKind{"server-announces",
              [](World& it) {
                it.AnnounceLeaving(AnyServer(it), Between(it, 500, 4000));
              }},
    FaultKind{
        "server-pauses",
        [](World& it) { DisturbWork(it, &Backend::pause_seconds, 0.9, 0.0); }},
    FaultKind{"server-limits", &LimitServer},
    FaultKind{"store-down",
              [](World& it) {
                DisturbStore(it, {.down = true}, Between(it, 500, 4000));
              }},
    FaultKind{"store-silent-lapse",
              [](World& it) {
                DisturbStore(it, {.silent = true}, Between(it, 3000, 5500),
                             true);
              }},
    FaultKind{"store-slow",
              [](World& it) {
                DisturbStore(it, {.delay = milliseconds(250)},
                             Between(it, 500, 4000));
              }},
    FaultKind{"store-lost-appends",
              [](World& it) {
                DisturbStore(it, {.lost = 0.5, .late_by = milliseconds(1500)},
                             Between(it, 500, 4000));
              }},
    FaultKind{"store-rate",
              [](World& it) {
                DisturbStore(it, {.writes_a_second = 1.0},
                             Between(it, 500, 3000));
              }},
    FaultKind{"store-forgets", [](World& it) { it.store.ForgetHistory(); }},
    FaultKind{"store-forged", &ForgeEntries},
    FaultKind{"config-change", [](World& it) { it.ChangeConfig(); }},
    FaultKind{"config-storm", &ConfigStorm},
};

}  // namespace

std::span<const FaultKind> FaultKinds() noexcept { return kKinds; }

}  // namespace soak

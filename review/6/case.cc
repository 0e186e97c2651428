// A request that crashes each backend that begins to run it, at a service all
// of whose requests may run once only.
//
// Rule (RULES.md, Requests and answers, BUDGET): "A request that crashes the
// backends that run it reaches backends in more than three retries, sent by
// machines in touch later than stableWindowMs after it has crashed the third."

#include <fmt/format.h>

#include <cstdlib>

#include "review/rig-2.h"

namespace {

constexpr int kGateways = 3;
constexpr int kBackends = 12;
constexpr double kRunS = 70.0;
constexpr double kStableWindowS = 3.0;
constexpr int kMaxRetries = 3;
/// "The backend is back after some seconds": a new incarnation, with a new id.
constexpr double kBackAfterS = 4.0;
constexpr int kWorkMs = 60;
constexpr int kPoisonEveryMs = 2000;

/// As sfc-gateway-grown states them.
constexpr const char* kBounds =
    R"({"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":5000,)"
    R"("catchUpS":6,"drainMs":2500,"graceS":6,"lossSlackMs":200,)"
    R"("configApplyMs":2500,"rollbackSlackMs":250,"outerMs":5000,)"
    R"("failClosed":true,"revokeMs":5000,"retryBudgetRatio":0.2,)"
    R"("retryWindowS":10,"retryBudgetSlack":261,"quotaWindowS":5,)"
    R"("quotaOvershoot":0.1,"quotaSlack":20,"recoveryS":15,"probesPerS":3,)"
    R"("floorShare":0.7})";

const std::string kPoisonBody = "{\"chamber\":\"poison\"}";

std::string RequestOf(const std::string& id, const std::string& body) {
  return fmt::format(
      "POST /book/7 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {}\r\n"
      "X-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{}",
      id, body.size(), body);
}

std::string Reply(int status, const std::string& fields,
                  const std::string& body) {
  return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status,
                     fields, body.size(), body);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    return 2;
  }
  rig::Record record(argv[1]);
  const bool trouble = rig::HasTrouble();
  rig::Rig::Options options;
  options.gateways = kGateways;
  options.bounds = kBounds;
  options.services = {"desk"};
  options.routes = {{"/book/", "non_idempotent", "desk", 3000, 1500, 1}};
  rig::Rig world(options);

  std::mutex mutex;
  int crashes = 0;
  std::optional<double> third_crash;
  int late_retries = 0;
  int reached = 0;

  for (int i = 0; i < kBackends; ++i) {
    world.AddBackend(
        "desk",
        [&](const rig::Message& request,
            rig::Backend& self) -> std::optional<std::string> {
          const std::string id = request.Field("X-Attempt-Id");
          const std::string own = self.Id();
          const std::string expected = request.Field("X-Expect-Instance");
          if (!expected.empty() && expected != own) {
            return Reply(421, "X-Instance-Id: " + own + "\r\n", "");
          }
          if (self.running >= self.slots) {
            return Reply(503, "X-Not-Executed: 1\r\n", "");
          }
          ++self.running;
          if (request.body == kPoisonBody) {
            {
              const std::scoped_lock lock(mutex);
              ++reached;
              const bool late =
                  third_crash && rig::Now() > *third_crash + kStableWindowS;
              late_retries += late ? 1 : 0;
              if (++crashes == 3) {
                third_crash = rig::Now();
              }
              record.Line(
                  fmt::format("run {} crashes {} at {} crash={} late={}", id,
                              own, self.Ip(), crashes, late));
            }
            self.Crash();
            return std::nullopt;
          }
          rig::SleepMs(kWorkMs);
          if (self.Id() != own || !self.IsUp()) {
            return std::nullopt;  // It crashed meanwhile.
          }
          --self.running;
          record.Line(fmt::format("run {} at {}", id, own));
          return Reply(200,
                       fmt::format("X-Attempt-Id: {}\r\nX-Response-Signature: "
                                   "s-{}\r\nX-Backend-Load: {},0,{}\r\n",
                                   id, id, self.running.load() + 1, self.slots),
                       "booked " + id);
        });
  }
  if (!world.Start()) {
    record.Line("a gateway is not ready");
    return 2;
  }
  rig::SleepMs(2000);
  record.Line("traffic begins");

  std::atomic<bool> ending{false};
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < 12; ++i) {
    threads.emplace_back([&, i] {
      int n = 0;
      while (!ending) {
        const std::string id = fmt::format("c{}-{}", i, ++n);
        ++sent;
        record.Line("send " + id);
        const rig::Answer answer =
            rig::Ask(world.GatewayIp((i + n) % kGateways), rig::Rig::kFrontPort,
                     RequestOf(id, "{\"n\":" + id + "}"), 3500);
        served += answer.status == 200 ? 1 : 0;
        record.Line(fmt::format("answer {} {}", id, answer.status));
        rig::SleepMs(150);
      }
    });
  }
  threads.emplace_back([&] {
    while (!ending) {
      for (const auto& it : world.backends) {
        if (!it->IsUp()) {
          rig::Backend* backend = it.get();
          static std::map<rig::Backend*, double> down_since;
          auto& since = down_since[backend];
          since = since == 0.0 ? rig::Now() : since;
          if (rig::Now() - since >= kBackAfterS) {
            since = 0.0;
            backend->Start(world.NewId());
            record.Line(
                fmt::format("back {} as {}", backend->Ip(), backend->Id()));
          }
        }
      }
      rig::SleepMs(20);
    }
  });
  const double end = rig::Now() + kRunS;
  int poison = 0;
  while (rig::Now() < end) {
    if (trouble) {
      const std::string id = fmt::format("poison-{}", ++poison);
      record.Line("send " + id);
      const rig::Answer answer =
          rig::Ask(world.GatewayIp(poison % kGateways), rig::Rig::kFrontPort,
                   RequestOf(id, kPoisonBody), 3500);
      record.Line(fmt::format("answer {} {} {}", id, answer.status,
                              answer.message.body.substr(0, 60)));
    }
    rig::SleepMs(kPoisonEveryMs);
  }
  ending = true;
  for (std::thread& it : threads) {
    it.join();
  }
  const std::string result = fmt::format(
      "poison sent {} reached backends {} crashes {} retries later than {} s "
      "after the third crash: {} (at most {}); others sent {} served {}",
      poison, reached, crashes, kStableWindowS, late_retries, kMaxRetries,
      sent.load(), served.load());
  record.Line(result);
  fmt::print("{}\n", result);
  if (served == 0) {
    return 2;
  }
  return late_retries > kMaxRetries ? 1 : 0;
}

#include "soak/traffic.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>
#include <vector>

#include "soak/backend.h"
#include "soak/pipelined_caller.h"

namespace soak {
namespace {

using bambootack::net::HttpCall;
using bambootack::net::HttpCallResult;
using std::chrono::milliseconds;

constexpr std::size_t kMaxAnswerBytes = 1024 * 1024;
constexpr core::Duration kTimeout = milliseconds(1500);
/// An answer that has not come this long after the timeout is missing.
constexpr core::Duration kOverdue = milliseconds(500);
constexpr core::Duration kReadyPeriod = milliseconds(250);
constexpr core::Duration kReadyTimeout = milliseconds(500);

/// Share of requests on a connection to a VM that is out of rotation.
constexpr double kStaleShare = 0.2;
constexpr double kGiveUpShare = 0.03;
constexpr double kLargeBodyShare = 0.05;
constexpr std::size_t kLargeBodyBytes = 40'000;

/// Share of requests that start a connection with several at once.
constexpr double kPipelineShare = 0.08;
constexpr std::size_t kMaxPipelined = 6;

constexpr std::array<std::string_view, 3> kRepeatablePrefixes{
    "/read/", "/flip/", kDownloadPrefix};
constexpr std::array<std::string_view, 5> kPrefixes{"/book/", "/read/", "/pay/",
                                                    "/flip/", kDownloadPrefix};

bool IsRepeatable(std::string_view prefix) {
  return std::find(kRepeatablePrefixes.begin(), kRepeatablePrefixes.end(),
                   prefix) != kRepeatablePrefixes.end();
}

}  // namespace

Traffic::Traffic(World& world) : world_(world), client_(kMaxAnswerBytes) {}

void Traffic::Run() {
  if (stopped_) {
    return;
  }
  Send();
  const double mean_us = 1e6 / world_.options.requests_a_second;
  world_.After(core::Duration(static_cast<std::int64_t>(2.0 * mean_us *
                                                        world_.random.Unit())),
               [this] { Run(); });
}

void Traffic::Watch() {
  if (stopped_) {
    return;
  }
  for (std::size_t i = 0; i < world_.vms.size(); ++i) {
    if (world_.vms[i].process) {
      AskReady(i);
    }
  }
  world_.After(kReadyPeriod, [this] { Watch(); });
}

void Traffic::AskReady(std::size_t number) {
  HttpCall call;
  call.address = fmt::format("{}:9101", world_.vms[number].ip);
  call.http = {"GET", "/ready", {}, {}};
  call.timeout = kReadyTimeout;
  call.fresh_connection = true;
  client_.Start(++last_call_, std::move(call),
                [this, number, start = world_.vms[number].start](
                    const HttpCallResult& result) {
                  const bool ready = result.answer.status == 200;
                  asio::post(world_.io, [this, number, start, ready] {
                    Vm& vm = world_.vms[number];
                    if (vm.process && vm.start == start) {
                      vm.missed = ready ? 0 : vm.missed + 1;
                    }
                  });
                });
}

std::optional<std::size_t> Traffic::ChooseVm() {
  const bool stale = world_.random.Unit() < kStaleShare;
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < world_.vms.size(); ++i) {
    const Vm& it = world_.vms[i];
    if (it.IsReady() || (stale && it.process && it.stop_expected)) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[world_.random.Below(candidates.size())];
}

Traffic::Request Traffic::MakeRequest(std::size_t vm, std::string_view prefix) {
  const std::uint64_t number = ++last_request_;
  const std::string id = fmt::format("a{}-{}", world_.options.seed, number);
  const bool repeatable = IsRepeatable(prefix);
  const bool large = world_.random.Unit() < kLargeBodyShare;
  Attempt attempt;
  attempt.prefix = prefix;
  attempt.repeatable = repeatable;
  attempt.gateway = vm;
  attempt.sent = World::Now();
  attempt.left = kTimeout;
  attempt.http = {repeatable ? "GET" : "POST",
                  fmt::format("{}{}?q={}", prefix, number % 50, number),
                  {},
                  repeatable ? "" : id};
  if (large && !repeatable) {
    attempt.http.body.append(kLargeBodyBytes, 'b');
  }
  core::HttpRequest http = attempt.http;
  http.headers = {
      {"Host", "soak.example"},
      {Names().request_id, id},
      {Names().remaining_ms, std::to_string(core::ToMilliseconds(kTimeout))}};
  world_.ledger.NoteSent(id, std::move(attempt));
  ++in_flight_;
  return {id, std::move(http)};
}

void Traffic::Send() {
  const auto vm = ChooseVm();
  if (!vm) {
    return;
  }
  if (world_.random.Unit() < kPipelineShare) {
    SendPipelined(*vm);
    return;
  }
  auto [id, http] =
      MakeRequest(*vm, kPrefixes[world_.random.Below(kPrefixes.size())]);
  const std::uint64_t number = last_request_;
  HttpCall call;
  call.address = fmt::format("{}:{}", world_.vms[*vm].ip, kFrontPort);
  call.http = std::move(http);
  call.timeout = kTimeout + kOverdue;
  client_.Start(number, std::move(call),
                [this, id = id](HttpCallResult result) {
                  asio::post(world_.io, [this, id, result = std::move(result)] {
                    --in_flight_;
                    world_.ledger.NoteEnd(id, result, World::Now());
                  });
                });
  if (world_.random.Unit() < kGiveUpShare) {
    world_.After(milliseconds(world_.random.Below(200)),
                 [this, id = id, number] {
                   if (!world_.ledger.HasEnded(id)) {
                     client_.Cancel(number);
                     world_.ledger.NoteLeft(id, World::Now());
                     --in_flight_;
                   }
                 });
  }
}

void Traffic::SendPipelined(std::size_t vm) {
  std::vector<std::string> ids;
  std::vector<std::string> requests;
  const std::size_t count = 2 + world_.random.Below(kMaxPipelined - 1);
  for (std::size_t i = 0; i < count; ++i) {
    const auto [id, http] = MakeRequest(
        vm,
        kRepeatablePrefixes[world_.random.Below(kRepeatablePrefixes.size())]);
    std::string text = fmt::format("GET {} HTTP/1.1\r\n", http.target);
    for (const core::HeaderField& it : http.headers) {
      text += fmt::format("{}: {}\r\n", it.name, it.value);
    }
    ids.push_back(id);
    requests.push_back(text + "\r\n");
  }
  const auto caller = std::make_shared<PipelinedCaller>(
      world_.io, std::move(requests), kTimeout + kOverdue,
      [this, ids = std::move(ids)](std::size_t number,
                                   const HttpCallResult& result) {
        --in_flight_;
        world_.ledger.NoteEnd(ids[number], result, World::Now());
      });
  caller->Start({asio::ip::make_address(world_.vms[vm].ip), kFrontPort});
}

}  // namespace soak

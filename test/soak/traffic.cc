#include "soak/traffic.h"

#include <fmt/format.h>

#include <array>
#include <string_view>
#include <utility>
#include <vector>

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

constexpr std::array<std::string_view, 4> kPrefixes{"/book/", "/read/", "/pay/",
                                                    "/flip/"};

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

void Traffic::Send() {
  const auto vm = ChooseVm();
  if (!vm) {
    return;
  }
  const std::uint64_t number = ++last_request_;
  const std::string id = fmt::format("a{}-{}", world_.options.seed, number);
  const std::string_view prefix =
      kPrefixes[world_.random.Below(kPrefixes.size())];
  const bool repeatable = prefix == "/read/" || prefix == "/flip/";
  const bool large = world_.random.Unit() < kLargeBodyShare;
  Attempt attempt;
  attempt.prefix = prefix;
  attempt.repeatable = repeatable;
  attempt.gateway = *vm;
  attempt.sent = World::Now();
  attempt.left = kTimeout;
  attempt.http = {repeatable ? "GET" : "POST",
                  fmt::format("{}{}?q={}", prefix, number % 50, number),
                  {},
                  repeatable ? "" : id};
  if (large && !repeatable) {
    attempt.http.body.append(kLargeBodyBytes, 'b');
  }
  HttpCall call;
  call.address = fmt::format("{}:9104", world_.vms[*vm].ip);
  call.http = attempt.http;
  call.http.headers = {
      {"Host", "soak.example"},
      {Names().request_id, id},
      {Names().remaining_ms, std::to_string(core::ToMilliseconds(kTimeout))}};
  call.timeout = kTimeout + kOverdue;
  world_.ledger.NoteSent(id, std::move(attempt));
  ++in_flight_;
  client_.Start(number, std::move(call), [this, id](HttpCallResult result) {
    asio::post(world_.io, [this, id, result = std::move(result)] {
      --in_flight_;
      world_.ledger.NoteEnd(id, result, World::Now());
    });
  });
  if (world_.random.Unit() < kGiveUpShare) {
    world_.After(milliseconds(world_.random.Below(200)), [this, id, number] {
      if (!world_.ledger.HasEnded(id)) {
        client_.Cancel(number);
        world_.ledger.NoteLeft(id, World::Now());
        --in_flight_;
      }
    });
  }
}

}  // namespace soak

#include "clients/system.h"

#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>

#include "bambootack/core/http_message.h"
#include "clients/crowd.h"
#include "platform/headers.h"

namespace clients {
namespace {

using bambootack::core::CallerId;
using bambootack::core::HttpRequest;

constexpr std::size_t kBackendBodyBytes = 128UL << 20;
constexpr std::string_view kLargeAnswer = "/large/";
constexpr std::size_t kLargeAnswerBytes = 4UL << 20;
constexpr std::string_view kServer = "i-1";
constexpr int kMaxWaits = 300;
constexpr auto kWait = std::chrono::milliseconds(100);

std::string NetworkOfProcess() {
  const auto pid = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}", 16 + ((pid >> 8) % 200), pid & 0xFF);
}

std::string Program() {
  const char* build = std::getenv("CLIENTS_BUILD");
  return std::string(build != nullptr ? build : "build") +
         "/bambootack-gateway";
}

}  // namespace

System::System(SystemLimits limits)
    : network_(NetworkOfProcess()),
      folder_(std::filesystem::temp_directory_path() /
              fmt::format("bambootack-clients-{}", getpid())),
      store_io_(std::in_place),
      store_(std::in_place, *store_io_, network_ + ".1:9100", 1),
      backend_({.address = network_ + ".3:9106",
                .max_body_bytes = kBackendBodyBytes,
                .context = &io_},
               [this](CallerId caller, const HttpRequest& http) {
                 const auto names = bambootack::platform::MakeHeaderNames();
                 const auto id = bambootack::core::FindHeader(http.headers,
                                                              names.request_id);
                 const std::size_t bytes = http.target.starts_with(kLargeAnswer)
                                               ? kLargeAnswerBytes
                                               : 8;
                 backend_.Answer(
                     caller, {200,
                              {{names.request_id, std::string(id.value_or(""))},
                               {names.signature, "signed"}},
                              std::string(bytes, 'a')});
               },
               {}) {
  std::filesystem::create_directories(folder_);
  PutState(limits);
  WriteSettings(limits);
  const auto run = [](asio::io_context& io) {
    const auto guard = asio::make_work_guard(io);
    io.run();
  };
  thread_ = std::thread(run, std::ref(io_));
  store_thread_ = std::thread(run, std::ref(*store_io_));
  process_ = std::make_unique<bench::Process>(
      std::vector<std::string>{Program(), "--settings",
                               (folder_ / "vm.toml").string()},
      (folder_ / "vm.log").string());
  if (!IsServed(8, kMaxWaits)) {
    throw std::runtime_error("the gateway serves no request");
  }
}

System::~System() {
  process_.reset();
  StopStore();
  io_.stop();
  thread_.join();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string System::Address() const { return network_ + ".2:9101"; }

std::string System::PeerAddress() const { return network_ + ".2:9103"; }

std::string System::RogueAddress() const { return network_ + ".4:9106"; }

void System::ReplaceStore(const RogueAnswer& answer) {
  StopStore();
  store_.reset();
  store_io_.reset();  // Closes the listening socket.
  rogue_store_.emplace(network_ + ".1:9100", answer);
}

void System::StopStore() {
  if (store_io_) {
    store_io_->stop();
  }
  if (store_thread_.joinable()) {
    store_thread_.join();
  }
}

void System::PutServer(std::string_view id, std::string_view service,
                       const std::string& address) {
  store_->Put("keyed.servers", id,
              fmt::format(R"({{"service":"{}","address":"{}","zone":"west",)"
                          R"("version":"v1","slots":1000,"state":"ready",)"
                          R"("warmupLeftMs":0,"seq":1,"born":1700000000000}})",
                          service, address));
}

void System::PutState(const SystemLimits& limits) {
  PutServer(kServer, "desk", network_ + ".3:9106");
  PutServer("i-2", "rogue", RogueAddress());
  store_->Put(
      "keyed.op", "config",
      fmt::format(
          R"({{"version":"r1","routes":{{"columns":["name","host",)"
          R"("pathPrefix","routeType","timeoutMs","targetLatencyMs",)"
          R"("priority","service","maxAttempts"],"rows":[["all","a.example",)"
          R"("/","safe",20000,10000,0,"desk",2],["rogue","a.example",)"
          R"("/rogue/","safe",20000,10000,0,"rogue",2]]}},)"
          R"("services":{{"columns":["name"],"rows":[["desk"],["rogue"]]}},)"
          R"("limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{},)"
          R"("headerTimeoutMs":{},"idleTimeoutMs":{}}}}})",
          limits.body_bytes, limits.header_timeout_ms, limits.idle_timeout_ms));
}

void System::WriteSettings(const SystemLimits& limits) {
  std::ofstream(folder_ / "vm.toml") << fmt::format(
      "name = \"vm-1\"\nfailure_domain = \"west\"\n"
      "caller_address = \"{0}\"\noperator_address = \"{1}.2:9102\"\n"
      "metrics_address = \"{1}.2:9104\"\npeer_address = \"{1}.2:9103\"\n"
      "store_address = \"{1}.1:9100\"\nfirst_start = false\n"
      "memory_mb = \"{2}\"\nmax_descriptors = \"{3}\"\nlog_level = "
      "\"warning\"\n"
      "platform_bounds = '{{\"graceS\":6}}'\n",
      Address(), network_, limits.memory_mb, limits.descriptors);
}

double System::PeakMb() const {
  std::ifstream in(fmt::format("/proc/{}/status", process_->Id()));
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stod(line.substr(6)) / 1024.0;
    }
  }
  return 0.0;
}

std::size_t System::Descriptors() const {
  const std::filesystem::directory_iterator begin(
      fmt::format("/proc/{}/fd", process_->Id()));
  return static_cast<std::size_t>(std::distance(begin, {}));
}

bool System::IsServed(std::size_t body_bytes, int tries) {
  for (int i = 0; i < tries && IsRunning(); ++i) {
    try {
      Crowd crowd(Address());
      crowd.Add(1, {RequestHead("/ordinary/", fmt::format("ordinary-{}", i),
                                fmt::format("Content-Length: {}", body_bytes)),
                    "x", body_bytes, "", 65536, true});
      crowd.Send();
      if (crowd.CountStatus(200) == 1) {
        return true;
      }
    } catch (const std::runtime_error&) {
      // Not listening yet.
    }
    std::this_thread::sleep_for(kWait);
  }
  return false;
}

bool System::IsServedAtOnce() {
  Crowd crowd(Address());
  crowd.Add(1, {RequestHead("/ordinary/", "once", "Content-Length: 0"), "x", 0,
                "", 1, true});
  crowd.SendUntilAnswered();
  return crowd.CountStatus(200) == 1;
}

std::optional<int> System::WaitForEnd() {
  for (int i = 0; i < kMaxWaits; ++i) {
    if (!process_->IsRunning()) {
      return process_->Wait();
    }
    std::this_thread::sleep_for(kWait);
  }
  return std::nullopt;
}

}  // namespace clients

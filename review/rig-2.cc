#include "rig-2.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iterator>

namespace rig {
namespace {

const Clock::time_point kStart = Clock::now();

/// As the deployment lmcg-gateway states them (SYSTEM.md, "Bounds").
constexpr const char* kBounds =
    R"({"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":4000,)"
    R"("catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,)"
    R"("configApplyMs":2000,"rollbackSlackMs":250,"outerMs":5000,)"
    R"("retryBudgetRatio":0.2,"retryWindowS":10,"retryBudgetSlack":80,)"
    R"("recoveryS":15,"probesPerS":3,"floorShare":0.7})";
constexpr double kBeatS = 1.5;

thread_local int current_fd = -1;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in it{};
  it.sin_family = AF_INET;
  it.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
  return it;
}

std::string Network() {
  const auto pid = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}", 16 + ((pid >> 8) % 200), pid & 0xFF);
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Gateways that run, for the end by a signal.
constexpr std::size_t kMaxGateways = 8;
std::atomic<pid_t> gateway_pids[kMaxGateways];

/// Ends the gateways with this process when `run.sh` stops it.
void EndAll(int /*signal*/) {
  for (const auto& it : gateway_pids) {
    if (it > 0) {
      kill(it, SIGKILL);
    }
  }
  _exit(2);
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Record::Line(const std::string& text) {
  const std::scoped_lock lock(mutex_);
  out_ << fmt::format("{:8.3f} ", Now()) << text << "\n" << std::flush;
}

std::string Message::Field(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

bool Connection::Read(Message& message) {
  message = {};
  std::size_t end = 0;
  const auto more = [&] {
    char part[65536];
    const ssize_t n = recv(fd_, part, sizeof(part), 0);
    if (n > 0) {
      buf_.append(part, static_cast<std::size_t>(n));
    }
    return n > 0;
  };
  while ((end = buf_.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::size_t at = 0;
  bool first = true;
  while (at < end + 2) {
    const std::size_t eol = buf_.find("\r\n", at);
    const std::string line = buf_.substr(at, eol - at);
    at = eol + 2;
    const std::size_t colon = line.find(':');
    if (first) {
      message.first_line = line;
      first = false;
    } else if (colon != std::string::npos) {
      std::size_t value = line.find_first_not_of(" \t", colon + 1);
      message.fields.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
  }
  buf_.erase(0, end + 4);
  const std::string length = message.Field("Content-Length");
  const std::size_t n = length.empty() ? 0 : std::stoul(length);
  while (buf_.size() < n) {
    if (!more()) {
      return false;
    }
  }
  message.body = buf_.substr(0, n);
  buf_.erase(0, n);
  return true;
}

bool Connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

int Connect(const std::string& ip, int port, int timeout_ms, int mss,
            int receive_bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (mss > 0) {
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
  }
  if (receive_bytes > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  timeval time{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

Answer Ask(const std::string& ip, int port, const std::string& bytes,
           int timeout_ms) {
  Answer answer;
  const int fd = Connect(ip, port, timeout_ms);
  if (fd < 0) {
    return answer;
  }
  Connection connection(fd);
  if (connection.Write(bytes) && connection.Read(answer.message)) {
    answer.status = std::atoi(answer.message.first_line.substr(9, 3).c_str());
  }
  close(fd);
  return answer;
}

Backend::Backend(std::string ip, int port, std::string service,
                 std::string zone, Handler handler)
    : ip_(std::move(ip)),
      port_(port),
      service_(std::move(service)),
      zone_(std::move(zone)),
      handler_(std::move(handler)) {}

Backend::~Backend() {
  Crash();
  while (threads_ > 0) {
    SleepMs(5);
  }
}

std::string Backend::Id() {
  const std::scoped_lock lock(mutex_);
  return id_;
}

std::string Backend::Entry() {
  const std::scoped_lock lock(mutex_);
  return fmt::format(
      R"({{"service":"{}","address":"{}:{}","zone":"{}","version":"v1",)"
      R"("slots":{},"state":"ready","warmupLeftMs":0,"seq":{},"born":{}}})",
      service_, ip_, port_, zone_, slots, ++seq_, born_);
}

void Backend::Start(std::string id) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip_, port_);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 256) != 0) {
    EndAll(0);
  }
  {
    const std::scoped_lock lock(mutex_);
    id_ = std::move(id);
    born_ = UnixMs();
    seq_ = 0;
    listener_ = fd;
    running = 0;
    up_ = true;
  }
  ++threads_;
  std::thread([this, fd] {
    Accept(fd);
    --threads_;
  }).detach();
}

void Backend::Crash() {
  const std::scoped_lock lock(mutex_);
  if (!up_) {
    return;
  }
  up_ = false;
  shutdown(listener_, SHUT_RDWR);
  for (const int fd : fds_) {
    shutdown(fd, SHUT_RDWR);
  }
}

void Backend::Accept(int listener) {
  while (true) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      break;
    }
    const std::scoped_lock lock(mutex_);
    if (!up_ || listener != listener_) {
      close(fd);
      continue;
    }
    fds_.insert(fd);
    ++threads_;
    std::thread([this, fd] {
      Serve(fd);
      --threads_;
    }).detach();
  }
  close(listener);
}

int CurrentFd() { return current_fd; }

void Backend::Serve(int fd) {
  current_fd = fd;
  Connection connection(fd);
  Message request;
  while (connection.Read(request)) {
    const auto answer = handler_(request, *this);
    if (!answer || !connection.Write(*answer)) {
      break;
    }
  }
  const std::scoped_lock lock(mutex_);
  fds_.erase(fd);
  close(fd);
}

Rig::Rig(Options options)
    : options_(std::move(options)),
      network_(Network()),
      folder_(std::filesystem::temp_directory_path() /
              fmt::format("review-2-{}", getpid())),
      store_(io_, network_ + ".1:9100", 1) {
  std::filesystem::create_directories(folder_);
  signal(SIGTERM, &EndAll);
  signal(SIGINT, &EndAll);
}

Rig::~Rig() {
  ending_ = true;
  if (beat_thread_.joinable()) {
    beat_thread_.join();
  }
  gateways_.clear();
  for (auto& it : gateway_pids) {
    it = 0;
  }
  backends.clear();
  io_.stop();
  if (io_thread_.joinable()) {
    io_thread_.join();
  }
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::string Rig::NewId() { return fmt::format("i-{:08x}", ++last_id_); }

std::string Rig::GatewayIp(std::size_t i) const {
  return fmt::format("{}.{}", network_, 2 + i);
}

Backend& Rig::AddBackend(const std::string& service, Backend::Handler handler) {
  const std::size_t n = backends.size();
  backends.push_back(std::make_unique<Backend>(
      fmt::format("{}.{}", network_, 100 + n), kBackendPort, service,
      fmt::format("zone-{}", n % 3), std::move(handler)));
  backends.back()->Start(NewId());
  return *backends.back();
}

void Rig::Put(const std::string& topic, const std::string& key,
              const std::string& value) {
  asio::post(io_, [this, topic, key, value] { store_.Put(topic, key, value); });
}

/// Backends write every 1.5 s and at their start; an entry is removed after
/// three intervals of silence.
void Rig::Beat() {
  while (!ending_) {
    {
      const std::scoped_lock lock(entries_mutex_);
      for (const auto& it : backends) {
        const std::string id = it->Id();
        const auto found = beat_at_.find(id);
        if (it->IsUp() &&
            (found == beat_at_.end() || Now() - found->second >= kBeatS)) {
          Put("keyed.servers", id, it->Entry());
          beat_at_[id] = Now();
        }
      }
      for (auto it = beat_at_.begin(); it != beat_at_.end();) {
        if (Now() - it->second > 3 * kBeatS) {
          Put("keyed.servers", it->first, "");
          it = beat_at_.erase(it);
        } else {
          ++it;
        }
      }
    }
    SleepMs(50);
  }
}

std::string Rig::Settings(std::size_t i, bool first) const {
  std::ifstream in("deploy/gateway.toml");
  std::string text{std::istreambuf_iterator<char>(in), {}};
  const std::string ip = GatewayIp(i);
  const std::map<std::string, std::string> values{
      {"nodeName", fmt::format("edge-{}", i + 1)},
      {"zone", fmt::format("zone-{}", i % 3)},
      {"listen.front", fmt::format("{}:{}", ip, kFrontPort)},
      {"listen.ready", fmt::format("{}:{}", ip, kReadyPort)},
      {"ip", ip},
      {"internalPorts.0", fmt::format("{}", kPeerPort)},
      {"platform.address", network_ + ".1:9100"},
      {"bounds", options_.bounds.empty() ? kBounds : options_.bounds},
      {"limits.memoryMb", fmt::format("{}", options_.memory_mb)},
      {"limits.maxFds", fmt::format("{}", options_.max_fds)},
      {"firstStart", first ? "true" : "false"}};
  std::size_t at = 0;
  while ((at = text.find("{{", at)) != std::string::npos) {
    const std::size_t end = text.find("}}", at);
    const auto it = values.find(text.substr(at + 2, end - at - 2));
    if (it == values.end()) {
      std::exit(2);
    }
    text.replace(at, end + 2 - at, it->second);
    at += it->second.size();
  }
  return text;
}

void Rig::PutConfig(int version, const std::vector<Route>& routes) {
  std::string rows;
  for (const Route& it : routes) {
    rows += fmt::format(R"({}["r{}","shop.example","{}","{}",{},{},{},"{}",2,)"
                        R"(null])",
                        rows.empty() ? "" : ",", it.prefix, it.prefix, it.type,
                        it.timeout_ms, it.target_ms, it.priority, it.service);
  }
  std::string services;
  for (const std::string& it : options_.services) {
    services += fmt::format(R"({}["{}","/health",477,"h1",false])",
                            services.empty() ? "" : ",", it);
  }
  Put("keyed.op", "config",
      fmt::format(
          R"({{"version":"r{}","routes":{{"columns":["name","host",)"
          R"("pathPrefix","routeType","timeoutMs","targetLatencyMs",)"
          R"("priority","service","maxAttempts","trafficSplit"],"rows":[{}]}},)"
          R"("services":{{"columns":["name","healthPath","maxConns",)"
          R"("protocol","tls"],"rows":[{}]}},"limits":{{)"
          R"("maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
          R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}}}})",
          version, rows, services));
}

void Rig::Launch(std::size_t i, bool first) {
  const std::string path = fmt::format("{}/node-{}.toml", folder_, i);
  std::ofstream(path) << Settings(i, first);
  gateways_[i] = std::make_unique<bench::Process>(
      std::vector<std::string>{"target/bambootack-gateway", "--settings", path},
      fmt::format("{}/node-{}.log", folder_, i));
  gateway_pids[i % kMaxGateways] = gateways_[i]->Id();
}

void Rig::Restart(std::size_t i) { Launch(i, false); }

bool Rig::IsReady(std::size_t i) const {
  const std::string bytes = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
  return Ask(GatewayIp(i), kReadyPort, bytes, 1000).status == 200;
}

bool Rig::Start() {
  PutConfig(7, options_.routes);
  io_thread_ = std::thread([this] {
    const auto guard = asio::make_work_guard(io_);
    io_.run();
  });
  beat_thread_ = std::thread([this] { Beat(); });
  SleepMs(300);
  for (std::size_t i = 0; i < options_.gateways; ++i) {
    gateways_.emplace_back();
    Launch(i, true);
  }
  const double limit = Now() + 15.0;
  for (std::size_t i = 0; i < options_.gateways;) {
    if (IsReady(i)) {
      ++i;
    } else if (Now() > limit) {
      return false;
    } else {
      SleepMs(100);
    }
  }
  return true;
}

}  // namespace rig

// Stand-ins of the platform's store, of backends and of clients, and the start
// of gateways as processes with the command and the template of the deploy
// files. Blocking sockets, one thread for each connection. Loopback only.
#ifndef REVIEW_FLEET_H_
#define REVIEW_FLEET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();
inline const unsigned kNoEarlierAlarm = alarm(118);  // Scripts take 120 s.
inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}
inline void SleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// record.txt: one line for each thing sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw std::runtime_error("record.txt");
  }
  void Line(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    fprintf(file_, "%8.3f %s\n", Seconds(), text.c_str());
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  std::string first;                                // Request or status line.
  std::multimap<std::string, std::string> headers;  // Lower-case names.
  std::string body;
  std::string Get(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  int Status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
};

inline sockaddr_in AddressOf(const std::string& text) {
  const auto colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) !=
          1 ||
      (ntohl(address.sin_addr.s_addr) >> 24) != 127) {
    throw std::runtime_error("not a loopback address: " + text);
  }
  return address;
}

// One TCP connection with a read buffer.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int fd) : fd_(fd) { NoDelay(); }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Connect(const std::string& address) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = AddressOf(address);
    NoDelay();
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
      return true;
    }
    Close();
    return false;
  }
  bool Open() const { return fd_ >= 0; }
  int Fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  void Reset() {
    const linger now{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  enum class Result { kMessage, kClosed, kTimeout };
  // Reads a whole message with a length, or with none.
  Result Read(Message& message, int timeout_ms) {
    const auto until = Clock::now() + milliseconds(timeout_ms);
    for (;;) {
      if (Parse(message)) return Result::kMessage;
      const auto left =
          std::chrono::duration_cast<milliseconds>(until - Clock::now())
              .count();
      pollfd waiting{fd_, POLLIN, 0};
      if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return Result::kTimeout;
      }
      char chunk[65536];
      const ssize_t n = recv(fd_, chunk, sizeof(chunk), 0);
      reset_ = n < 0;
      if (n <= 0) return Result::kClosed;
      buffer_.append(chunk, static_cast<std::size_t>(n));
    }
  }
  // Whether the other side has reset the connection.
  bool WasReset() const { return reset_; }

 private:
  void NoDelay() {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  bool Parse(Message& message) {
    const auto end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    std::istringstream head(buffer_.substr(0, end));
    Message result;
    std::getline(head, result.first);
    if (!result.first.empty()) result.first.pop_back();
    if (result.first.size() < 5) result.first = buffer_.substr(0, end);
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto from = line.find_first_not_of(' ', colon + 1);
      result.headers.emplace(
          Lower(line.substr(0, colon)),
          from == std::string::npos ? "" : line.substr(from));
    }
    const std::size_t length = static_cast<std::size_t>(
        std::atoll(result.Get("content-length").c_str()));
    if (buffer_.size() < end + 4 + length) return false;
    result.body = buffer_.substr(end + 4, length);
    buffer_.erase(0, end + 4 + length);
    message = std::move(result);
    return true;
  }
  int fd_ = -1;
  bool reset_ = false;
  std::string buffer_;
};

// Accepts connections and runs `serve` on a thread for each.
class Listener {
 public:
  Listener(const std::string& address,
           std::function<void(std::shared_ptr<Connection>)> serve)
      : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = AddressOf(address);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(fd_, 512) != 0) {
      throw std::runtime_error("cannot listen on " + address);
    }
    std::thread([this] {
      for (;;) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, connection = std::make_shared<Connection>(fd)] {
          serve_(connection);
        }).detach();
      }
    }).detach();
  }

 private:
  int fd_ = -1;
  std::function<void(std::shared_ptr<Connection>)> serve_;
};

inline std::string Response(int status, const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: the calls that PROTOCOL.md describes and the gateway
// makes, on topics with one partition.
class Store {
 public:
  // Listens on one address for each gateway, so that their calls can be told
  // apart.
  explicit Store(const std::vector<std::string>& addresses) {
    for (const std::string& it : addresses) {
      listeners_.push_back(std::make_unique<Listener>(
          it, [this, it](auto connection) { Serve(*connection, it); }));
    }
  }

  // Address on which the list of servers was last read within `ms`; empty if
  // there was no such read.
  std::string LastReader(int ms) {
    const std::scoped_lock lock(mutex_);
    std::string result;
    auto latest = Clock::now() - milliseconds(ms);
    for (const auto& [address, at] : server_reads_) {
      if (at > latest) {
        latest = at;
        result = address;
      }
    }
    return result;
  }

  std::uint64_t Put(const std::string& topic, const std::string& key,
                    const std::string& value) {
    const std::scoped_lock lock(mutex_);
    return Append(topics_[topic],
                  std::string(1, static_cast<char>(key.size())) + key + value);
  }

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
  };
  static std::string Query(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    return at == std::string::npos
               ? ""
               : target.substr(
                     at + name.size() + 1,
                     target.find_first_of("& ", at) - at - name.size() - 1);
  }
  static std::string BigEndian(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes; i-- > 0;) out += static_cast<char>(value >> (8 * i));
    return out;
  }
  static std::string Base64(const std::string& in) {
    static const char* kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
      std::uint32_t n = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        n = n << 8 |
            (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
      }
      for (std::size_t j = 0; j < 4; ++j) {
        out += i + j <= in.size() ? kDigits[n >> (18 - 6 * j) & 63] : '=';
      }
    }
    return out;
  }
  std::uint64_t Append(Topic& topic, const std::string& record) {
    const std::uint64_t offset = topic.records.size();
    topic.records.push_back(record);
    const auto n = static_cast<unsigned char>(record[0]);
    const std::string key = record.substr(1, n);
    if (record.size() > 1U + n) {
      topic.newest[key] = {record.substr(1U + n), offset};
    } else {
      topic.newest.erase(key);
    }
    changed_.notify_all();
    return offset;
  }
  void Serve(Connection& connection, const std::string& address) {
    Message request;
    while (connection.Read(request, 60000) == Connection::Result::kMessage) {
      const std::string target =
          request.first.substr(request.first.find(' ') + 1);
      const std::string name = Query(target, "topic");
      std::unique_lock lock(mutex_);
      Topic& topic = topics_[name];
      if (name == "keyed.servers") server_reads_[address] = Clock::now();
      const std::string json = "Content-Type: application/json\r\n";
      if (target.starts_with("/bambootack/log-newest")) {
        std::string items;
        for (const auto& [key, it] : topic.newest) {
          items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
                   "\",\"value\":\"" + Base64(it.first) +
                   "\",\"offset\":" + std::to_string(it.second) + "}";
        }
        const std::string body = "{\"items\":[" + items +
                                 "],\"hasMore\":false,\"end\":" +
                                 std::to_string(topic.records.size()) + "}";
        lock.unlock();
        connection.Write(Response(200, json, body));
      } else if (target.starts_with("/bambootack/log-read")) {
        const std::uint64_t from =
            std::strtoull(Query(target, "from").c_str(), nullptr, 10);
        changed_.wait_for(
            lock, milliseconds(std::atoi(Query(target, "waitMs").c_str())),
            [&] { return topic.records.size() > from; });
        std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
        for (std::uint64_t i = from; i < topic.records.size(); ++i) {
          body += BigEndian(topic.records[i].size(), 4) + topic.records[i];
        }
        lock.unlock();
        connection.Write(Response(200, "", body));
      } else if (target.starts_with("/bambootack/log-append")) {
        const std::string as_of = Query(target, "asOf");
        if (!as_of.empty() &&
            std::strtoull(as_of.c_str(), nullptr, 10) != topic.records.size()) {
          const std::string body =
              "{\"end\":" + std::to_string(topic.records.size()) + "}";
          lock.unlock();
          connection.Write(Response(412, json, body));
          continue;
        }
        const std::uint64_t offset = Append(topic, request.body.substr(4));
        lock.unlock();
        connection.Write(Response(200, json,
                                  "{\"offset\":" + std::to_string(offset) +
                                      ",\"end\":" + std::to_string(offset + 1) +
                                      "}"));
      } else {
        lock.unlock();
        connection.Write(Response(404, "", ""));
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  std::map<std::string, Clock::time_point> server_reads_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

// One gateway process.
class Gateway {
 public:
  Gateway(std::string root, std::string folder, std::string ip,
          std::string zone, std::string store)
      : root_(std::move(root)),
        folder_(std::move(folder)),
        ip_(std::move(ip)),
        zone_(std::move(zone)),
        store_(std::move(store)) {}
  ~Gateway() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  std::string Front() const { return ip_ + ":8144"; }
  std::string Ready() const { return ip_ + ":8140"; }
  pid_t Pid() const { return pid_; }

  void Start(bool first) {
    const std::string path = folder_ + "/" + ip_ + ".toml";
    std::ofstream(path) << Settings(first);
    const std::string program = root_ + "/target/bambootack-gateway";
    const std::string log = folder_ + "/" + ip_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the script.
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      if (chdir(root_.c_str()) != 0) _exit(127);
      setenv("BAMBOOTACK_SETTINGS", path.c_str(), 1);
      execl(program.c_str(), program.c_str(), "--settings", path.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  void Signal(int signal) const { kill(pid_, signal); }
  // True once the process has ended.
  bool Ended(int* status = nullptr) {
    int code = 0;
    if (pid_ > 0 && waitpid(pid_, &code, WNOHANG) == pid_) {
      pid_ = 0;
      if (status != nullptr) *status = code;
    }
    return pid_ <= 0;
  }
  bool IsReady() const {
    Connection connection;
    Message answer;
    return connection.Connect(Ready()) &&
           connection.Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           connection.Read(answer, 500) == Connection::Result::kMessage &&
           answer.Status() == 200;
  }
  bool WaitReady(int ms) const {
    for (const double end = Seconds() + ms / 1000.0; Seconds() < end;) {
      if (IsReady()) return true;
      SleepMs(50);
    }
    return false;
  }
  // Resident memory in MB, as the kernel reports it.
  double ResidentMb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + 6) / 1024;
    }
    return 0.0;
  }

 private:
  // deploy/gateway.toml with its placeholders filled in.
  std::string Settings(bool first) const {
    std::ifstream in(root_ + "/deploy/gateway.toml");
    std::string text(std::istreambuf_iterator<char>(in), {});
    const std::map<std::string, std::string> values{
        {"nodeName", "edge-" + ip_},
        {"zone", zone_},
        {"listen.front", Front()},
        {"listen.ready", Ready()},
        {"ip", ip_},
        {"internalPorts.0", "7660"},
        {"platform.address", store_},
        {"bounds",
         R"({"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":4000,)"
         R"("catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,)"
         R"("configApplyMs":2000,"rollbackSlackMs":250,"outerMs":5000,)"
         R"("retryBudgetRatio":0.2,"retryWindowS":10,"retryBudgetSlack":80,)"
         R"("recoveryS":15,"probesPerS":3,"floorShare":0.7})"},
        {"firstStart", first ? "true" : "false"}};
    for (const auto& [name, value] : values) {
      const std::string mark = "{{" + name + "}}";
      for (auto at = text.find(mark); at != std::string::npos;
           at = text.find(mark, at + value.size())) {
        text.replace(at, mark.size(), value);
      }
    }
    return text;
  }
  std::string root_, folder_, ip_, zone_, store_;
  pid_t pid_ = 0;
};

// A backend: `slots` requests at a time, and a queue of 16.
class Backend {
 public:
  struct Options {
    std::string id, service, address, zone;
    int slots = 3;
    int work_ms = 200;
  };
  Backend(Store& store, Record& record, Options options)
      : store_(store),
        record_(record),
        options_(std::move(options)),
        listener_(options_.address, [this](auto it) { Serve(it); }) {}

  void Report(const std::string& state) {
    const std::scoped_lock lock(mutex_);
    store_.Put("keyed.servers", options_.id,
               "{\"service\":\"" + options_.service + "\",\"address\":\"" +
                   options_.address + "\",\"zone\":\"" + options_.zone +
                   "\",\"version\":\"v1\",\"slots\":" +
                   std::to_string(options_.slots) + ",\"state\":\"" + state +
                   "\",\"warmupLeftMs\":0,\"seq\":" + std::to_string(++seq_) +
                   ",\"born\":1700000000000}");
  }
  void Remove() { store_.Put("keyed.servers", options_.id, ""); }
  // Work of one request in ms; by default that of the options.
  std::function<int(const Message&)> work;
  // Called before the usual answer, if set. If it returns true, the connection
  // is closed; with `answered_by_hook`, it sends all answers itself.
  std::function<bool(Connection&, const Message&, const std::string& answer)>
      answer;
  bool answered_by_hook = false;
  std::atomic<bool> leaving{false};  // All its answers say so.
  std::atomic<int> runs{0};
  std::atomic<int> at_work{0};

 private:
  void Serve(const std::shared_ptr<Connection>& connection) {
    Message request;
    while (connection->Read(request, 10000) == Connection::Result::kMessage) {
      const std::string id = request.Get("x-attempt-id");
      const std::string expected = request.Get("x-expect-instance");
      const std::string load =
          std::string(leaving ? "Server-Leaving: 1\r\n" : "") +
          "X-Backend-Load: " + std::to_string(at_work) + ",0," +
          std::to_string(options_.slots) + "\r\n";
      const std::string echo = "X-Attempt-Id: " + id + "\r\n";
      if (!expected.empty() && expected != options_.id) {
        connection->Write(
            Response(421, echo + "X-Instance-Id: " + options_.id + "\r\n", ""));
        continue;
      }
      std::unique_lock lock(mutex_);
      if (at_work >= options_.slots && queued_ >= 16) {
        lock.unlock();
        connection->Write(
            Response(503, echo + load + "X-Not-Executed: 1\r\n", ""));
        continue;
      }
      ++queued_;
      free_.wait(lock, [&] { return at_work < options_.slots; });
      --queued_;
      ++at_work;
      lock.unlock();
      ++runs;
      record_.Line("run " + id + " at " + options_.id + " " + request.first +
                   " body=" + std::to_string(request.body.size()));
      SleepMs(work ? work(request) : options_.work_ms);
      --at_work;
      free_.notify_one();
      const std::string body = "done " + id + "\n";
      const std::string text =
          Response(200,
                   echo + "X-Response-Signature: sig-" + id + "\r\n" +
                       (leaving ? "Server-Leaving: 1\r\n" : "") +
                       "X-Backend-Load: " + std::to_string(at_work) + ",0," +
                       std::to_string(options_.slots) + "\r\n",
                   body);
      if (answer && answer(*connection, request, text)) return;
      if (answered_by_hook) continue;
      connection->Write(text);
      record_.Line("answered " + id + " by " + options_.id);
    }
  }
  Store& store_;
  Record& record_;
  Options options_;
  std::mutex mutex_;
  std::condition_variable free_;
  int queued_ = 0;
  int seq_ = 0;
  Listener listener_;
};

inline std::string Config(int version) {
  return "{\"version\":\"r" + std::to_string(version) +
         "\",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\","
         "\"routeType\",\"timeoutMs\",\"targetLatencyMs\",\"priority\","
         "\"service\",\"maxAttempts\",\"trafficSplit\"],\"rows\":["
         "[\"r-read\",\"desk.example\",\"/read/\",\"safe\",5000,4000,1,"
         "\"desk\",2,null],"
         "[\"r-book\",\"desk.example\",\"/book/\",\"non_idempotent\",5000,600,"
         "0,\"desk\",2,null],"
         "[\"r-pay\",\"desk.example\",\"/pay/\",\"non_idempotent\",5000,600,"
         "0,\"pay\",2,null],"
         "[\"r-list\",\"desk.example\",\"/list/\",\"safe\",5000,600,1,"
         "\"list\",2,null]]},"
         "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\","
         "\"protocol\",\"tls\"],\"rows\":[[\"desk\",\"/"
         "health\",477,\"h1\",false],"
         "[\"pay\",\"/health\",477,\"h1\",false],"
         "[\"list\",\"/"
         "health\",477,\"h1\",false]]},\"limits\":{\"maxHeaderBytes\":16384,"
         "\"maxBodyBytes\":"
         "67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

inline std::string Request(const std::string& method, const std::string& path,
                           const std::string& id, int deadline_ms,
                           const std::string& body = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" +
         "X-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
         (method == "GET"
              ? std::string()
              : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

// A network of loopback addresses of its own for each run.
inline std::string Net() {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(16 + (pid >> 8) % 200) + "." +
         std::to_string(pid & 0xFF) + ".";
}

}  // namespace review

#endif  // REVIEW_FLEET_H_

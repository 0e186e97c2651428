#ifndef REVIEW_RIG_2_H_
#define REVIEW_RIG_2_H_

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "bench/scenario/process.h"
#include "standin/platform/store.h"

// Stand-ins of the cases of the second review: a store, backends, clients and
// the gateways as processes, on loopback addresses of this process.

namespace rig {

using Clock = std::chrono::steady_clock;

/// Seconds since the start of the rig.
double Now();

void SleepMs(int ms);

/// True unless the environment holds TROUBLE=0.
bool HasTrouble();

/// Writes lines with their time to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  [[nodiscard]] std::string Field(const std::string& name) const;
};

/// A connection with blocking reads. The owner closes it.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  /// Reads a message with a length or without a body.
  bool Read(Message& message);
  bool Write(const std::string& bytes);
  [[nodiscard]] int Fd() const { return fd_; }

 private:
  int fd_;
  std::string buf_;
};

/// A connection to an address, or -1. `mss` and `receive_bytes` are set before
/// if they aren't 0.
int Connect(const std::string& ip, int port, int timeout_ms, int mss = 0,
            int receive_bytes = 0);

struct Answer {
  int status = 0;  ///< 0: the connection ended without a whole answer.
  Message message;
};

/// Sends one request on a new connection and waits for its answer.
Answer Ask(const std::string& ip, int port, const std::string& bytes,
           int timeout_ms);

/// A backend. Its handler runs on a thread for each connection and returns the
/// bytes to send, or nothing to close.
class Backend {
 public:
  using Handler =
      std::function<std::optional<std::string>(const Message&, Backend&)>;

  Backend(std::string ip, int port, std::string service, std::string zone,
          Handler handler);
  ~Backend();

  /// Starts as a new incarnation.
  void Start(std::string id);
  /// Ends at once, with all connections, as a process that crashes.
  void Crash();
  [[nodiscard]] bool IsUp() const { return up_; }
  [[nodiscard]] std::string Id();
  [[nodiscard]] const std::string& Ip() const { return ip_; }
  [[nodiscard]] std::string Entry();

  const int slots = 4;
  std::atomic<int> running{0};

 private:
  void Accept(int listener);
  void Serve(int fd);

  std::string ip_;
  int port_;
  std::string service_;
  std::string zone_;
  Handler handler_;
  std::mutex mutex_;
  std::string id_;
  std::int64_t born_ = 0;
  std::int64_t seq_ = 0;
  std::atomic<bool> up_{false};
  int listener_ = -1;
  std::set<int> fds_;
  std::atomic<int> threads_{0};
};

/// Connection that the handler of this thread serves.
int CurrentFd();

struct Route {
  std::string prefix;
  std::string type;
  std::string service;
  int timeout_ms = 3000;
  int target_ms = 1500;
  int priority = 1;
};

/// Store, backends and gateways of one run.
class Rig {
 public:
  struct Options {
    std::size_t gateways = 3;
    int memory_mb = 198;
    int max_fds = 3124;
    std::string bounds;  ///< Those of sites/lmcg-gateway.toml if empty.
    std::vector<Route> routes;
    std::vector<std::string> services;
  };

  explicit Rig(Options options);
  ~Rig();

  Backend& AddBackend(const std::string& service, Backend::Handler handler);
  /// Writes the configuration and starts heartbeats and gateways. False if a
  /// gateway isn't ready in time.
  bool Start();
  /// Writes a configuration as the operator does.
  void PutConfig(int version, const std::vector<Route>& routes);
  [[nodiscard]] std::string GatewayIp(std::size_t i) const;
  [[nodiscard]] bench::Process& Gateway(std::size_t i) { return *gateways_[i]; }
  /// Starts a gateway again that has ended.
  void Restart(std::size_t i);
  [[nodiscard]] bool IsReady(std::size_t i) const;
  [[nodiscard]] std::string NewId();
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

  static constexpr int kFrontPort = 9101;
  static constexpr int kReadyPort = 9104;
  static constexpr int kPeerPort = 9103;
  static constexpr int kBackendPort = 9106;
  std::vector<std::unique_ptr<Backend>> backends;

 private:
  void Beat();
  std::string Settings(std::size_t i, bool first) const;
  void Launch(std::size_t i, bool first);

  Options options_;
  std::string network_;
  std::string folder_;
  asio::io_context io_;
  standin::Store store_;
  std::thread io_thread_;
  std::thread beat_thread_;
  std::atomic<bool> ending_{false};
  std::atomic<int> last_id_{0};
  std::vector<std::unique_ptr<bench::Process>> gateways_;
  std::mutex entries_mutex_;
  std::map<std::string, double> beat_at_;  ///< Of the entries in the store.
};

}  // namespace rig

#endif  // REVIEW_RIG_2_H_

#include <fmt/format.h>
#include <getopt.h>
#include <signal.h>

#include <asio.hpp>
#include <charconv>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/net/http_server.h"
#include "bambootack/net/platform_json.h"
#include "bambootack/node/events.h"
#include "standin/common/query.h"

// The platform's log service and VM list for tests. Faults are switched by
// POST /fault?down=1&lose_answers=1&keep=N; the VM list is replaced by
// POST /vms with the JSON that GET /vms answers.

namespace {

namespace core = bambootack::core;
namespace net = bambootack::net;
namespace node = bambootack::node;

constexpr std::size_t kMaxRecordsPerRead = 1000;

struct Stream {
  std::uint64_t first = 0;
  std::vector<node::LogRecord> records;
};

class Platform {
 public:
  explicit Platform(const std::string& address)
      : server_({.address = address},
                [this](core::CallerId caller, core::HttpRequest http) {
                  asio::post(io_, [this, caller, http = std::move(http)] {
                    Handle(caller, http);
                  });
                },
                {}) {}

  void Run() {
    asio::signal_set signals(io_, SIGTERM, SIGINT);
    signals.async_wait([this](std::error_code, int) { io_.stop(); });
    const auto work = asio::make_work_guard(io_);
    io_.run();
  }

 private:
  void Handle(core::CallerId caller, const core::HttpRequest& http) {
    const std::string path(core::PathOf(http.target));
    if (path == "/fault") {
      SetFaults(http.target);
      server_.Answer(caller, {200, {}, "ok\n"});
    } else if (down_) {
      server_.Answer(caller, {503, {}, "unavailable\n"});
    } else if (path == "/vms") {
      HandleVms(caller, http);
    } else if (path.starts_with("/log/")) {
      HandleLog(caller, http, path.substr(5));
    } else {
      server_.Answer(caller, {404, {}, "no such path\n"});
    }
  }

  void SetFaults(const std::string& target) {
    down_ = standin::QueryInteger(target, "down").value_or(down_ ? 1 : 0) != 0;
    lose_answers_ = standin::QueryInteger(target, "lose_answers")
                        .value_or(lose_answers_ ? 1 : 0) != 0;
    keep_ = standin::QueryInteger(target, "keep").value_or(keep_);
    for (auto& [name, stream] : streams_) {
      Expire(stream);
    }
  }

  void Expire(Stream& stream) const {
    while (stream.records.size() > keep_) {
      stream.records.erase(stream.records.begin());
      ++stream.first;
    }
  }

  void HandleVms(core::CallerId caller, const core::HttpRequest& http) {
    if (http.method == "POST") {
      std::istringstream in(http.body);
      cereal::JSONInputArchive archive(in);
      archive(cereal::make_nvp("vms", vms_));
      server_.Answer(caller, {200, {}, "ok\n"});
      return;
    }
    std::ostringstream out;
    {
      cereal::JSONOutputArchive archive(
          out, cereal::JSONOutputArchive::Options::NoIndent());
      archive(cereal::make_nvp("vms", vms_));
    }
    server_.Answer(caller, {200, {}, out.str()});
  }

  void HandleLog(core::CallerId caller, const core::HttpRequest& http,
                 const std::string& name) {
    Stream& stream = streams_[name];
    if (http.method == "POST") {
      Append(caller, http, stream);
    } else {
      Read(caller, http, stream);
    }
  }

  void Append(core::CallerId caller, const core::HttpRequest& http,
              Stream& stream) {
    node::LogRecord record;
    record.offset = stream.first + stream.records.size();
    record.id = core::FindHeader(http.headers, "Record-Id").value_or("");
    record.body = http.body;
    const std::uint64_t offset = record.offset;
    stream.records.push_back(std::move(record));
    Expire(stream);
    if (lose_answers_) {
      server_.Answer(caller, {504, {}, "lost\n"});
    } else {
      server_.Answer(caller, {200, {}, std::to_string(offset)});
    }
  }

  void Read(core::CallerId caller, const core::HttpRequest& http,
            const Stream& stream) {
    const std::uint64_t from = std::max(
        stream.first, standin::QueryInteger(http.target, "from").value_or(0));
    std::vector<node::LogRecord> records;
    for (const node::LogRecord& it : stream.records) {
      if (it.offset >= from && records.size() < kMaxRecordsPerRead) {
        records.push_back(it);
      }
    }
    std::ostringstream out;
    {
      cereal::JSONOutputArchive archive(
          out, cereal::JSONOutputArchive::Options::NoIndent());
      archive(cereal::make_nvp("first", stream.first),
              cereal::make_nvp("next", stream.first + stream.records.size()),
              cereal::make_nvp("records", records));
    }
    server_.Answer(caller, {200, {}, out.str()});
  }

  std::map<std::string, Stream> streams_;
  std::vector<node::ListedVm> vms_;
  bool down_ = false;
  bool lose_answers_ = false;
  std::uint64_t keep_ = 1'000'000;
  asio::io_context io_;
  net::HttpServer server_;
};

}  // namespace

int main(int argc, char** argv) {
  static const option kLongOptions[] = {
      {"address", required_argument, nullptr, 'a'}, {nullptr, 0, nullptr, 0}};
  std::string address;
  while (getopt_long(argc, argv, "", kLongOptions, nullptr) == 'a') {
    address = optarg;
  }
  if (address.empty()) {
    fmt::print(stderr, "usage: standin-platform --address IP:PORT\n");
    return 2;
  }
  Platform(address).Run();
  return 0;
}

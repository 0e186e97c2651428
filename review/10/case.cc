// Backends that spoil the head of some of their answers.
//
// Rule (RULES.md, MIXED): "A client gets [...] bytes that are no answer in the
// protocol (unless the backend itself broke off)."

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <random>

#include "review/rig-2.h"

namespace {

constexpr int kBackends = 6;
/// "garble": half of the servers spoil one in fifty of their answers.
constexpr int kFaulty = 3;
constexpr int kSpoilOneIn = 50;
constexpr int kCallers = 6;
constexpr double kRunS = 40.0;

std::string Head(const std::string& bytes) {
  return bytes.substr(0, bytes.find("\r\n\r\n"));
}

std::string Visible(const std::string& bytes) {
  std::string out;
  for (const char it : bytes) {
    const auto byte = static_cast<unsigned char>(it);
    out += byte < 0x20 || byte >= 0x7f ? fmt::format("\\x{:02x}", byte)
                                       : std::string(1, it);
  }
  return out;
}

/// What of a head is no HTTP/1.1 (RFC 9112, 4 and 5; RFC 9110, 5.5 and 5.6.2):
/// a status of three digits, names that are tokens, values without control
/// characters.
std::string FaultOf(const std::string& head) {
  std::size_t at = 0;
  for (bool first = true; at <= head.size(); first = false) {
    std::size_t eol = head.find("\r\n", at);
    eol = eol == std::string::npos ? head.size() : eol;
    const std::string line = head.substr(at, eol - at);
    at = eol + 2;
    if (first) {
      const bool valid =
          line.size() >= 13 && line.compare(0, 9, "HTTP/1.1 ") == 0 &&
          std::all_of(line.begin() + 9, line.begin() + 12,
                      [](char it) { return it >= '0' && it <= '9'; }) &&
          line[12] == ' ';
      if (!valid) {
        return "status line: " + Visible(line);
      }
      continue;
    }
    const std::size_t colon = line.find(':');
    constexpr const char* kToken =
        "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
        "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    if (colon == std::string::npos || colon == 0 ||
        line.substr(0, colon).find_first_not_of(kToken) != std::string::npos) {
      return "field name: " + Visible(line);
    }
    if (std::any_of(line.begin() + static_cast<std::ptrdiff_t>(colon),
                    line.end(), [](char it) {
                      const auto byte = static_cast<unsigned char>(it);
                      return (byte < 0x20 && it != '\t') || byte == 0x7f;
                    })) {
      return "field value: " + Visible(line);
    }
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    return 2;
  }
  rig::Record record(argv[1]);
  const bool trouble = rig::HasTrouble();
  rig::Rig::Options options;
  options.gateways = 1;
  options.services = {"desk"};
  options.routes = {{"/book/", "non_idempotent", "desk", 3000, 1500, 1}};
  rig::Rig world(options);

  std::atomic<int> runs{0};
  std::atomic<int> spoiled{0};
  for (int i = 0; i < kBackends; ++i) {
    const bool faulty = trouble && i < kFaulty;
    const auto handler = [&, faulty, n = std::make_shared<std::atomic<int>>(0)](
                             const rig::Message& request,
                             rig::Backend& self) -> std::optional<std::string> {
      const std::string id = request.Field("X-Attempt-Id");
      if (++self.running > self.slots) {
        --self.running;
        return "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
               "Content-Length: 0\r\n\r\n";
      }
      ++runs;
      rig::SleepMs(20);
      --self.running;
      std::string extra = "X-Server-Note: fine\r\n";
      const int number = ++*n;
      const bool spoil = faulty && number % kSpoilOneIn == 0;
      if (spoil) {
        ++spoiled;
        switch (number / kSpoilOneIn % 3) {
          case 0:
            extra = "X-Server No\te: fine\r\n";
            break;
          case 1:
            extra = std::string("X-Server-Note: fi\x01\re\r\n");
            break;
          default:
            extra = "Content-Length : 2\r\n";
            break;
        }
      }
      record.Line(fmt::format("run {} at {}{}", id, self.Id(),
                              spoil ? " answer spoiled" : ""));
      return fmt::format(
          "HTTP/1.1 200 OK\r\n{}X-Attempt-Id: {}\r\n"
          "X-Response-Signature: s-{}\r\nContent-Length: 4\r\n\r\nbody",
          extra, id, id);
    };
    world.AddBackend("desk", handler);
  }
  if (!world.Start()) {
    record.Line("the gateway is not ready");
    return 2;
  }
  rig::SleepMs(1000);
  const std::string ip = world.GatewayIp(0);
  const double end = rig::Now() + kRunS;
  std::atomic<int> answers{0};
  std::atomic<int> bad{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; rig::Now() < end; ++n) {
        const std::string id = fmt::format("c{}-{}", i, n);
        const int fd = rig::Connect(ip, rig::Rig::kFrontPort, 4000);
        if (fd < 0) {
          continue;
        }
        record.Line("send " + id);
        const std::string request = fmt::format(
            "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {}"
            "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\n"
            "Connection: close\r\n\r\n{{}}",
            id);
        rig::Connection(fd).Write(request);
        std::string bytes;
        char buf[4096];
        for (ssize_t got = 0; (got = recv(fd, buf, sizeof(buf), 0)) > 0;) {
          bytes.append(buf, static_cast<std::size_t>(got));
        }
        close(fd);
        ++answers;
        const std::string fault = FaultOf(Head(bytes));
        bad += fault.empty() ? 0 : 1;
        record.Line(fmt::format(
            "answer {} {}{}", id,
            Visible(
                bytes.substr(0, std::min<std::size_t>(bytes.find("\r\n"), 40))),
            fault.empty() ? "" : ", no answer in the protocol: " + fault));
        rig::SleepMs(20);
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  const std::string result = fmt::format(
      "answers {} runs {} spoiled by backends {}; no answers in the protocol "
      "handed to callers {}",
      answers.load(), runs.load(), spoiled.load(), bad.load());
  record.Line(result);
  fmt::print("{}\n", result);
  if (answers == 0 || (trouble && spoiled == 0)) {
    return 2;
  }
  return bad > 0 ? 1 : 0;
}

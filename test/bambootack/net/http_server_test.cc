#include "bambootack/net/http_server.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bambootack/net/raw_socket.h"

namespace core = bambootack::core;
namespace net = bambootack::net;

namespace {

constexpr std::size_t kMaxBody = 1000;
constexpr std::uint32_t kShortMs = 300;
constexpr std::uint32_t kLongMs = 60'000;

/// A server that answers GET /echo at once and everything else on demand.
class Server {
 public:
  explicit Server(std::uint32_t read_ms = kLongMs,
                  std::uint32_t write_ms = kLongMs)
      : server_(
            {.address = "127.0.0.1:0",
             .max_body_bytes = kMaxBody,
             .read_timeout_ms = read_ms,
             .write_timeout_ms = write_ms},
            [this](core::CallerId caller, core::HttpRequest http) {
              Handle(caller, http);
            },
            [this](core::CallerId caller) { gone.set_value(caller); }) {}

  RawClient Connect() { return RawClient(server_.Port()); }
  void Answer(core::CallerId caller, int status, std::string body) {
    server_.Answer(caller, {status, {}, std::move(body)});
  }

  std::atomic<int> requests = 0;
  std::promise<core::CallerId> waiting;
  std::promise<core::CallerId> gone;

 private:
  void Handle(core::CallerId caller, const core::HttpRequest& http) {
    ++requests;
    if (http.target == "/echo") {
      Answer(caller, 200, http.body + "|end");
    } else {
      waiting.set_value(caller);
    }
  }

  net::HttpServer server_;
};

/// A server that is answered by the test.
class ManualServer {
 public:
  ManualServer()
      : server_(
            {.address = "127.0.0.1:0"},
            [this](core::CallerId caller, core::HttpRequest http) {
              Add(requests_, std::pair(caller, std::move(http.target)));
            },
            [this](core::CallerId caller) { Add(gone_, caller); }) {}

  RawClient Connect() { return RawClient(server_.Port()); }

  /// Waits until a number of requests has been read.
  std::vector<std::pair<core::CallerId, std::string>> WaitForRequests(
      std::size_t count) {
    return WaitFor(requests_, count);
  }

  /// Waits until a number of callers has hung up.
  std::vector<core::CallerId> WaitForGone(std::size_t count) {
    return WaitFor(gone_, count);
  }

  [[nodiscard]] std::size_t UnsentCount() const {
    return server_.UnsentCount();
  }

  void Answer(core::CallerId caller, const std::string& body, bool close) {
    core::HttpAnswer answer{200, {}, body};
    if (close) {
      answer.headers.push_back({"Connection", "close"});
    }
    server_.Answer(caller, std::move(answer));
  }

 private:
  static constexpr std::chrono::seconds kLimit{20};

  template <typename T>
  void Add(std::vector<T>& list, T value) {
    const std::scoped_lock lock(mutex_);
    list.push_back(std::move(value));
    changed_.notify_all();
  }

  template <typename T>
  std::vector<T> WaitFor(const std::vector<T>& list, std::size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, kLimit, [&] { return list.size() >= count; });
    return list;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::pair<core::CallerId, std::string>> requests_;
  std::vector<core::CallerId> gone_;
  net::HttpServer server_;
};

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

struct RefusalCase {
  std::string name;
  std::string request;
  std::string status = "HTTP/1.1 400 Bad Request";
};

std::string Fields(int count) {
  std::string fields;
  for (int i = 0; i < count; ++i) {
    fields += "F" + std::to_string(i) + ": 1\r\n";
  }
  return fields;
}

const std::string kHead = "POST /echo HTTP/1.1\r\nHost: a\r\n";
const std::string kTooLarge = "HTTP/1.1 413 Payload Too Large";

const std::vector<RefusalCase> kRefused{
    {"two lengths", kHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
    {"two equal lengths",
     kHead + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na"},
    {"list of lengths", kHead + "Content-Length: 1, 1\r\n\r\na"},
    {"signed length", kHead + "Content-Length: +1\r\n\r\na"},
    {"length with chunks", kHead + "Content-Length: 5\r\nTransfer-Encoding: "
                                   "chunked\r\n\r\n0\r\n\r\n"},
    {"chunks with length", kHead +
                               "Transfer-Encoding: chunked\r\nContent-Length: "
                               "5\r\n\r\n0\r\n\r\n"},
    {"unknown coding", kHead + "Transfer-Encoding: xchunked\r\n\r\n"},
    {"coding before chunked",
     kHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
    {"two codings", kHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n0\r\n\r\n"},
    {"folded value", kHead + "A: b\r\n c: d\r\n\r\n"},
    {"folded value after a tab", kHead + "A: b\r\n\tc\r\n\r\n"},
    {"folded empty value", kHead + "A:\r\n b\r\n\r\n"},
    {"folded blank line", kHead + "A:\r\n \r\nB: c\r\n\r\n"},
    {"folded with bare newline", kHead + "A: b\n c\r\n\r\n"},
    {"blank before the colon", kHead + "Content-Length : 1\r\n\r\na"},
    {"chunk size without digits",
     kHead + "Transfer-Encoding: chunked\r\n\r\nx\r\n\r\n"},
    {"signed chunk size",
     kHead + "Transfer-Encoding: chunked\r\n\r\n-1\r\na\r\n0\r\n\r\n"},
    {"chunk size that overflows",
     kHead + "Transfer-Encoding: chunked\r\n\r\n10000000000000001\r\na\r\n"},
    {"chunk without its end",
     kHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n"},
    {"absolute form", "GET http://b/echo HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"authority form", "CONNECT b:80 HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"no Host", "GET /echo HTTP/1.1\r\n\r\n"},
    {"two Hosts", "GET /echo HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
    {"empty Host", "GET /echo HTTP/1.1\r\nHost:\r\n\r\n"},
    {"Host with a path", "GET /echo HTTP/1.1\r\nHost: a/b\r\n\r\n"},
    {"control character", "GET /echo HTTP/1.1\r\nHost: a\r\nA: b\x01\r\n\r\n"},
    {"unknown method", "FLY /echo HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"not HTTP", "hello\r\n\r\n"},
    {"too many fields", kHead + Fields(101) + "\r\n"},
    {"too long name", kHead + std::string(300, 'n') + ": 1\r\n\r\n"},
    {"too long value", kHead + "A: " + std::string(9000, 'v') + "\r\n\r\n"},
    {"too long target",
     "GET /" + std::string(9000, 't') + " HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"too long body", kHead + "Content-Length: 1001\r\n\r\n", kTooLarge},
    {"too long chunked body",
     kHead + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
         std::string(1001, 'b') + "\r\n0\r\n\r\n",
     kTooLarge},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server)

// Guards against requests that two servers read differently (request
// smuggling), and against requests beyond the limits, however they are split.
BOOST_AUTO_TEST_CASE(refused_requests_get_one_answer_and_a_closed_connection) {
  Server server;
  for (const RefusalCase& it : kRefused) {
    for (const bool split : {false, true}) {
      BOOST_TEST_CONTEXT(it.name << (split ? ", split" : "")) {
        RawClient client = server.Connect();
        if (split && it.request.size() < 200) {
          for (const char byte : it.request) {
            client.Send(std::string(1, byte));
          }
        } else {
          client.Send(it.request);
        }
        const std::string answer = client.ReadAll();
        BOOST_TEST(answer.starts_with(it.status + "\r\n"), answer);
        BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos);
        BOOST_TEST(answer.find("Bambootack-Outcome: ") != std::string::npos);
      }
    }
  }
  BOOST_TEST(server.requests == 0);
}

// Guards against strict rules that refuse ordinary requests, byte by byte too.
BOOST_AUTO_TEST_CASE(ordinary_requests_are_answered_with_a_reason_phrase) {
  Server server;
  const std::vector<std::string> requests{
      kHead + "Content-Length: 3\r\nA:  b c \r\nE:\r\nF: g\r\n\r\nab ",
      kHead +
          "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\n \r\n0\r\n\r\n",
      kHead +
          "Connection: upgrade\r\nUpgrade: x\r\nContent-Length: 3\r\n\r\nab "};
  for (const std::string& it : requests) {
    for (const bool split : {false, true}) {
      RawClient client = server.Connect();
      for (std::size_t i = 0; i < it.size(); i += split ? 1 : it.size()) {
        client.Send(it.substr(i, split ? 1 : it.size()));
      }
      const std::string answer = client.ReadUntil("|end");
      BOOST_TEST(answer.starts_with("HTTP/1.1 200 OK\r\n"), answer);
      BOOST_TEST(answer.ends_with("\r\n\r\nab |end"), answer);
    }
  }
}

// Guards against a slot that stays taken for a caller that has left.
BOOST_AUTO_TEST_CASE(caller_that_hangs_up_is_reported) {
  Server server;
  RawClient client = server.Connect();
  client.Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  const core::CallerId caller = server.waiting.get_future().get();
  client.Close();
  BOOST_TEST((server.gone.get_future().get() == caller));
  server.Answer(caller, 200, "late");
}

// Guards against a refusal that a caller takes for the answer to its earlier
// request on the same connection.
BOOST_AUTO_TEST_CASE(refusal_does_not_take_the_place_of_an_answer) {
  Server server;
  RawClient client = server.Connect();
  client.Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\nhello\r\n\r\n");
  const core::CallerId caller = server.waiting.get_future().get();
  BOOST_TEST((server.gone.get_future().get() == caller));
  server.Answer(caller, 200, "late");
  BOOST_TEST(client.ReadAll().empty());
}

// Guards against connections that a slow caller holds for ever.
BOOST_AUTO_TEST_CASE(slow_request_ends_by_timeout) {
  Server server(kShortMs, kLongMs);
  RawClient client = server.Connect();
  client.Send("GET /echo HTTP/1.1\r\nHost:");
  BOOST_TEST(client.ReadAll().empty());
  BOOST_TEST(server.requests == 0);
}

// Guards against an answer that is kept in memory for a caller that does not
// read it. The answer exceeds what the system buffers for a connection.
BOOST_AUTO_TEST_CASE(slow_reading_ends_by_timeout) {
  constexpr std::size_t kAnswerBytes = 64UL * 1024 * 1024;
  constexpr int kMaxTries = 3000;
  Server server(kLongMs, kShortMs);
  RawClient client = server.Connect();
  client.Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  const core::CallerId caller = server.waiting.get_future().get();
  server.Answer(caller, 200, std::string(kAnswerBytes, 'x'));
  // The start of another request, which does not end the connection by itself.
  client.Send("GET /");
  for (int i = 0; i < kMaxTries && client.Send("a"); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  BOOST_TEST(client.ReadAll().size() < kAnswerBytes);
}

// Guards against a thread for each server of a process that has one for all.
BOOST_AUTO_TEST_CASE(a_server_runs_on_a_given_context) {
  asio::io_context context;
  std::thread::id handler_thread;
  net::HttpServer* server = nullptr;
  net::HttpServer instance(
      {.address = "127.0.0.1:0", .context = &context},
      [&](core::CallerId caller, const core::HttpRequest& /*http*/) {
        handler_thread = std::this_thread::get_id();
        server->Answer(caller, {200, {}, "here"});
      },
      {});
  server = &instance;
  std::thread runner([&] { context.run_for(std::chrono::seconds(60)); });
  RawClient client(instance.Port());
  client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(client.ReadUntil("here").find("200 OK") != std::string::npos);
  BOOST_TEST((handler_thread == runner.get_id()));
  context.stop();
  runner.join();
}

// Guards against a pipelined request that is not read before the first one is
// answered, while its caller gives up, and against answers out of order.
BOOST_AUTO_TEST_CASE(
    pipelined_requests_are_read_at_once_and_answered_in_order) {
  constexpr std::size_t kCount = 6;
  ManualServer server;
  RawClient client = server.Connect();
  std::string requests;
  for (std::size_t i = 0; i < kCount; ++i) {
    requests += Get("/" + std::to_string(i));
  }
  client.Send(requests);
  auto read = server.WaitForRequests(kCount);
  BOOST_TEST_REQUIRE(read.size() == kCount);
  for (std::size_t i = kCount; i-- > 0;) {
    server.Answer(read[i].first, "body" + read[i].second + ";", i == 0);
  }
  std::string answers = client.ReadUntil("body/5;");
  std::size_t position = 0;
  for (std::size_t i = 0; i < kCount; ++i) {
    const std::size_t at = answers.find("body/" + std::to_string(i) + ";");
    BOOST_TEST(at != std::string::npos, i);
    BOOST_TEST(at >= position, i);
    position = at;
  }
}

// Guards against an answer that closes the connection while a request behind it
// is at work: its answer would be lost.
BOOST_AUTO_TEST_CASE(
    a_connection_closes_after_the_answer_to_its_newest_request) {
  ManualServer server;
  RawClient client = server.Connect();
  client.Send(Get("/0") + Get("/1") + Get("/2"));
  const auto read = server.WaitForRequests(3);
  BOOST_TEST_REQUIRE(read.size() == 3U);
  server.Answer(read[0].first, "first;", true);
  BOOST_TEST(client.ReadUntil("first;").find("close") == std::string::npos);
  server.Answer(read[2].first, "third;", false);
  server.Answer(read[1].first, "second;", true);
  const std::string answers = client.ReadAll();
  BOOST_TEST(answers.find("second;") < answers.find("third;"));
  BOOST_TEST(answers.find("third;") != std::string::npos);
  BOOST_TEST(CountOf(answers, "Connection: close") == 1U);
}

// Guards against a request that is handled although an answer before it has
// announced the close, so that its caller sends it again.
BOOST_AUTO_TEST_CASE(requests_behind_a_closing_answer_are_not_handled) {
  ManualServer server;
  RawClient client = server.Connect();
  client.Send(Get("/0") + Get("/1"));
  auto read = server.WaitForRequests(2);
  BOOST_TEST_REQUIRE(read.size() == 2U);
  server.Answer(read[0].first, "first;", true);
  client.ReadUntil("first;");
  client.Send(Get("/2"));
  server.Answer(read[1].first, "second;", false);
  const std::string answers = client.ReadAll();
  BOOST_TEST(answers.find("second;") != std::string::npos);
  BOOST_TEST(server.WaitForRequests(2).size() == 2U);
}

// Guards against a planned stop that waits for an answer whose caller hung up
// before it could be sent.
BOOST_AUTO_TEST_CASE(answers_of_a_closed_connection_are_not_counted_as_unsent) {
  ManualServer server;
  RawClient client = server.Connect();
  client.Send(Get("/0") + Get("/1"));
  const auto read = server.WaitForRequests(2);
  BOOST_TEST_REQUIRE(read.size() == 2U);
  server.Answer(read[1].first, "waits for the first one", false);
  BOOST_TEST(server.UnsentCount() == 1U);
  client.Close();
  BOOST_TEST_REQUIRE(server.WaitForGone(1).size() == 1U);
  BOOST_TEST(server.UnsentCount() == 0U);
}

// Guards against work that goes on for the requests of a caller that has hung
// up with several in flight.
BOOST_AUTO_TEST_CASE(
    each_pipelined_request_of_a_caller_that_hangs_up_is_reported) {
  ManualServer server;
  RawClient client = server.Connect();
  client.Send(Get("/0") + Get("/1") + Get("/2"));
  BOOST_TEST_REQUIRE(server.WaitForRequests(3).size() == 3U);
  client.Close();
  BOOST_TEST(server.WaitForGone(3).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

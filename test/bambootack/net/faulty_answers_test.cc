#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "bambootack/net/http_client.h"
#include "bambootack/net/raw_socket.h"

namespace core = bambootack::core;
namespace net = bambootack::net;
namespace node = bambootack::node;

namespace {

using node::AttemptEnd;

constexpr net::AnswerLimits kLimits{.body_bytes = 100'000,
                                    .total_body_bytes = 150'000};

/// Longer than any test takes: no answer below may end by a timeout.
constexpr core::Duration kLong = std::chrono::seconds(60);

/// What the kernel may take from a server before the client's close reaches it.
constexpr std::size_t kSocketBufferBytes = 16UL * 1024 * 1024;

const std::string kOk = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\n";

/// A call as the gateway makes it.
net::HttpCall CallOf(const RawServer& server) {
  net::HttpCall call{server.Address(), {"POST", "/x", {}, "body"}, kLong};
  call.fresh_connection = true;
  call.accept_unframed = true;
  return call;
}

std::future<net::HttpCallResult> Start(net::HttpClient& client,
                                       std::uint64_t id, net::HttpCall call) {
  auto result = std::make_shared<std::promise<net::HttpCallResult>>();
  client.Start(id, std::move(call), [result](net::HttpCallResult it) {
    result->set_value(std::move(it));
  });
  return result->get_future();
}

struct EndlessCase {
  std::string name;
  std::string start;
  std::string repeated;
};

const std::vector<EndlessCase> kEndless{
    {"bytes that are no answer", "", std::string(1000, 'x')},
    {"bytes that are no answer, in lines", "", "hello\r\n"},
    {"status line", "HTTP/1.1 200 ", std::string(1000, 'O')},
    {"field", kOk + "A: ", std::string(1000, 'a')},
    {"fields", kOk, "A: b\r\n"},
    {"interim answers", "", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n"},
    {"body without a length", kOk + "\r\n", std::string(1000, 'b')},
    {"chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n",
     "3e8\r\n" + std::string(1000, 'b') + "\r\n"},
    {"chunk extension", kOk + "Transfer-Encoding: chunked\r\n\r\n1;",
     std::string(1000, 'e')},
    {"trailers", kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
    {"body longer than allowed", kOk + "Content-Length: 99999999999\r\n\r\n",
     std::string(1000, 'b')},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(faulty_answers)

// Guards against an answer that breaks off in its head and is passed on as a
// success with an empty body.
BOOST_AUTO_TEST_CASE(answers_that_end_within_their_head_are_invalid) {
  const std::string head = kOk + "Content-Length: 2\r\n\r\n";
  for (std::size_t n = 1; n < head.size(); ++n) {
    net::HttpClient client(kLimits);
    RawServer server([&](RawServer::Socket& socket, int) {
      server.ReadRequest(socket);
      RawServer::Write(socket, head.substr(0, n));
    });
    const auto result = Start(client, 1, CallOf(server)).get();
    BOOST_TEST((result.end != AttemptEnd::kAnswered),
               "after " << n << " bytes");
  }
}

// Guards against a server whose bytes fill the memory of the VM, or hold a
// request until its deadline.
BOOST_AUTO_TEST_CASE(endless_answers_are_cut_off) {
  for (const EndlessCase& it : kEndless) {
    BOOST_TEST_CONTEXT(it.name) {
      net::HttpClient client(kLimits);
      std::atomic<std::size_t> written = 0;
      RawServer server([&](RawServer::Socket& socket, int) {
        server.ReadRequest(socket);
        std::string block = it.start;
        std::error_code ec;
        while (!ec && written < 2 * kSocketBufferBytes) {
          while (block.size() < 64'000) {
            block += it.repeated;
          }
          written += asio::write(socket, asio::buffer(block), ec);
          block.clear();
        }
      });
      const auto result = Start(client, 1, CallOf(server)).get();
      BOOST_TEST((result.end != AttemptEnd::kAnswered));
      BOOST_TEST(result.answer.body.size() == 0U);
      BOOST_TEST(written < kSocketBufferBytes);
    }
  }
}

// Guards against chunks whose number costs all other calls their time, within a
// limit for the body that ordinary downloads need.
BOOST_AUTO_TEST_CASE(chunks_of_one_byte_are_cut_off_early) {
  net::HttpClient client(net::AnswerLimits{.body_bytes = 8'000'000,
                                           .total_body_bytes = 8'000'000});
  std::atomic<std::size_t> written = 0;
  RawServer server([&](RawServer::Socket& socket, int) {
    server.ReadRequest(socket);
    std::string block = kOk + "Transfer-Encoding: chunked\r\n\r\n";
    std::error_code ec;
    while (!ec && written < 2 * kSocketBufferBytes) {
      while (block.size() < 64'000) {
        block += "1\r\nb\r\n";
      }
      written += asio::write(socket, asio::buffer(block), ec);
      block.clear();
    }
  });
  BOOST_TEST(
      (Start(client, 1, CallOf(server)).get().end == AttemptEnd::kInvalid));
  BOOST_TEST(written < kSocketBufferBytes);
}

// Guards against a limit on chunks that cuts off servers which send many small
// ones.
BOOST_AUTO_TEST_CASE(answers_in_small_chunks_arrive) {
  struct ChunksCase {
    std::size_t bytes;
    std::size_t count;
  };
  for (const ChunksCase& it : {ChunksCase{1, 10'000}, ChunksCase{64, 20'000}}) {
    net::HttpClient client(net::AnswerLimits{.body_bytes = 8'000'000,
                                             .total_body_bytes = 8'000'000});
    RawServer server([&](RawServer::Socket& socket, int) {
      server.ReadRequest(socket);
      std::string answer = kOk + "Transfer-Encoding: chunked\r\n\r\n";
      for (std::size_t i = 0; i < it.count; ++i) {
        answer +=
            fmt::format("{:x}\r\n{}\r\n", it.bytes, std::string(it.bytes, 'b'));
      }
      RawServer::Write(socket, answer + "0\r\n\r\n");
    });
    const auto result = Start(client, 1, CallOf(server)).get();
    BOOST_TEST((result.end == AttemptEnd::kAnswered));
    BOOST_TEST(result.answer.body.size() == it.bytes * it.count);
  }
}

// Guards against many bodies that are within their limit each and together
// fill the memory of the VM.
BOOST_AUTO_TEST_CASE(bodies_in_progress_share_a_limit) {
  net::HttpClient client(kLimits);
  std::promise<void> first_sent;
  std::promise<void> second_done;
  const std::string body(90'000, 'b');
  RawServer holding([&](RawServer::Socket& socket, int) {
    holding.ReadRequest(socket);
    RawServer::Write(socket, kOk + "Content-Length: 90001\r\n\r\n" + body);
    first_sent.set_value();
    second_done.get_future().get();
    RawServer::Write(socket, "b");
  });
  RawServer other([&](RawServer::Socket& socket, int) {
    other.ReadRequest(socket);
    RawServer::Write(socket, kOk + "Content-Length: 90000\r\n\r\n" + body);
  });
  auto first = Start(client, 1, CallOf(holding));
  first_sent.get_future().get();
  AttemptEnd end = AttemptEnd::kAnswered;
  // The first body may still be in the kernel when the second one arrives.
  for (std::uint64_t id = 2; id < 100 && end == AttemptEnd::kAnswered; ++id) {
    end = Start(client, id, CallOf(other)).get().end;
  }
  BOOST_TEST((end == AttemptEnd::kInvalid));
  second_done.set_value();
  BOOST_TEST((first.get().end == AttemptEnd::kAnswered));
  BOOST_TEST(
      (Start(client, 100, CallOf(other)).get().end == AttemptEnd::kAnswered));
}

// Guards against a refusal that a server writes once more after its answer and
// that a later request takes for its own.
BOOST_AUTO_TEST_CASE(a_repeated_refusal_answers_no_later_request) {
  net::HttpClient client(kLimits);
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  RawServer server([&](RawServer::Socket& socket, int connection) {
    server.ReadRequest(socket);
    RawServer::Write(socket, connection == 0
                                 ? refusal + refusal
                                 : kOk + "Content-Length: 2\r\n\r\nhi");
  });
  BOOST_TEST(Start(client, 1, CallOf(server)).get().answer.status == 503);
  const auto second = Start(client, 2, CallOf(server)).get();
  BOOST_TEST(second.answer.status == 200);
  BOOST_TEST(second.answer.body == "hi");
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <string>

#include "bambootack/net/http_client.h"
#include "bambootack/net/raw_socket.h"

namespace core = bambootack::core;
namespace net = bambootack::net;
namespace node = bambootack::node;

namespace {

using node::AttemptEnd;

constexpr std::size_t kLimits = 100'000;

/// Longer than any test takes: no answer below may end by a timeout.
constexpr core::Duration kLong = std::chrono::seconds(60);

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

#include "bambootack/net/http_client.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <string>
#include <vector>

#include "bambootack/net/raw_socket.h"

namespace core = bambootack::core;
namespace net = bambootack::net;
namespace node = bambootack::node;

namespace {

using node::AttemptEnd;

constexpr std::size_t kMaxBody = 1000;
constexpr core::Duration kLong = std::chrono::seconds(60);
constexpr core::Duration kShort = std::chrono::milliseconds(300);

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kLength2 = "Content-Length: 2\r\n\r\nhi";
const std::string kWhole = kOk + kLength2;
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

net::HttpCallResult Run(net::HttpClient& client, net::HttpCall call) {
  std::promise<net::HttpCallResult> result;
  client.Start(1, std::move(call), [&](net::HttpCallResult it) {
    result.set_value(std::move(it));
  });
  return result.get_future().get();
}

net::HttpCallResult Run(net::HttpClient& client, const std::string& address,
                        core::HttpRequest http = {"POST", "/x", {}, "body"},
                        core::Duration timeout = kLong) {
  return Run(client, net::HttpCall{address, std::move(http), timeout});
}

struct AnswerCase {
  std::string name;
  std::string answer;
  AttemptEnd end;
  std::string method = "POST";
};

const std::vector<AnswerCase> kAnswers{
    {"whole", kWhole, AttemptEnd::kAnswered},
    {"chunked", kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
     AttemptEnd::kAnswered},
    {"after 1xx", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + kWhole,
     AttemptEnd::kAnswered},
    {"equal lengths", kOk + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
     AttemptEnd::kAnswered},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n", AttemptEnd::kAnswered},
    {"HEAD", kOk + "Content-Length: 9\r\n\r\n", AttemptEnd::kAnswered, "HEAD"},
    {"truncated body", kOk + "Content-Length: 9\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"truncated chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n9\r\nhi",
     AttemptEnd::kInvalid},
    {"no last chunk", kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
     AttemptEnd::kInvalid},
    {"end unknown", kOk + "\r\nhi", AttemptEnd::kInvalid},
    {"different lengths",
     kOk + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"length and chunks",
     kOk + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
           "2\r\nhi\r\n0\r\n\r\n",
     AttemptEnd::kInvalid},
    {"length with blanks", kOk + "Content-Length: \t2 \t\r\n\r\nhi",
     AttemptEnd::kAnswered},
    {"length with a letter", kOk + "Content-Length: 1x2\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"length with a sign", kOk + "Content-Length: +2\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"negative length", kOk + "Content-Length: -2\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"hexadecimal length", kOk + "Content-Length: 0x2\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"list of lengths", kOk + "Content-Length: 2, 2\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"empty length", kOk + "Content-Length:\r\n\r\nhi", AttemptEnd::kInvalid},
    {"length beyond 64 bits",
     kOk + "Content-Length: 99999999999999999999\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"length beyond 63 bits",
     kOk + "Content-Length: 9223372036854775808\r\n\r\nhi",
     AttemptEnd::kInvalid},
    {"chunk extension",
     kOk + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n0\r\n\r\n",
     AttemptEnd::kAnswered},
    {"trailer",
     kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: b\r\n\r\n",
     AttemptEnd::kAnswered},
    {"bytes after the last chunk",
     kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nmore",
     AttemptEnd::kAnswered},
    {"chunk size with a letter",
     kOk + "Transfer-Encoding: chunked\r\n\r\n2x\r\nhi\r\n0\r\n\r\n",
     AttemptEnd::kInvalid},
    {"hexadecimal prefix of a chunk size",
     kOk + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nhi\r\n0\r\n\r\n",
     AttemptEnd::kInvalid},
    {"chunk size beyond 64 bits",
     kOk + "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nhi\r\n"
           "0\r\n\r\n",
     AttemptEnd::kInvalid},
    {"two transfer codings",
     kOk + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
           "2\r\nhi\r\n0\r\n\r\n",
     AttemptEnd::kInvalid},
    {"too large", kOk + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'b'),
     AttemptEnd::kInvalid},
    {"too large chunk",
     kOk + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
         std::string(1001, 'b') + "\r\n0\r\n\r\n",
     AttemptEnd::kInvalid},
    {"too many fields", kOk + "A: " + std::string(70'000, 'a') + "\r\n\r\n",
     AttemptEnd::kInvalid},
    {"status line of HTTP/1.0",
     "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", AttemptEnd::kAnswered},
    {"no reason phrase", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nhi",
     AttemptEnd::kAnswered},
    {"bytes beyond ASCII in a value", kOk + "A: \xc3\xa4\r\n" + kLength2,
     AttemptEnd::kAnswered},
    {"empty value", kOk + "A:\r\n" + kLength2, AttemptEnd::kAnswered},
    {"value with a tab", kOk + "A: b\tc\r\n" + kLength2, AttemptEnd::kAnswered},
    {"quoted chunk extension",
     kOk + "Transfer-Encoding: chunked\r\n\r\n2 ; a = \"b;\\\"\"\r\nhi\r\n"
           "0\r\n\r\n",
     AttemptEnd::kAnswered},
    {"not HTTP", "hello\r\n\r\n", AttemptEnd::kInvalid},
    {"nothing", "", AttemptEnd::kLost},
};

struct MalformedCase {
  std::string name;
  std::string answer;
};

/// Bytes that are no answer in HTTP/1.1; most have the right body.
const std::vector<MalformedCase> kMalformed{
    {"status of four digits", "HTTP/1.1 2000 OK\r\n" + kLength2},
    {"status of two digits", "HTTP/1.1 20 OK\r\n" + kLength2},
    {"status with a letter", "HTTP/1.1 2x0 OK\r\n" + kLength2},
    {"status beyond 599", "HTTP/1.1 600 OK\r\n" + kLength2},
    {"status below 100", "HTTP/1.1 099 OK\r\n" + kLength2},
    {"status 000", "HTTP/1.1 000 OK\r\n" + kLength2},
    {"status 000 without a reason", "HTTP/1.1 000 \r\n" + kLength2},
    {"status 000 without a body",
     "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"},
    {"status 000 in chunks",
     "HTTP/1.1 000 X\r\nTransfer-Encoding: "
     "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
    {"status 000 until the close", "HTTP/1.1 000 X\r\n\r\nhi"},
    {"status 000 after 1xx",
     "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 X\r\n" + kLength2},
    {"status 000 in HTTP/1.0", "HTTP/1.0 000 X\r\n" + kLength2},
    {"no blank after the status", "HTTP/1.1 200\r\n" + kLength2},
    {"two blanks before the status", "HTTP/1.1  200 OK\r\n" + kLength2},
    {"control character in the reason", "HTTP/1.1 200 O\x01K\r\n" + kLength2},
    {"lower case version", "http/1.1 200 OK\r\n" + kLength2},
    {"no minor version", "HTTP/1 200 OK\r\n" + kLength2},
    {"other version", "HTTP/2.0 200 OK\r\n" + kLength2},
    {"switched protocols", "HTTP/1.1 101 X\r\n\r\n" + kWhole},
    {"bytes before the status line", "x" + kWhole},
    {"empty line before the status line", "\r\n" + kWhole},
    {"second status line", kOk + "HTTP/1.1 201 Created\r\n" + kLength2},
    {"blank before a colon", kOk + "Content-Length : 1\r\n" + kLength2},
    {"tab before a colon", kOk + "A\t: b\r\n" + kLength2},
    {"blank in a name", kOk + "A B: c\r\n" + kLength2},
    {"blank before a name", kOk + " A: b\r\n" + kLength2},
    {"folded value", kOk + "A: b\r\n c\r\n" + kLength2},
    {"control character in a name", kOk + "A\x01: b\r\n" + kLength2},
    {"separator in a name", kOk + "A(b): c\r\n" + kLength2},
    {"bytes beyond ASCII in a name", kOk + "\xc3\xa4: b\r\n" + kLength2},
    {"empty name", kOk + ": b\r\n" + kLength2},
    {"line without a colon", kOk + "hello\r\n" + kLength2},
    {"control character in a value", kOk + "A: b\x01\r\n" + kLength2},
    {"NUL in a value",
     kOk + "A: b" + std::string(1, '\0') + "c\r\n" + kLength2},
    {"DEL in a value", kOk + "A: \x7f\r\n" + kLength2},
    {"CR in a value", kOk + "A: b\rc\r\n" + kLength2},
    {"CR before the line end", kOk + "A: b\r\r\n" + kLength2},
    {"line without CR", kOk + "A: b\n" + kLength2},
    {"status line without CR", "HTTP/1.1 200 OK\n" + kLength2},
    {"empty line without CR", kOk + "Content-Length: 2\r\n\nhi"},
    {"malformed interim answer",
     "HTTP/1.1 103 Early\r\nA B: c\r\n\r\n" + kWhole},
    {"transfer coding in HTTP/1.0",
     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nhi\r\n0\r\n\r\n"},
    {"text behind a chunk size", kChunked + "2 x\r\nhi\r\n0\r\n\r\n"},
    {"blank behind a chunk size", kChunked + "2 \r\nhi\r\n0\r\n\r\n"},
    {"chunk extension without a name", kChunked + "2;=b\r\nhi\r\n0\r\n\r\n"},
    {"chunk extension without a value", kChunked + "2;a=\r\nhi\r\n0\r\n\r\n"},
    {"open quote in a chunk extension",
     kChunked + "2;a=\"b\r\nhi\r\n0\r\n\r\n"},
    {"control character in a chunk extension",
     kChunked + "2;a=\x01\r\nhi\r\n0\r\n\r\n"},
    {"negative chunk size", kChunked + "-2\r\nhi\r\n0\r\n\r\n"},
    {"empty chunk size", kChunked + "\r\nhi\r\n0\r\n\r\n"},
    {"chunk size without CR", kChunked + "2\nhi\r\n0\r\n\r\n"},
    {"chunk data without CR", kChunked + "2\r\nhi\n0\r\n\r\n"},
    {"bytes behind the data of a chunk", kChunked + "2\r\nhixx0\r\n\r\n"},
    {"blank in the name of a trailer",
     kChunked + "2\r\nhi\r\n0\r\nA B: c\r\n\r\n"},
    {"control character in a trailer",
     kChunked + "2\r\nhi\r\n0\r\nA: b\x01\r\n\r\n"},
    {"trailer without a colon", kChunked + "2\r\nhi\r\n0\r\nhello\r\n\r\n"},
    {"trailer without CR", kChunked + "2\r\nhi\r\n0\r\nA: b\n\r\n"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// Guards against an answer that is passed on though it may not be whole.
BOOST_AUTO_TEST_CASE(answers_end_as_their_framing_allows) {
  for (const AnswerCase& it : kAnswers) {
    BOOST_TEST_CONTEXT(it.name) {
      net::HttpClient client(kMaxBody);
      RawServer server([&](RawServer::Socket& socket, int) {
        server.ReadRequest(socket);
        RawServer::Write(socket, it.answer);
      });
      const auto result =
          Run(client, server.Address(), {it.method, "/x", {}, {}});
      BOOST_TEST(node::kAttemptEndNames.Name(result.end) ==
                 node::kAttemptEndNames.Name(it.end));
      BOOST_TEST(server.requests == 1);
    }
  }
}

// Guards against bytes that are no answer in HTTP/1.1 and are passed on as one,
// in particular by libcurl and the earlier parser, which accept many of these.
BOOST_AUTO_TEST_CASE(malformed_answers_are_invalid) {
  for (const MalformedCase& it : kMalformed) {
    // The bytes may arrive in any pieces.
    for (const bool in_pieces : {false, true}) {
      BOOST_TEST_CONTEXT(it.name << " in_pieces=" << in_pieces) {
        net::HttpClient client(kMaxBody);
        RawServer server([&](RawServer::Socket& socket, int) {
          server.ReadRequest(socket);
          socket.set_option(asio::ip::tcp::no_delay(true));
          const std::size_t step = in_pieces ? 1 : it.answer.size();
          for (std::size_t i = 0; i < it.answer.size(); i += step) {
            RawServer::Write(socket, it.answer.substr(i, step));
          }
        });
        const auto result =
            Run(client, server.Address(), {"GET", "/x", {}, {}});
        BOOST_TEST(node::kAttemptEndNames.Name(result.end) ==
                   node::kAttemptEndNames.Name(AttemptEnd::kInvalid));
        BOOST_TEST(result.answer.status == 0);
      }
    }
  }
}

// Guards against a trailer that is taken for a header, such as a refusal.
BOOST_AUTO_TEST_CASE(the_start_of_a_large_body_is_reported_before_its_end) {
  for (const std::size_t bytes :
       {net::kLargeBodyBytes, net::kLargeBodyBytes + 1}) {
    std::promise<void> reported;
    RawServer server([&](RawServer::Socket& socket, int) {
      server.ReadRequest(socket);
      RawServer::Write(socket, kOk + "Content-Length: " +
                                   std::to_string(bytes) + "\r\n\r\n");
      if (bytes > net::kLargeBodyBytes) {
        reported.get_future().wait();
      }
      RawServer::Write(socket, std::string(bytes, 'b'));
    });
    net::HttpClient client(2 * net::kLargeBodyBytes);
    net::HttpCall call{server.Address(), {"GET", "/", {}, {}}, kLong};
    bool called = false;
    call.on_large_body = [&] {
      called = true;
      reported.set_value();
    };
    const net::HttpCallResult result = Run(client, std::move(call));
    BOOST_TEST((result.end == AttemptEnd::kAnswered));
    BOOST_TEST(called == (bytes > net::kLargeBodyBytes));
  }
}

BOOST_AUTO_TEST_CASE(trailers_are_not_headers) {
  net::HttpClient client(kMaxBody);
  RawServer server([&](RawServer::Socket& socket, int) {
    server.ReadRequest(socket);
    RawServer::Write(socket, kOk +
                                 "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
                                 "0\r\nBambootack-Not-Started: shed\r\n\r\n");
  });
  const auto result = Run(client, server.Address());
  BOOST_TEST((result.end == AttemptEnd::kAnswered));
  BOOST_TEST(!core::FindHeader(result.answer.headers, "Bambootack-Not-Started")
                  .has_value());
}

// Guards against an at-most-once request that libcurl sends again on a new
// connection when the server closes a kept-alive one after reading it.
BOOST_AUTO_TEST_CASE(request_on_a_closing_connection_is_not_sent_again) {
  for (const bool reset : {false, true}) {
    for (const std::string method : {"POST", "GET", "PUT"}) {
      net::HttpClient client(kMaxBody);
      RawServer server([&](RawServer::Socket& socket, int) {
        server.ReadRequest(socket);
        RawServer::Write(socket, kWhole);
        server.ReadRequest(socket);
        if (reset) {
          RawServer::Reset(socket);
        }
      });
      BOOST_TEST((Run(client, server.Address(), {method, "/x", {}, {}}).end ==
                  AttemptEnd::kAnswered));
      BOOST_TEST((Run(client, server.Address(), {method, "/x", {}, {}}).end ==
                  AttemptEnd::kLost));
      BOOST_TEST(server.requests == 2);
    }
  }
}

// Guards against `kNotConnected`, which allows another send, for a request of
// which something may have been sent.
BOOST_AUTO_TEST_CASE(reset_connections_are_lost_unless_nothing_was_sent) {
  net::HttpClient client(kMaxBody);
  {
    RawServer server([&](RawServer::Socket& socket, int) {
      server.ReadRequest(socket);
      RawServer::Reset(socket);
    });
    BOOST_TEST((Run(client, server.Address()).end == AttemptEnd::kLost));
  }
  {
    RawServer server([&](RawServer::Socket& socket, int) {
      server.ReadRequest(socket);
      RawServer::Write(socket, kOk + "Content-Length: 9\r\n\r\nhi");
      RawServer::Reset(socket);
    });
    const AttemptEnd end = Run(client, server.Address()).end;
    BOOST_TEST((end == AttemptEnd::kLost || end == AttemptEnd::kInvalid));
  }
  {
    // The reset may arrive before or after libcurl sees the connection.
    RawServer server(
        [&](RawServer::Socket& socket, int) { RawServer::Reset(socket); });
    const AttemptEnd end = Run(client, server.Address()).end;
    BOOST_TEST((end == AttemptEnd::kLost || end == AttemptEnd::kNotConnected));
  }
}

// Guards against a check of a server that is taken for a request, or that
// cannot tell a server that resets connections from one that is down.
BOOST_AUTO_TEST_CASE(connections_without_a_request) {
  net::HttpClient client(kMaxBody);
  const auto connect = [&](const std::string& address) {
    net::HttpCall call;
    call.address = address;
    call.timeout = kLong;
    call.fresh_connection = true;
    call.connect_only = true;
    return Run(client, std::move(call));
  };
  std::string address;
  for (const bool reset : {false, true}) {
    std::string received;
    {
      RawServer server([&](RawServer::Socket& socket, int) {
        if (reset) {
          RawServer::Reset(socket);
        } else {
          received = server.ReadRequest(socket);
        }
      });
      address = server.Address();
      const auto result = connect(address);
      BOOST_TEST((reset || result.end == AttemptEnd::kAnswered));
      BOOST_TEST(!result.refused);
    }
    BOOST_TEST(received.empty());
  }
  const auto result = connect(address);
  BOOST_TEST((result.end == AttemptEnd::kNotConnected));
  BOOST_TEST(result.refused);
}

// Guards against refused connections that count as sent, and against timeouts
// after sending that count as unsent.
BOOST_AUTO_TEST_CASE(refused_connections_and_timeouts) {
  net::HttpClient client(kMaxBody);
  std::string address;
  {
    RawServer server([](RawServer::Socket&, int) {});
    address = server.Address();
  }
  BOOST_TEST((Run(client, address).end == AttemptEnd::kNotConnected));
  std::promise<void> done;
  RawServer server([&](RawServer::Socket& socket, int) {
    server.ReadRequest(socket);
    done.get_future().get();
  });
  BOOST_TEST(
      (Run(client, server.Address(), {"POST", "/x", {}, {}}, kShort).end ==
       AttemptEnd::kTimedOut));
  done.set_value();
}

// Guards against targets and header fields that libcurl changes on the way.
BOOST_AUTO_TEST_CASE(request_is_sent_as_given) {
  net::HttpClient client(kMaxBody);
  std::promise<std::string> request;
  RawServer server([&](RawServer::Socket& socket, int) {
    request.set_value(server.ReadRequest(socket));
    RawServer::Write(socket, kWhole);
  });
  Run(client, server.Address(),
      {"POST", "/a/../b#c?d=%20", {{"Empty", ""}, {"A", "b"}}, {}});
  BOOST_TEST(request.get_future().get() ==
             "POST /a/../b#c?d=%20 HTTP/1.1\r\nHost: " + server.Address() +
                 "\r\nEmpty:\r\nA: b\r\nContent-Length: 0\r\n\r\n");
}

// Guards against an answer without a length that looks whole although its
// connection was reset, and against the loss of one that ended in order.
BOOST_AUTO_TEST_CASE(answers_without_a_length_need_an_orderly_end) {
  for (const bool reset : {false, true}) {
    net::HttpClient client(kMaxBody);
    RawServer server([&](RawServer::Socket& socket, int) {
      server.ReadRequest(socket);
      RawServer::Write(socket, kOk + "\r\nhi");
      if (reset) {
        RawServer::Reset(socket);
      }
    });
    net::HttpCall call{server.Address(), {"POST", "/x", {}, "body"}, kLong};
    call.accept_unframed = true;
    const auto result = Run(client, call);
    BOOST_TEST((result.end == AttemptEnd::kAnswered) == !reset);
    BOOST_TEST(result.answer.body == (reset ? "" : "hi"));
  }
}

// Guards against a request on a kept connection where a fresh one was asked
// for: its end would not tell whether the request ran.
BOOST_AUTO_TEST_CASE(fresh_connections_carry_one_request) {
  net::HttpClient client(kMaxBody);
  std::atomic<int> connections = 0;
  RawServer server([&](RawServer::Socket& socket, int) {
    ++connections;
    server.ReadRequest(socket);
    RawServer::Write(socket, kWhole);
  });
  for (int i = 0; i < 3; ++i) {
    net::HttpCall call{server.Address(), {"POST", "/x", {}, "body"}, kLong};
    call.fresh_connection = true;
    BOOST_TEST((Run(client, call).end == AttemptEnd::kAnswered));
  }
  BOOST_TEST(connections == 3);
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "clients/check_system.h"
#include "clients/crowd.h"
#include "clients/rogue_server.h"
#include "clients/system.h"

using clients::CheckSystem;
using clients::Crowd;
using clients::RequestHead;
using clients::RogueAnswer;
using clients::RogueServer;
using clients::System;
using clients::SystemLimits;

namespace {

constexpr std::size_t kMegabyte = 1UL << 20;

/// Callers of the faulty server at the same time.
constexpr std::size_t kCallers = 300;

/// Ordinary requests beside the faulty ones, one after the other.
constexpr int kOrdinary = 60;
constexpr auto kPause = std::chrono::milliseconds(50);

/// Connections of a faulty VM.
constexpr std::size_t kConnections = 300;

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

void CheckOrdinaryCallers(System& system) {
  for (int i = 0; i < kOrdinary; ++i) {
    BOOST_TEST(system.IsServedAtOnce());
    std::this_thread::sleep_for(kPause);
  }
}

/// Lets callers ask a faulty server while others are served.
void CheckBeside(const RogueAnswer& answer) {
  const SystemLimits limits;
  System system(limits);
  RogueServer server(system.RogueAddress(), answer);
  Crowd crowd(system.Address());
  crowd.Add(kCallers, {RequestHead("/rogue/", "asks", "Content-Length: 0"), "x",
                       0, "", 1, true});
  std::thread callers([&] { crowd.Send(); });
  CheckOrdinaryCallers(system);
  callers.join();
  BOOST_TEST(server.Requests() > 0U);
  BOOST_TEST(crowd.CountStatus(200) == 0U);
  CheckSystem(system, limits);
}

/// Replaces the store by a faulty one while callers are served.
void CheckBesideStore(const RogueAnswer& answer) {
  const SystemLimits limits;
  System system(limits);
  system.ReplaceStore(answer);
  CheckOrdinaryCallers(system);
  CheckSystem(system, limits);
}

/// Lets a faulty VM send to the port for peers while callers are served.
void CheckBesidePeer(const clients::Script& script) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.PeerAddress());
  crowd.Add(kConnections, script);
  std::thread peer([&] { crowd.Send(); });
  CheckOrdinaryCallers(system);
  peer.join();
  CheckSystem(system, limits);
}

}  // namespace

// Bytes without end from all that a VM reads from. The requests of other
// callers, and the process, must not end with them.
BOOST_AUTO_TEST_SUITE(untrusted_servers)

BOOST_AUTO_TEST_CASE(server_sends_no_answer_without_end) {
  CheckBeside({"", "hello\r\n"});
}

BOOST_AUTO_TEST_CASE(server_sends_short_fields_without_end) {
  CheckBeside({kOk, "A: b\r\n"});
}

// Guards against fields that take much more memory than bytes and are held
// until the deadlines of their requests.
BOOST_AUTO_TEST_CASE(server_stops_within_a_head_of_short_fields) {
  CheckBeside({kOk, "A:\r\n", 60'000});
}

BOOST_AUTO_TEST_CASE(server_stops_within_a_head_of_one_field) {
  CheckBeside({kOk + "A: ", "x", 60'000});
}

BOOST_AUTO_TEST_CASE(server_sends_interim_answers_without_end) {
  CheckBeside({"", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n"});
}

BOOST_AUTO_TEST_CASE(server_sends_a_body_without_end) {
  CheckBeside({kOk + "\r\n", std::string(1000, 'b')});
}

BOOST_AUTO_TEST_CASE(server_stops_within_a_large_body) {
  CheckBeside({kOk + "Content-Length: 8000000\r\n\r\n", "b", 7'999'999});
}

// Guards against chunks whose number costs all other callers their time.
BOOST_AUTO_TEST_CASE(server_sends_chunks_of_one_byte_without_end) {
  CheckBeside({kChunked, "1\r\nb\r\n"});
}

BOOST_AUTO_TEST_CASE(server_sends_large_chunks_without_end) {
  CheckBeside({kChunked, "3e8\r\n" + std::string(1000, 'b') + "\r\n"});
}

BOOST_AUTO_TEST_CASE(server_sends_a_chunk_extension_without_end) {
  CheckBeside({kChunked + "1;a=", "x"});
}

BOOST_AUTO_TEST_CASE(server_sends_trailers_without_end) {
  CheckBeside({kChunked + "0\r\n", "A: b\r\n"});
}

BOOST_AUTO_TEST_CASE(store_sends_no_answer_without_end) {
  CheckBesideStore({"", "hello\r\n"});
}

BOOST_AUTO_TEST_CASE(store_sends_a_body_without_end) {
  CheckBesideStore({kChunked, "3e8\r\n" + std::string(1000, 'b') + "\r\n"});
}

// Guards against a document whose parsed form takes many times its bytes.
BOOST_AUTO_TEST_CASE(store_sends_a_document_of_many_values) {
  std::string body = "{\"items\":[0";
  while (body.size() < 8 * kMegabyte - 16) {
    body += ",0";
  }
  body += "],\"hasMore\":false,\"end\":9}";
  CheckBesideStore({kOk + "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body,
                    "", 0});
}

BOOST_AUTO_TEST_CASE(store_sends_chunks_of_one_byte_without_end) {
  CheckBesideStore({kChunked, "1\r\nb\r\n"});
}

// Guards against the length of a frame that reserves memory, and against frames
// that are never completed.
BOOST_AUTO_TEST_CASE(peer_announces_large_frames) {
  CheckBesidePeer({std::string("\0\0\x13\0", 4), "x", 0, "", 1, true});
}

BOOST_AUTO_TEST_CASE(peer_stops_within_large_frames) {
  CheckBesidePeer(
      {std::string("\0\0\x13\0", 4), "x", kMegabyte, "", 65536, true});
}

BOOST_AUTO_TEST_CASE(peer_sends_bytes_without_end) {
  CheckBesidePeer({"", "\x01", 8 * kMegabyte, "", 65536, true});
}

BOOST_AUTO_TEST_SUITE_END()

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>
#include <string_view>

#include "clients/check_system.h"
#include "clients/crowd.h"
#include "clients/system.h"

using clients::CheckSystem;
using clients::Crowd;
using clients::RequestHead;
using clients::System;
using clients::SystemLimits;

namespace {

constexpr std::size_t kMegabyte = 1UL << 20;
constexpr std::size_t kBodyBytes = 8 * kMegabyte;

/// Clients of one kind, of which all but `kFinishing` stop before the end.
constexpr std::size_t kStopping = 36;
constexpr std::size_t kFinishing = 4;

std::string LengthField(std::size_t bytes) {
  return fmt::format("Content-Length: {}", bytes);
}

std::string Chunk(std::size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

constexpr std::string_view kChunked = "Transfer-Encoding: chunked";

/// Adds clients that stop one byte, or the last chunk, before their end.
void AddStopping(Crowd& crowd, std::string_view framing, std::string repeated,
                 std::size_t bytes, std::size_t piece) {
  crowd.Add(kStopping, {RequestHead("/all/", "stopping", framing), repeated,
                        bytes, "", piece, true});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(untrusted_clients)

// Guards against a process that runs out of memory when many large bodies of
// legal size arrive at once and most stop just short of their end.
BOOST_AUTO_TEST_CASE(large_bodies_sent_whole) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  AddStopping(crowd, LengthField(kBodyBytes), "x", kBodyBytes - 1, kMegabyte);
  crowd.Add(kFinishing, {RequestHead("/all/", "whole", LengthField(kBodyBytes)),
                         "x", kBodyBytes, "", kMegabyte, true});
  crowd.Send();
  CheckSystem(system, limits);
}

BOOST_AUTO_TEST_CASE(large_bodies_sent_piece_by_piece) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  AddStopping(crowd, LengthField(kBodyBytes), "x", kBodyBytes - 1, 4096);
  crowd.Add(kFinishing, {RequestHead("/all/", "whole", LengthField(kBodyBytes)),
                         "x", kBodyBytes, "", 4096, true});
  crowd.Send();
  CheckSystem(system, limits);
}

// Guards against a process that runs out of memory when many chunked bodies,
// whose length nobody announces, arrive at once.
BOOST_AUTO_TEST_CASE(chunked_bodies_in_large_chunks) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  const std::string chunk = Chunk(kMegabyte - 16);
  AddStopping(crowd, kChunked, chunk, 8 * chunk.size(), kMegabyte);
  crowd.Add(kFinishing, {RequestHead("/all/", "whole", kChunked), chunk,
                         8 * chunk.size(), "0\r\n\r\n", kMegabyte, true});
  crowd.Send();
  CheckSystem(system, limits);
}

// The bodies are small. What is recorded for each chunk must not outgrow them.
BOOST_AUTO_TEST_CASE(chunked_bodies_in_chunks_of_one_byte) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  const std::string chunk = Chunk(1);
  AddStopping(crowd, kChunked, chunk, kMegabyte * chunk.size(), 65536);
  crowd.Add(kFinishing, {RequestHead("/all/", "whole", kChunked), chunk,
                         4096 * chunk.size(), "0\r\n\r\n", 65536, true});
  crowd.Send();
  CheckSystem(system, limits);
}

// Guards against bodies far over the limit that are read to their end.
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_that_are_announced) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  AddStopping(crowd, LengthField(1024 * kMegabyte), "x", 48 * kMegabyte,
              kMegabyte);
  AddStopping(crowd, LengthField(6 * kBodyBytes), "x", 6 * kBodyBytes - 1,
              kMegabyte);
  crowd.Send();
  CheckSystem(system, limits);
}

BOOST_AUTO_TEST_CASE(bodies_over_the_limit_that_are_just_sent) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  const std::string chunk = Chunk(kMegabyte);
  AddStopping(crowd, kChunked, chunk, 48 * chunk.size(), kMegabyte);
  crowd.Send();
  CheckSystem(system, limits);
}

// Guards against large bodies that cost more than their size: one that is
// within the limit is served by a VM without other load.
BOOST_AUTO_TEST_CASE(a_single_large_body_is_served) {
  SystemLimits limits;
  limits.memory_mb = 112;
  limits.body_bytes = 64 * kMegabyte;
  System system(limits);
  BOOST_TEST(system.IsServed(limits.body_bytes, 3));
  Crowd crowd(system.Address());
  const std::string chunk = Chunk(kMegabyte);
  crowd.Add(1, {RequestHead("/all/", "chunked", kChunked), chunk,
                63 * chunk.size(), "0\r\n\r\n", kMegabyte, true});
  crowd.Send();
  BOOST_TEST(crowd.CountStatus(200) == 1U);
  CheckSystem(system, limits);
}

// Guards against connections that use up all descriptors without a request.
BOOST_AUTO_TEST_CASE(idle_connections_beyond_the_descriptors) {
  SystemLimits limits;
  limits.descriptors = 400;
  System system(limits);
  Crowd crowd(system.Address());
  crowd.Add(300, {"", "x", 0, "", 1, true});
  crowd.Add(300,
            {"POST / HTTP/1.1\r\nHost: a.example\r\n", "x", 0, "", 1, true});
  crowd.Send();
  CheckSystem(system, limits);
}

// Guards against heads without end.
BOOST_AUTO_TEST_CASE(heads_without_end) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  crowd.Add(kStopping, {"POST / HTTP/1.1\r\nHost: a.example\r\nX-Long: ", "x",
                        8 * kMegabyte, "", kMegabyte, true});
  crowd.Add(kStopping, {"POST / HTTP/1.1\r\nHost: a.example\r\n", "X-Y: z\r\n",
                        8 * kMegabyte, "", kMegabyte, true});
  crowd.Send();
  CheckSystem(system, limits);
}

// Guards against answers that pile up for callers that do not read them.
BOOST_AUTO_TEST_CASE(large_answers_that_nobody_reads) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  crowd.Add(kStopping, {RequestHead("/large/", "unread", LengthField(4)), "x",
                        4, "", 65536, false});
  crowd.Send();
  CheckSystem(system, limits);
}

// Guards against several bodies of one connection that are held at once.
BOOST_AUTO_TEST_CASE(pipelined_large_bodies) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  const std::size_t bytes = kBodyBytes / 2;
  std::string request = RequestHead("/all/", "pipelined", LengthField(bytes));
  request += std::string(bytes, 'x');
  crowd.Add(8, {"", request, 8 * request.size() - 1, "", kMegabyte, true});
  crowd.Send();
  CheckSystem(system, limits);
}

// Guards against a planned stop that a crowd of unfinished bodies holds up.
BOOST_AUTO_TEST_CASE(a_planned_stop_ends_beside_unfinished_bodies) {
  const SystemLimits limits;
  System system(limits);
  Crowd crowd(system.Address());
  AddStopping(crowd, LengthField(kBodyBytes), "x", kBodyBytes - 1, kMegabyte);
  crowd.Send();
  BOOST_TEST_REQUIRE(system.IsRunning());
  system.Signal(SIGTERM);
  const auto code = system.WaitForEnd();
  BOOST_TEST_REQUIRE(code.has_value());
  BOOST_TEST(*code == 0);
}

BOOST_AUTO_TEST_SUITE_END()

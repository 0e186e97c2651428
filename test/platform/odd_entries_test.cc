#include <fmt/format.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "bambootack/core/address.h"
#include "bambootack/gateway/gateway.h"
#include "bambootack/gateway/log_text.h"
#include "platform/decode.h"
#include "platform/fleet_joiner.h"
#include "platform/replace.h"
#include "platform/store_client.h"
#include "standin/common/encoding.h"

namespace bambootack::platform {
namespace {

using standin::Base64;
using standin::BigEndian;

const std::string kServer =
    R"({"service":"desk","address":"10.0.0.9:8080","zone":"west","version":"v1",)"
    R"("slots":3,"state":"ready","warmupLeftMs":0,"seq":4,"born":1700000000000})";

std::string Nested(std::size_t depth, char open, char close) {
  return std::string(depth, open) + std::string(depth, close);
}

/// Entries that name no server. Their keys are "a0", "a1" and so on, so that
/// they come before a valid entry.
std::vector<std::string> OddEntries() {
  std::vector<std::string> entries{
      "",
      "null",
      "[]",
      "\xff\xfe\x01{",
      Nested(100'000, '[', ']'),
      Replace(kServer, "\"v1\"", Nested(50'000, '[', ']')),
      std::string(1'000'000, 'x'),
      Replace(kServer, "\"desk\"", "\"" + std::string(200'000, 'd') + "\""),
      Replace(kServer, "\"west\"", "\"" + std::string(200'000, 'w') + "\""),
      Replace(kServer, "\"state\":\"ready\"", "\"state\":\"odd\"")};
  for (const char* number :
       {"1e400", "-1e400", "18446744073709551616", "-1", "0.5", "3.5", "\"3\"",
        "true", "[3]", "1e999999999"}) {
    entries.push_back(
        Replace(kServer, "\"slots\":3", std::string("\"slots\":") + number));
  }
  for (const char* number :
       {"9007199254740991", "1e400", "-1", "1700000000000.5"}) {
    entries.push_back(Replace(kServer, "1700000000000", number));
  }
  for (const char* address :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:http",
        "10.0.0.9:99999999999999999999", "10.0.0.9", "::1:80", "[::1]:80",
        ":80", "10.0.0.9:80:80", "10.0.0.999:80"}) {
    entries.push_back(Replace(kServer, "10.0.0.9:8080", address));
  }
  return entries;
}

std::string BinaryRecord(const std::string& key, const std::string& value) {
  const std::string content = static_cast<char>(key.size()) + key + value;
  return BigEndian(content.size(), 4) + content;
}

using Entries = std::vector<std::pair<std::string, std::string>>;

/// Page of newest records with the given entries.
std::string NewestPage(const Entries& entries) {
  std::string items;
  for (const auto& [key, value] : entries) {
    items += fmt::format(R"({}{{"key":"{}","value":"{}","offset":1}})",
                         items.empty() ? "" : ",", key, Base64(value));
  }
  return fmt::format(R"({{"items":[{}],"hasMore":false,"end":100}})", items);
}

std::string ReadPage(const Entries& entries) {
  std::string page = BigEndian(200, 8) + BigEndian(0, 8);
  for (const auto& [key, value] : entries) {
    page += BinaryRecord(key, value);
  }
  return page;
}

struct StoreFixture {
  StoreFixture()
      : gateway({core::VmId{1}, "10.0.1.1:7000", "west", {}, 0.2, 80.0}, 7),
        store(gateway, [this](log::EventId id, const std::string& detail) {
          if (id == log::EventId::kRecordUnreadable) {
            unreadable.push_back(detail);
          }
        }) {}

  void Answer(std::string body) {
    now += std::chrono::seconds(2);
    BOOST_TEST_REQUIRE(!store.NextRequests(now).empty());
    store.OnAnswer(Topic::kServers, core::HttpAnswer{200, {}, std::move(body)},
                   now, random);
  }

  [[nodiscard]] bool Knows(const std::string& server) {
    return gateway.Registry().Servers().contains(server);
  }

  [[nodiscard]] std::size_t ServerCount() {
    return gateway.Registry().Servers().size();
  }

  core::Time now{core::Duration(1'000'000)};
  core::Random random{1};
  gateway::Gateway gateway;
  StoreClient store;
  std::vector<std::string> unreadable;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(odd_entries, StoreFixture)

BOOST_AUTO_TEST_CASE(an_odd_entry_names_no_server) {
  for (const std::string& it : OddEntries()) {
    BOOST_TEST(!DecodeServer("i-1", it).has_value(), it.substr(0, 200));
  }
}

// Guards against an id that adds header fields to the requests to its server.
BOOST_AUTO_TEST_CASE(an_odd_id_names_no_server) {
  for (const std::string& id :
       {std::string(), std::string("i 1"), std::string("i\r\nX: 1"),
        std::string("i\0", 2), std::string("\xff"), std::string(256, 'i')}) {
    BOOST_TEST(!DecodeServer(id, kServer).has_value());
  }
  BOOST_TEST(DecodeServer("i-1", kServer).has_value());
}

// Guards against VMs that stop following the servers, or end, because of an
// entry of another writer.
BOOST_AUTO_TEST_CASE(entries_behind_odd_ones_are_applied) {
  Entries entries;
  for (const std::string& it : OddEntries()) {
    entries.emplace_back(fmt::format("a{}", entries.size()), it);
  }
  entries.emplace_back("i-1", kServer);
  Answer(NewestPage(entries));
  BOOST_TEST(ServerCount() == 1U);
  BOOST_TEST(Knows("i-1"));
  BOOST_TEST(unreadable.size() == OddEntries().size());

  entries.back() = {"i-2", Replace(kServer, "10.0.0.9", "10.0.0.10")};
  Answer(ReadPage(entries));
  BOOST_TEST(ServerCount() == 2U);
  BOOST_TEST(Knows("i-2"));
  // One line an entry, not one a report.
  BOOST_TEST(unreadable.size() == OddEntries().size());
}

// Guards against a page that cannot be read because of one key, and against log
// lines that a key ends.
BOOST_AUTO_TEST_CASE(keys_of_any_bytes_do_not_stop_the_reader) {
  Answer(NewestPage({{"\xc3\x28", kServer}, {"i-1", kServer}}));
  BOOST_TEST(Knows("i-1"));
  Answer(ReadPage({{"", kServer},
                   {"x\nlevel=error event=104", kServer},
                   {"i-2", Replace(kServer, "10.0.0.9", "10.0.0.10")}}));
  BOOST_TEST(Knows("i-2"));
  BOOST_TEST(ServerCount() == 2U);
  for (const std::string& it : unreadable) {
    BOOST_TEST(it.find('\n') == std::string::npos, it);
  }
}

// Guards against servers that are taken for gone because the entries before
// them on a page cannot be decoded.
BOOST_AUTO_TEST_CASE(a_page_of_undecodable_values_does_not_end_the_read) {
  Answer(R"({"items":[{"key":"a","value":"***","offset":1},)"
         R"({"key":"b","value":7,"offset":2}],"hasMore":true,"end":100})");
  BOOST_TEST(ServerCount() == 0U);
  Answer(NewestPage({{"i-1", kServer}}));
  BOOST_TEST(Knows("i-1"));
}

BOOST_AUTO_TEST_CASE(an_odd_entry_of_the_fleet_is_no_member) {
  FleetJoiner join({"10.0.1.1:7000", "west"}, false,
                   [] { return std::string(64, 'a'); });
  BOOST_TEST_REQUIRE(join.NextRequest(now).has_value());
  join.OnAnswer(
      core::HttpAnswer{
          200,
          {},
          NewestPage({{"member/::1:80", "west"},
                      {"member/[::1]:80", "west"},
                      {"member/10.0.0.1:65536", "west"},
                      {"member/10.0.0.2:7000", std::string(100'000, 'w')},
                      {"member/10.0.0.4:7000", ""},
                      {"member/10.0.0.3:7000", "west"}})},
      now, random);
  BOOST_TEST(join.Members().size() == 1U);
  BOOST_TEST(join.Members().contains("10.0.0.3:7000"));
}

// Any mutation of a valid entry is rejected or yields a usable server.
RC_BOOST_PROP(mutated_entries_are_rejected_or_usable, ()) {
  std::string text = kServer;
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 4);
    const std::string put = *rc::gen::element<std::string>(
        "", "0", "9", "-", "e9", ".5", "\"", "{", "[", "}", "]", ":", ",",
        "null", "\\u0000", "\xff", "\n", "65536", "99999999999999999999");
    text.replace(at, length, put);
  }
  const auto server = DecodeServer("i-1", text);
  if (server) {
    RC_ASSERT(core::IsIpv4Address(server->address));
    RC_ASSERT(server->slots >= 1);
    RC_ASSERT(server->warmup_left.count() >= 0);
    RC_ASSERT(!server->service.empty());
  }
}

RC_BOOST_PROP(arbitrary_pages_are_read_or_rejected,
              (const std::string& bytes)) {
  static_cast<void>(DecodeServer("i-1", bytes));
  static_cast<void>(DecodeConfig(bytes));
  StoreFixture fixture;
  fixture.Answer(bytes);
  fixture.Answer(NewestPage({{"i-1", kServer}}));
  fixture.Answer(ReadPage({}) + bytes);
  RC_ASSERT(fixture.Knows("i-1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambootack::platform

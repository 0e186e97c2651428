#include "bambootack/customers/directory.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace core = bambootack::core;
namespace customers = bambootack::customers;
using customers::KeyCheck;

namespace {

customers::Directory MakeDirectory() {
  customers::HashSecret secret{};
  secret[0] = 7;
  return customers::Directory(
      {{"yard", {"k1", "k2"}, 0, 10.0, 5.0}, {"fish", {"k3"}, 2, 0.0, 0.0}},
      secret);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(directory)

// Guards against a request that runs under another customer, or under a key
// that no customer has.
BOOST_AUTO_TEST_CASE(the_key_of_a_request_decides_its_customer) {
  struct Case {
    std::vector<std::string> fields;
    KeyCheck check;
    std::string customer;
  };
  const std::vector<Case> cases{
      {{"Bearer k1"}, KeyCheck::kValid, "yard"},
      {{"bearer  k2"}, KeyCheck::kValid, "yard"},
      {{"Bearer k3"}, KeyCheck::kValid, "fish"},
      {{"Bearer K1"}, KeyCheck::kUnknown, ""},
      {{"Bearer k"}, KeyCheck::kUnknown, ""},
      {{}, KeyCheck::kMissing, ""},
      {{""}, KeyCheck::kMalformed, ""},
      {{"Bearer "}, KeyCheck::kMalformed, ""},
      {{"Bearer"}, KeyCheck::kMalformed, ""},
      {{"Basic k1"}, KeyCheck::kMalformed, ""},
      {{"k1"}, KeyCheck::kMalformed, ""},
      {{"Bearer k1 k3"}, KeyCheck::kMalformed, ""},
      {{"Bearer k1,Bearer k3"}, KeyCheck::kMalformed, ""},
      {{"Bearer k1", "Bearer k1"}, KeyCheck::kMalformed, ""},
  };
  const customers::Directory directory = MakeDirectory();
  for (const Case& it : cases) {
    core::Headers headers{{"Host", "a.example"}};
    for (const std::string& value : it.fields) {
      headers.push_back({"AUTHORIZATION", value});
    }
    const auto identity = directory.Identify(headers);
    const std::string text = it.fields.empty() ? "none" : it.fields.front();
    BOOST_TEST((identity.check == it.check), text);
    BOOST_TEST((identity.customer != nullptr ? identity.customer->name : "") ==
                   it.customer,
               text);
  }
}

BOOST_AUTO_TEST_CASE(hashes_differ_between_processes) {
  customers::HashSecret other{};
  other[0] = 8;
  const core::Headers headers{{"Authorization", "Bearer nobody"}};
  const auto first = MakeDirectory().Identify(headers).key_hash;
  const auto second =
      customers::Directory({}, other).Identify(headers).key_hash;
  BOOST_TEST_REQUIRE((first && second));
  BOOST_TEST(customers::ShortText(*first) != customers::ShortText(*second));
}

BOOST_AUTO_TEST_SUITE_END()

#include "bambootack/core/address.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace core = bambootack::core;

BOOST_AUTO_TEST_SUITE(address)

// Guards against an address that a later conversion to IPv4 does not accept.
BOOST_AUTO_TEST_CASE(addresses_are_an_ip_and_a_port) {
  struct Case {
    std::string text;
    bool address = false;
    bool ipv4 = false;
  };
  for (const Case& it :
       {Case{"10.0.0.1:80", true, true}, Case{"10.0.0.1:65535", true, true},
        Case{"::1:80", true, false}, Case{"10.0.0.1:0", false, false},
        Case{"10.0.0.1:65536", false, false},
        Case{"10.0.0.1:99999999999999999999", false, false},
        Case{"10.0.0.1:+80", false, false}, Case{"10.0.0.1:8 0", false, false},
        Case{"10.0.0.1", false, false}, Case{"host:80", false, false},
        Case{":80", false, false}, Case{"", false, false}}) {
    BOOST_TEST(core::IsAddress(it.text) == it.address, it.text);
    BOOST_TEST(core::IsIpv4Address(it.text) == it.ipv4, it.text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

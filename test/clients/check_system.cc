#include "clients/check_system.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace clients {
namespace {

/// Sanitizers multiply the memory of a process; its bound has no meaning there.
bool IsMemoryMeasured() { return std::getenv("CLIENTS_SANITIZED") == nullptr; }

}  // namespace

void CheckSystem(System& system, const SystemLimits& limits) {
  BOOST_TEST(system.IsRunning());
  BOOST_TEST(system.IsServed(64));
  BOOST_TEST(system.IsRunning());
  BOOST_TEST_MESSAGE("peak " << system.PeakMb() << " MB, bound "
                             << limits.memory_mb << "; descriptors "
                             << system.Descriptors() << ", bound "
                             << limits.descriptors);
  if (IsMemoryMeasured()) {
    BOOST_TEST(system.PeakMb() <= static_cast<double>(limits.memory_mb));
  }
  BOOST_TEST(system.Descriptors() <= limits.descriptors);
}

}  // namespace clients

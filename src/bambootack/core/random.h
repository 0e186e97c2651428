#ifndef BAMBOOTACK_CORE_RANDOM_H_
#define BAMBOOTACK_CORE_RANDOM_H_

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

namespace bambootack::core {

/// @brief Seeded generator that a decision receives as an argument.
/// Boost.Random distributions give the same numbers on every platform.
class Random {
 public:
  /// @brief Starts a sequence.
  /// @param seed Seed; the same seed gives the same sequence.
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// @brief Uniform integer in [0, bound).
  /// @param bound Exclusive upper bound, at least 1.
  /// @return The number.
  [[nodiscard]] std::uint64_t Below(std::uint64_t bound) {
    return boost::random::uniform_int_distribution<std::uint64_t>(
        0, bound - 1)(engine_);
  }

  /// @brief Uniform real number in [0, 1).
  /// @return The number.
  [[nodiscard]] double Unit() {
    return boost::random::uniform_01<double>()(engine_);
  }

  /// @brief Engine for use with a Boost.Random distribution.
  /// @return The engine.
  [[nodiscard]] boost::random::mt19937_64& Engine() noexcept { return engine_; }

 private:
  boost::random::mt19937_64 engine_;
};

}  // namespace bambootack::core

#endif  // BAMBOOTACK_CORE_RANDOM_H_

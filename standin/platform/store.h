#ifndef STANDIN_PLATFORM_STORE_H_
#define STANDIN_PLATFORM_STORE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambootack/core/http_message.h"
#include "bambootack/core/random.h"
#include "bambootack/core/time.h"
#include "bambootack/net/http_server.h"

namespace standin {

/// @brief Faults of the store that are in force.
struct StoreFaults {
  bool down = false;                        ///< All calls get 503.
  bool silent = false;                      ///< No call is answered.
  bambootack::core::Duration delay{};       ///< Added to each answer.
  double lost = 0.0;                        ///< Share of appends not answered.
  bambootack::core::Duration late_by{};     ///< When lost appends are done.
  std::optional<double> writes_a_second{};  ///< More get 429.
};

/// @brief The platform's store in memory: topics with one partition that keep
/// the newest record of each key. Runs on the thread of its context.
class Store {
 public:
  /// @brief Starts to listen.
  /// @param io Context of the server.
  /// @param address IP:port
  /// @param seed Seed of the choice of lost answers.
  Store(asio::io_context& io, const std::string& address, std::uint64_t seed);

  /// @brief Appends a record as the operator or a server does.
  /// @param topic The topic.
  /// @param key Key of the record.
  /// @param value Its value; empty drops the key.
  /// @return The record's offset.
  std::uint64_t Put(const std::string& topic, std::string_view key,
                    std::string_view value);

  /// @brief Drops the history of all topics; the newest records stay.
  void ForgetHistory();

  /// @brief Faults to be changed by the test.
  /// @return The faults.
  [[nodiscard]] StoreFaults& Faults() noexcept { return faults_; }

  /// @brief Tells whether the operator and servers can write.
  /// @return False while the store is away for all.
  [[nodiscard]] bool TakesWrites() const noexcept {
    return !faults_.down && !faults_.silent;
  }

  /// @brief Port that is listened on.
  /// @return The port.
  [[nodiscard]] std::uint16_t Port() const noexcept { return server_.Port(); }

  /// @brief Calls since the start.
  /// @return The count.
  [[nodiscard]] std::uint64_t Calls() const noexcept { return calls_; }

 private:
  struct Topic {
    std::uint64_t first = 0;           ///< Offset of the oldest record kept.
    std::vector<std::string> records;  ///< From `first` on.
    struct Newest {
      std::string value;
      std::uint64_t offset = 0;
    };
    std::map<std::string, Newest> newest;

    [[nodiscard]] std::uint64_t End() const { return first + records.size(); }
  };

  /// A held read.
  struct Waiter {
    bambootack::core::CallerId caller{};
    std::string topic;
    std::uint64_t from = 0;
    std::unique_ptr<asio::steady_timer> timer;
  };

  void Take(bambootack::core::CallerId caller,
            const bambootack::core::HttpRequest& http);
  void Append(bambootack::core::CallerId caller,
              const bambootack::core::HttpRequest& http);
  void Read(bambootack::core::CallerId caller, const std::string& target);
  void Newest(bambootack::core::CallerId caller, const std::string& target);
  std::uint64_t Add(const std::string& topic, std::string record);
  void WakeReaders(const std::string& topic);
  void AnswerRead(const Waiter& waiter);
  void Answer(bambootack::core::CallerId caller, int status, std::string body);
  void After(bambootack::core::Duration delay, std::function<void()> run);
  [[nodiscard]] bool IsOverRate();

  asio::io_context& io_;
  bambootack::core::Random random_;
  StoreFaults faults_;
  std::map<std::string, Topic> topics_;
  std::list<Waiter> waiters_;
  double write_tokens_ = 0.0;
  std::chrono::steady_clock::time_point write_tokens_at_;
  std::uint64_t calls_ = 0;
  bambootack::net::HttpServer server_;
};

}  // namespace standin

#endif  // STANDIN_PLATFORM_STORE_H_

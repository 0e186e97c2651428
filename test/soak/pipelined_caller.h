#ifndef TEST_SOAK_PIPELINED_CALLER_H_
#define TEST_SOAK_PIPELINED_CALLER_H_

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bambootack/core/http_message.h"
#include "bambootack/core/time.h"
#include "bambootack/net/http_client.h"

namespace soak {

/// @brief Sends several requests on one connection before the first is
/// answered, and reads their answers in order. It keeps itself alive until all
/// requests have ended.
class PipelinedCaller : public std::enable_shared_from_this<PipelinedCaller> {
 public:
  /// @brief Called with the number of a request and its result.
  using OnEnd =
      std::function<void(std::size_t, const bambootack::net::HttpCallResult&)>;

  /// @param timeout Time until the requests without an answer time out.
  PipelinedCaller(asio::io_context& io, std::vector<std::string> requests,
                  bambootack::core::Duration timeout, OnEnd on_end);

  /// @brief Connects and sends the requests.
  void Start(const asio::ip::tcp::endpoint& endpoint);

 private:
  void ReadHead();
  void ReadBody(std::size_t length);
  void CompleteAnswer();
  void EndAll(bambootack::node::AttemptEnd end);

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  bambootack::core::Duration timeout_;
  std::vector<std::string> requests_;
  std::string sent_;
  OnEnd on_end_;
  std::size_t answered_ = 0;
  std::string received_;
  bambootack::core::HttpAnswer answer_;
};

}  // namespace soak

#endif  // TEST_SOAK_PIPELINED_CALLER_H_

#include "soak/pipelined_caller.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace soak {
namespace {

using bambootack::node::AttemptEnd;
namespace core = bambootack::core;

/// Parses the head of an answer, without its empty line.
core::HttpAnswer ParseHead(const std::string& head) {
  core::HttpAnswer answer;
  std::istringstream in(head);
  std::string version;
  std::string line;
  in >> version >> answer.status;
  std::getline(in, line);
  while (std::getline(in, line) && line != "\r") {
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
      answer.headers.push_back(
          {line.substr(0, colon),
           line.substr(colon + 2, line.size() - colon - 3)});
    }
  }
  return answer;
}

}  // namespace

PipelinedCaller::PipelinedCaller(asio::io_context& io,
                                 std::vector<std::string> requests,
                                 core::Duration timeout, OnEnd on_end)
    : socket_(io),
      timer_(io),
      timeout_(timeout),
      requests_(std::move(requests)),
      on_end_(std::move(on_end)) {
  for (const std::string& it : requests_) {
    sent_ += it;
  }
}

void PipelinedCaller::Start(const asio::ip::tcp::endpoint& endpoint) {
  timer_.expires_after(timeout_);
  timer_.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec) {
      self->EndAll(AttemptEnd::kTimedOut);
    }
  });
  socket_.async_connect(
      endpoint, [self = shared_from_this()](std::error_code ec) {
        if (ec) {
          self->EndAll(AttemptEnd::kNotConnected);
          return;
        }
        asio::async_write(self->socket_, asio::buffer(self->sent_),
                          [self](std::error_code /*ec*/, std::size_t /*n*/) {});
        self->ReadHead();
      });
}

void PipelinedCaller::ReadHead() {
  asio::async_read_until(
      socket_, asio::dynamic_buffer(received_), "\r\n\r\n",
      [self = shared_from_this()](std::error_code ec, std::size_t n) {
        if (ec) {
          self->EndAll(AttemptEnd::kLost);
          return;
        }
        self->answer_ = ParseHead(self->received_.substr(0, n));
        self->received_.erase(0, n);
        const auto length =
            core::FindHeader(self->answer_.headers, "Content-Length");
        self->ReadBody(length ? std::stoul(std::string(*length)) : 0);
      });
}

void PipelinedCaller::ReadBody(std::size_t length) {
  const std::size_t missing = length - std::min(length, received_.size());
  asio::async_read(
      socket_, asio::dynamic_buffer(received_), asio::transfer_exactly(missing),
      [self = shared_from_this(), length](std::error_code ec,
                                          std::size_t /*n*/) {
        if (self->received_.size() < length) {
          self->EndAll(ec ? AttemptEnd::kInvalid : AttemptEnd::kLost);
          return;
        }
        self->answer_.body = self->received_.substr(0, length);
        self->received_.erase(0, length);
        self->CompleteAnswer();
      });
}

void PipelinedCaller::CompleteAnswer() {
  if (answered_ == requests_.size()) {
    return;  // The requests have timed out.
  }
  const auto connection = core::FindHeader(answer_.headers, "Connection");
  const bool closing = connection && *connection == "close";
  on_end_(answered_++, {AttemptEnd::kAnswered, std::move(answer_)});
  if (closing || answered_ == requests_.size()) {
    EndAll(AttemptEnd::kLost);
  } else {
    ReadHead();
  }
}

void PipelinedCaller::EndAll(AttemptEnd end) {
  while (answered_ < requests_.size()) {
    on_end_(answered_++, {end, {}});
  }
  timer_.cancel();
  std::error_code ignored;
  socket_.close(ignored);
}

}  // namespace soak

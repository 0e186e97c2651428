#include "bambootack/node/answers.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace bambootack::node {
namespace {

constexpr core::Duration kDefaultRetryAfter = std::chrono::seconds(1);

core::HttpAnswer ErrorBody(const core::ErrorAnswer& row, core::Repeat repeat) {
  core::HttpAnswer http;
  http.status = row.status;
  http.headers.push_back({"Content-Type", "text/plain"});
  http.headers.push_back({"Bambootack-Error", std::string(row.name)});
  http.headers.push_back(
      {"Bambootack-Repeat", std::string(core::kRepeatNames.Name(repeat))});
  http.body = fmt::format("{}: {}\n", row.name, row.text);
  return http;
}

/// A new key is advised only where the operation has not run under the old one.
core::Repeat RepeatOf(const core::ErrorAnswer& row, core::Outcome outcome) {
  const bool unproven = outcome == core::Outcome::kUnknown;
  return unproven && row.repeat == core::Repeat::kNewKey
             ? core::Repeat::kSameKey
             : row.repeat;
}

std::int64_t RetrySeconds(core::Duration value) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(value).count();
  return std::max<std::int64_t>(1, seconds);
}

}  // namespace

wire::Answer Refusal(core::ErrorKind kind) {
  const core::ErrorAnswer& row = core::AnswerOf(kind);
  wire::Answer answer;
  answer.outcome = row.outcome;
  answer.error = kind;
  answer.retry_after = row.retry_after ? kDefaultRetryAfter : core::Duration{};
  return answer;
}

wire::Answer Unproven(core::ErrorKind kind) {
  wire::Answer answer = Refusal(kind);
  answer.outcome = core::Outcome::kUnknown;
  return answer;
}

core::HttpAnswer ToHttp(const wire::Answer& answer) {
  core::HttpAnswer http = answer.http;
  if (answer.error) {
    const core::ErrorAnswer& row = core::AnswerOf(*answer.error);
    http = ErrorBody(row, RepeatOf(row, answer.outcome));
    http.headers.push_back(
        {"Bambootack-New-Key", answer.new_key_would_be_served ? "yes" : "no"});
  }
  if (answer.retry_after > core::Duration{}) {
    http.headers.push_back(
        {"Retry-After", std::to_string(RetrySeconds(answer.retry_after))});
  }
  http.headers.push_back(
      {"Bambootack-Outcome",
       std::string(core::kOutcomeNames.Name(answer.outcome))});
  return http;
}

core::HttpAnswer TextAnswer(int status, std::string body,
                            std::string_view type) {
  core::HttpAnswer http;
  http.status = status;
  http.headers.push_back({"Content-Type", std::string(type)});
  http.body = std::move(body);
  return http;
}

core::HttpAnswer OperatorError(core::ErrorKind kind, std::string_view detail) {
  const core::ErrorAnswer& row = core::AnswerOf(kind);
  core::HttpAnswer http = ErrorBody(row, row.repeat);
  if (!detail.empty()) {
    http.body += fmt::format("{}\n", detail);
  }
  return http;
}

}  // namespace bambootack::node

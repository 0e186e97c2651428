#include "bambootack/gateway/server_protocol.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <cmath>
#include <utility>
#include <vector>

namespace bambootack::gateway {
namespace {

constexpr int kMinSuccess = 200;
constexpr int kMinRedirect = 300;
constexpr int kMinServerError = 500;
constexpr int kMisdirectedRequest = 421;
constexpr int kServiceUnavailable = 503;

/// Callers wait for seconds; a larger value is a fault of the caller.
constexpr std::int64_t kMaxRemainingMs = 3'600'000;

/// Longer pauses are limited to this time.
constexpr double kMaxPauseSeconds = 3600.0;

/// Parses a finite decimal number that is not negative.
std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0.0;
  const char* end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value) ||
      value < 0.0) {
    return std::nullopt;
  }
  return value;
}

/// Parses a number of seconds. Dates are rejected.
std::optional<core::Duration> ParseSeconds(std::string_view text) {
  const auto seconds = ParseDecimal(text);
  return seconds ? std::optional(std::chrono::duration_cast<core::Duration>(
                       std::chrono::duration<double>(
                           std::min(*seconds, kMaxPauseSeconds))))
                 : std::nullopt;
}

/// Reads the limit of a server. Each of several fields may be malformed, and
/// may be a list.
void ReadLimit(const HeaderNames& names, const core::Headers& headers,
               ServerNotice& notice) {
  for (const core::HeaderField& field : headers) {
    if (!boost::algorithm::iequals(field.name, names.limit)) {
      continue;
    }
    std::vector<std::string> values;
    boost::algorithm::split(values, field.value,
                            boost::algorithm::is_any_of(","));
    for (std::string& it : values) {
      boost::algorithm::trim(it);
      if (const auto limit = ParseDecimal(it)) {
        notice.limit = std::min(notice.limit.value_or(*limit), *limit);
      } else {
        notice.malformed_limit = field.value;
      }
    }
  }
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value)
                                                       : std::nullopt;
}

void RemoveField(core::Headers& headers, std::string_view name) {
  std::erase_if(headers, [&](const core::HeaderField& it) {
    return boost::algorithm::iequals(it.name, name);
  });
}

}  // namespace

std::optional<core::Duration> RemainingTime(const HeaderNames& names,
                                            const core::Headers& headers) {
  const auto field = core::FindHeader(headers, names.remaining_ms);
  const auto value = field ? ParseNumber(*field) : std::nullopt;
  if (!value || *value < 0 || *value > kMaxRemainingMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*value);
}

core::HttpRequest ToServerRequest(const HeaderNames& names,
                                  const core::HttpRequest& request,
                                  std::string_view server,
                                  core::Duration remaining,
                                  std::optional<std::string_view> customer) {
  core::HttpRequest result;
  result.method = request.method;
  result.target = request.target;
  result.headers = core::EndToEndHeaders(request.headers);
  RemoveField(result.headers, names.remaining_ms);
  RemoveField(result.headers, names.expected_server);
  if (customer) {
    RemoveField(result.headers, "Authorization");
    RemoveField(result.headers, names.customer);
    if (!customer->empty()) {
      result.headers.push_back({names.customer, std::string(*customer)});
    }
  }
  if (const auto host = core::FindHeader(request.headers, "Host")) {
    result.headers.push_back({"Host", std::string(*host)});
  }
  const auto left = std::max<std::int64_t>(1, core::ToMilliseconds(remaining));
  result.headers.push_back({names.remaining_ms, std::to_string(left)});
  result.headers.push_back({names.expected_server, std::string(server)});
  result.body = request.body;
  result.shared_body = request.shared_body;
  return result;
}

AttemptOutcome Classify(const HeaderNames& names, std::string_view request_id,
                        const core::HttpAnswer& answer) {
  if (!core::IsFinalStatus(answer.status)) {
    return AttemptOutcome::kInvalid;
  }
  const core::Headers& headers = answer.headers;
  const auto echoed = core::FindHeader(headers, names.request_id);
  if (echoed && *echoed != request_id) {
    return AttemptOutcome::kInvalid;
  }
  if (answer.status == kMisdirectedRequest) {
    return AttemptOutcome::kWrongServer;
  }
  if (core::FindHeader(headers, names.not_executed)) {
    return AttemptOutcome::kNotExecuted;
  }
  const bool success =
      answer.status >= kMinSuccess && answer.status < kMinRedirect;
  const bool proven = echoed && core::FindHeader(headers, names.signature);
  if ((success && !proven) || core::FindHeader(headers, "Content-Encoding")) {
    return AttemptOutcome::kInvalid;
  }
  return answer.status >= kMinServerError || ImpliesNotExecuted(answer.status)
             ? AttemptOutcome::kServerError
             : AttemptOutcome::kServed;
}

std::optional<ServerLoad> ReportedLoad(const HeaderNames& names,
                                       const core::Headers& headers) {
  const auto field = core::FindHeader(headers, names.load);
  if (!field) {
    return std::nullopt;
  }
  const std::size_t first = field->find(',');
  const std::size_t second =
      first == std::string_view::npos ? first : field->find(',', first + 1);
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  const auto executing = ParseNumber(field->substr(0, first));
  const auto queued = ParseNumber(field->substr(first + 1, second - first - 1));
  if (!executing || !queued || *executing < 0 || *queued < 0) {
    return std::nullopt;
  }
  return ServerLoad{static_cast<int>(*executing), static_cast<int>(*queued)};
}

ServerNotice ReadServerNotice(const HeaderNames& names,
                              const core::HttpAnswer& answer) {
  ServerNotice notice;
  const auto leaving = core::FindHeader(answer.headers, names.leaving);
  notice.leaving = leaving && *leaving == "1";
  const auto pause = core::FindHeader(answer.headers, names.retry_after);
  if (pause && answer.status == kServiceUnavailable) {
    notice.pause = ParseSeconds(*pause);
    if (!notice.pause) {
      notice.malformed_pause = std::string(*pause);
    }
  }
  ReadLimit(names, answer.headers, notice);
  return notice;
}

std::optional<LimitReport> LimitReportOf(const ServerNotice& notice,
                                         AttemptOutcome outcome) {
  const bool executed = outcome == AttemptOutcome::kServed ||
                        outcome == AttemptOutcome::kServerError;
  return notice.limit || (executed && !notice.malformed_limit)
             ? std::optional(LimitReport{notice.limit})
             : std::nullopt;
}

}  // namespace bambootack::gateway

#include "bambootack/net/request_rules.h"

#include <fmt/format.h>
#include <http_parser.h>

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

#include "bambootack/net/field_syntax.h"
#include "bambootack/node/answers.h"

namespace bambootack::net {
namespace {

std::ptrdiff_t CountOf(const core::Headers& headers, std::string_view name) {
  return std::count_if(headers.begin(), headers.end(),
                       [&](const core::HeaderField& it) {
                         return boost::algorithm::iequals(it.name, name);
                       });
}

bool IsTargetValid(const core::HttpRequest& http) {
  return http.target.starts_with('/') ||
         (http.method == "OPTIONS" && http.target == "*");
}

bool IsHostValid(const core::Headers& headers) {
  const auto host = core::FindHeader(headers, "Host");
  return CountOf(headers, "Host") == 1 && !host->empty() &&
         host->find_first_of(" \t/@,?#\\") == std::string_view::npos;
}

bool IsTransferCodingValid(const core::Headers& headers) {
  const auto coding = core::FindHeader(headers, "Transfer-Encoding");
  return !coding || (CountOf(headers, "Transfer-Encoding") == 1 &&
                     boost::algorithm::iequals(*coding, "chunked"));
}

}  // namespace

std::optional<core::ErrorKind> CheckRequest(const core::HttpRequest& http) {
  // The parser accepts blanks in a name; RFC 9112 (5.1) demands a refusal.
  const bool clean =
      std::none_of(http.headers.begin(), http.headers.end(),
                   [](const core::HeaderField& it) {
                     return !IsToken(it.name) || HasControlCharacter(it.value);
                   });
  const bool valid = clean && IsTargetValid(http) &&
                     IsHostValid(http.headers) &&
                     IsTransferCodingValid(http.headers);
  return valid ? std::nullopt
               : std::optional(core::ErrorKind::kMalformedRequest);
}

std::string_view ReasonPhrase(int status) noexcept {
  const bool known =
      status > 0 && status <= HTTP_STATUS_NETWORK_AUTHENTICATION_REQUIRED;
  const std::string_view phrase =
      known ? http_status_str(static_cast<http_status>(status)) : "";
  return phrase.empty() || phrase.starts_with('<') ? "Unknown" : phrase;
}

core::HttpAnswer RefusalAnswer(core::ErrorKind kind, bool may_have_key) {
  return node::ToHttp(may_have_key ? node::Unproven(kind)
                                   : node::Refusal(kind));
}

std::string WriteFinalAnswer(const core::HttpAnswer& answer) {
  std::string out = fmt::format("HTTP/1.1 {} {}\r\nConnection: close\r\n",
                                answer.status, ReasonPhrase(answer.status));
  for (const core::HeaderField& it : answer.headers) {
    out += fmt::format("{}: {}\r\n", it.name, it.value);
  }
  return out + fmt::format("Content-Length: {}\r\n\r\n{}", answer.body.size(),
                           answer.body);
}

}  // namespace bambootack::net

#include "bambootack/core/http_message.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <utility>

namespace bambootack::core {
namespace {

constexpr std::array<std::string_view, 10> kConnectionFields{
    "connection", "keep-alive",        "proxy-authenticate",
    "te",         "proxy-connection",  "proxy-authorization",
    "trailer",    "transfer-encoding", "upgrade",
    "host"};

constexpr std::string_view kFleetPrefix = "bambootack-";

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return boost::algorithm::iequals(a, b);
}

/// Names in all `Connection` fields; a message may have several.
std::vector<std::string> NamedByConnection(const Headers& headers) {
  std::vector<std::string> names;
  for (const HeaderField& field : headers) {
    if (!EqualIgnoringCase(field.name, "connection")) {
      continue;
    }
    std::vector<std::string> listed;
    boost::algorithm::split(listed, field.value, boost::is_any_of(","));
    for (std::string& it : listed) {
      boost::algorithm::trim(it);
      names.push_back(std::move(it));
    }
  }
  return names;
}

template <typename Names>
bool Contains(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [&](std::string_view it) {
    return EqualIgnoringCase(it, name);
  });
}

}  // namespace

std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name) noexcept {
  for (const HeaderField& field : headers) {
    if (EqualIgnoringCase(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

Headers EndToEndHeaders(const Headers& headers) {
  const std::vector<std::string> named = NamedByConnection(headers);
  Headers kept;
  for (const HeaderField& field : headers) {
    const bool fleet = boost::algorithm::istarts_with(field.name, kFleetPrefix);
    const bool length = EqualIgnoringCase(field.name, "content-length");
    if (!fleet && !length && !Contains(kConnectionFields, field.name) &&
        !Contains(named, field.name)) {
      kept.push_back(field);
    }
  }
  return kept;
}

std::string_view PathOf(std::string_view target) noexcept {
  return target.substr(0, target.find('?'));
}

}  // namespace bambootack::core

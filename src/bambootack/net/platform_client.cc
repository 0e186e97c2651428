#include "bambootack/net/platform_client.h"

#include <exception>
#include <sstream>
#include <utility>

#include "bambootack/net/platform_json.h"

namespace bambootack::net {
namespace {

constexpr core::Duration kTimeout = std::chrono::seconds(2);
constexpr int kStatusOk = 200;

/// Ids of platform calls lie above those of attempts, which are made of
/// handles with 31-bit versions.
constexpr std::uint64_t kFirstId = 1ULL << 63;

bool Succeeded(const HttpCallResult& result) {
  return result.end == node::AttemptEnd::kAnswered &&
         result.answer.status == kStatusOk;
}

void ParseLogRead(const std::string& body, node::LogRead& read) {
  std::istringstream in(body);
  cereal::JSONInputArchive archive(in);
  archive(cereal::make_nvp("first", read.first),
          cereal::make_nvp("next", read.next),
          cereal::make_nvp("records", read.records));
  read.ok = true;
}

}  // namespace

PlatformClient::PlatformClient(HttpClient& http, std::string address,
                               OnEvent on_event)
    : http_(http),
      address_(std::move(address)),
      on_event_(std::move(on_event)),
      next_id_(kFirstId) {}

void PlatformClient::Call(core::HttpRequest http,
                          HttpClient::OnResult on_result) {
  http_.Start(next_id_++, HttpCall{address_, std::move(http), kTimeout},
              std::move(on_result));
}

void PlatformClient::Read(const node::ReadLog& action) {
  const std::string target =
      "/log/" + action.stream + "?from=" + std::to_string(action.from);
  const std::string stream = action.stream;
  Call({"GET", target, {}, {}}, [this, stream](HttpCallResult result) {
    node::LogRead read;
    try {
      if (Succeeded(result)) {
        ParseLogRead(result.answer.body, read);
      }
    } catch (const std::exception&) {
      read = node::LogRead{};
    }
    read.stream = stream;
    on_event_(std::move(read));
  });
}

void PlatformClient::Append(const node::AppendLog& action) {
  core::HttpRequest http{
      "POST", "/log/" + action.stream, {{"Record-Id", action.id}}, action.body};
  node::LogAppended appended{action.stream, action.id, false, 0};
  Call(std::move(http), [this, appended](HttpCallResult result) mutable {
    try {
      if (Succeeded(result)) {
        appended.offset = std::stoull(result.answer.body);
        appended.ok = true;
      }
    } catch (const std::exception&) {
      appended.ok = false;
    }
    on_event_(std::move(appended));
  });
}

void PlatformClient::ReadVms() {
  Call({"GET", "/vms", {}, {}}, [this](HttpCallResult result) {
    node::VmListRead read;
    try {
      if (Succeeded(result)) {
        std::istringstream in(result.answer.body);
        cereal::JSONInputArchive archive(in);
        archive(cereal::make_nvp("vms", read.vms));
        read.ok = true;
      }
    } catch (const std::exception&) {
      read = node::VmListRead{};
    }
    on_event_(std::move(read));
  });
}

}  // namespace bambootack::net

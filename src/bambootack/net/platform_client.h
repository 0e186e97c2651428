#ifndef BAMBOOTACK_NET_PLATFORM_CLIENT_H_
#define BAMBOOTACK_NET_PLATFORM_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "bambootack/net/http_client.h"
#include "bambootack/node/actions.h"
#include "bambootack/node/events.h"

namespace bambootack::net {

/// @brief Client of the platform's log service and VM list.
/// `GET /log/STREAM?from=N` and `GET /vms` answer with JSON;
/// `POST /log/STREAM` with header `Record-Id` appends the body.
class PlatformClient {
 public:
  /// @brief Called on the HTTP client's thread with each answer.
  using OnEvent = std::function<void(node::Event)>;

  /// @brief Creates a client.
  /// @param http HTTP client; must outlive this object.
  /// @param address IP:port of the platform.
  /// @param on_event Receives the answers.
  PlatformClient(HttpClient& http, std::string address, OnEvent on_event);

  /// @brief Reads records.
  /// @param action Stream and offset.
  void Read(const node::ReadLog& action);

  /// @brief Appends a record.
  /// @param action The record.
  void Append(const node::AppendLog& action);

  /// @brief Reads the VM list.
  void ReadVms();

 private:
  void Call(core::HttpRequest http, HttpClient::OnResult on_result);

  HttpClient& http_;
  std::string address_;
  OnEvent on_event_;
  std::uint64_t next_id_;
};

}  // namespace bambootack::net

#endif  // BAMBOOTACK_NET_PLATFORM_CLIENT_H_

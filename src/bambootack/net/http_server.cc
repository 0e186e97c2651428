#include "bambootack/net/http_server.h"

#include <condition_variable>
#include <exception>
#include <future>
#include <optional>
#include <restinio/all.hpp>
#include <utility>
#include <vector>

#include "bambootack/net/address.h"
#include "bambootack/net/pending_requests.h"
#include "bambootack/net/request_rules.h"
#include "bambootack/net/strict_parsing.h"

namespace bambootack::net {
namespace {

using detail::PendingRequests;

/// Requests of one connection in progress. RESTinio reads on below this number,
/// and so notices that a caller hangs up; further requests wait unread. They
/// are handled at the same time and answered in order, so that a slow first one
/// delays the answers of the others, but not their work.
constexpr std::size_t kMaxPipelined = 16;

constexpr std::size_t kMaxUrlBytes = 8192;
constexpr std::size_t kMaxFields = 100;
constexpr std::size_t kMaxFieldNameBytes = 256;
constexpr std::size_t kMaxFieldValueBytes = 8192;
constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;

/// Reports closed connections of one server.
class ConnectionListener {
 public:
  ConnectionListener(std::shared_ptr<PendingRequests> pending,
                     HttpServer::OnGone on_gone)
      : pending_(std::move(pending)), on_gone_(std::move(on_gone)) {}

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    const bool closed =
        restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause());
    if (!closed) {
      return;
    }
    for (const core::CallerId caller :
         pending_->Close(notice.connection_id())) {
      if (on_gone_) {
        on_gone_(caller);
      }
    }
  }

 private:
  std::shared_ptr<PendingRequests> pending_;
  HttpServer::OnGone on_gone_;
};

struct ServerTraits : restinio::traits_t<restinio::asio_timer_manager_t,
                                         detail::RefusalLogger> {
  using connection_state_listener_t = ConnectionListener;
  using http_methods_mapper_t = detail::StrictMethods;
  using stream_socket_t = detail::StrictSocket;
  static constexpr bool use_connection_count_limiter = true;
};

/// Bodies above this size are shared with the request that holds them.
constexpr std::size_t kMinSharedBody = 64UL * 1024;

/// Connections beyond the limit that are accepted while others are closed.
constexpr std::size_t kClosingConnections = 32;

/// Keeps a request, whose body is in use, and the memory reserved for it.
struct BodyHolder {
  restinio::request_handle_t request;
  BodyMemory::Reservation reservation;
};

std::shared_ptr<const std::string> ShareBody(
    const restinio::request_handle_t& request,
    const BodyMemory::Reservation& reservation) {
  const auto holder =
      std::make_shared<BodyHolder>(BodyHolder{request, reservation});
  return {holder, &holder->request->body()};
}

core::HttpRequest ToRequest(const restinio::request_t& request) {
  core::HttpRequest http;
  http.method = request.header().method().c_str();
  http.target = request.header().request_target();
  request.header().for_each_field([&](const auto& field) {
    http.headers.push_back({field.name(), field.value()});
  });
  return http;
}

/// Counts answers that are not yet written to their sockets.
class UnsentAnswers {
 public:
  void Add() {
    const std::scoped_lock lock(mutex_);
    ++count_;
  }

  void Remove() {
    const std::scoped_lock lock(mutex_);
    --count_;
    changed_.notify_all();
  }

  std::size_t Count() const {
    const std::scoped_lock lock(mutex_);
    return count_;
  }

  bool WaitForNone(std::chrono::milliseconds limit) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return count_ == 0; });
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t count_ = 0;
};

/// True for the field that ends the connection after the answer.
bool IsConnectionClose(const core::HeaderField& it) {
  return it.name == "Connection" && it.value == "close";
}

restinio::incoming_http_msg_limits_t Limits(const HttpServerOptions& options) {
  restinio::incoming_http_msg_limits_t limits;
  limits.max_body_size(options.max_body_bytes)
      .max_url_size(kMaxUrlBytes)
      .max_field_count(kMaxFields)
      .max_field_name_size(kMaxFieldNameBytes)
      .max_field_value_size(kMaxFieldValueBytes);
  return limits;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, OnRequest on_request, OnGone on_gone)
      : on_request_(std::move(on_request)),
        listener_(
            std::make_shared<ConnectionListener>(pending_, std::move(on_gone))),
        server_(options.context != nullptr
                    ? restinio::external_io_context(*options.context)
                    : restinio::own_io_context(),
                MakeSettings(options)) {
    if (options.body_memory) {
      detail::body_memory = options.body_memory;
      detail::open_connections = std::make_shared<detail::OpenConnections>();
      detail::open_connections->limit = options.max_connections;
      detail::open_connections->is_waiting =
          [pending = pending_](detail::PendingRequests::Connection it) {
            return pending->IsWaiting(it);
          };
      limits_bodies_ = true;
    }
    if (options.context != nullptr) {
      server_.open_sync();
      return;
    }
    runner_.emplace(options.threads, server_);
    std::promise<void> started;
    runner_->start([&]() noexcept { started.set_value(); },
                   [&](std::exception_ptr error) noexcept {
                     started.set_exception(std::move(error));
                   });
    started.get_future().get();
  }

  ~Impl() {
    if (runner_) {
      runner_->stop();
      runner_->wait();
    } else {
      server_.close_sync();
    }
    if (limits_bodies_) {
      detail::body_memory.reset();
      detail::open_connections.reset();
    }
    // Requests hold sockets, which must not outlive the server's context.
    pending_->Clear();
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Answer(core::CallerId caller, core::HttpAnswer answer) {
    Write(caller, std::move(answer), false);
  }

  bool Flush(std::chrono::milliseconds limit) {
    return unsent_->WaitForNone(limit);
  }

  [[nodiscard]] std::size_t UnsentCount() const { return unsent_->Count(); }

  [[nodiscard]] std::uint16_t Port() const noexcept { return port_; }

 private:
  using Settings = restinio::server_settings_t<ServerTraits>;
  using Server = restinio::http_server_t<ServerTraits>;

  Settings MakeSettings(const HttpServerOptions& options) {
    const Endpoint endpoint = SplitAddress(options.address);
    // The limit is one for the process; every server sets the same value.
    http_parser_set_max_header_size(kMaxHeaderBytes);
    Settings settings;
    settings.address(endpoint.ip)
        .port(endpoint.port)
        .max_parallel_connections(
            options.max_connections +
            (options.body_memory ? kClosingConnections : 0))
        .read_next_http_message_timelimit(
            std::chrono::milliseconds(options.read_timeout_ms))
        .write_http_response_timelimit(
            std::chrono::milliseconds(options.write_timeout_ms))
        .handle_request_timeout(
            std::chrono::milliseconds(options.answer_timeout_ms))
        .max_pipelined_requests(kMaxPipelined)
        .incoming_http_msg_limits(Limits(options))
        .logger(pending_)
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
          port_ = acceptor.local_endpoint().port();
        })
        .connection_state_listener(listener_)
        .request_handler([this](const restinio::request_handle_t& request) {
          Accept(request);
          return restinio::request_accepted();
        });
    return settings;
  }

  void Accept(const restinio::request_handle_t& request) {
    const BodyMemory::Reservation reservation =
        std::exchange(detail::completed_reservation, nullptr);
    if (detail::current_socket != nullptr) {
      detail::current_socket->RecordRequest(request->connection_id());
    }
    const auto added = pending_->Add(request, reservation);
    if (!added) {
      return;
    }
    const core::CallerId caller = *added;
    core::HttpRequest http = ToRequest(*request);
    if (reservation && request->body().size() > kMinSharedBody) {
      http.shared_body = ShareBody(request, reservation);
    } else {
      http.body = request->body();
    }
    if (const auto kind = CheckRequest(http)) {
      const bool keyed =
          core::FindHeader(http.headers, "Idempotency-Key").has_value();
      Write(caller, RefusalAnswer(*kind, keyed), true);
    } else {
      on_request_(caller, std::move(http));
    }
  }

  void Write(core::CallerId caller, core::HttpAnswer answer, bool close) {
    const auto request = pending_->Take(caller);
    if (!request) {
      return;
    }
    auto response = request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(answer.status)),
        std::string(ReasonPhrase(answer.status))));
    const auto closing = std::erase_if(answer.headers, IsConnectionClose);
    if (pending_->ClosesConnection(*request, caller, close || closing > 0)) {
      response.connection_close();
    }
    for (core::HeaderField& it : answer.headers) {
      response.append_header(std::move(it.name), std::move(it.value));
    }
    response.set_body(std::move(answer.body));
    const auto connection = request->connection_id();
    unsent_->Add();
    response.done([connection, pending = pending_,
                   unsent = unsent_](const asio::error_code&) {
      pending->SetWritten(connection);
      unsent->Remove();
    });
  }

  OnRequest on_request_;
  std::uint16_t port_ = 0;
  bool limits_bodies_ = false;
  /// Shared with handlers on the context, which may outlive this server.
  std::shared_ptr<PendingRequests> pending_ =
      std::make_shared<PendingRequests>();
  std::shared_ptr<UnsentAnswers> unsent_ = std::make_shared<UnsentAnswers>();
  std::shared_ptr<ConnectionListener> listener_;
  Server server_;
  std::optional<restinio::on_pool_runner_t<Server>> runner_;
};

HttpServer::HttpServer(HttpServerOptions options, OnRequest on_request,
                       OnGone on_gone)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(on_request),
                                   std::move(on_gone))) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::Port() const noexcept { return impl_->Port(); }

void HttpServer::Answer(core::CallerId caller, core::HttpAnswer answer) {
  impl_->Answer(caller, std::move(answer));
}

std::size_t HttpServer::UnsentCount() const { return impl_->UnsentCount(); }

bool HttpServer::Flush(std::chrono::milliseconds limit) {
  return impl_->Flush(limit);
}

}  // namespace bambootack::net

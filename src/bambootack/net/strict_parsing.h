#ifndef BAMBOOTACK_NET_STRICT_PARSING_H_
#define BAMBOOTACK_NET_STRICT_PARSING_H_

#include <algorithm>
#include <charconv>
#include <climits>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <restinio/all.hpp>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "bambootack/net/body_memory.h"
#include "bambootack/net/pending_requests.h"
#include "bambootack/net/request_rules.h"

// RESTinio closes a connection without an answer when its parser fails, and its
// parser accepts folded header lines. This file adds a refusal and stricter
// rules through the traits and templates that RESTinio offers. Included by
// http_server.cc only.

namespace bambootack::net::detail {

/// Chunks of one body. With the body limit of 1 MiB this admits chunks of 128
/// bytes; RESTinio keeps a record for each.
inline constexpr std::size_t kMaxChunks = 8192;

/// Bytes to discard before a refused connection closes. Unread bytes would
/// reset the connection, and the caller would lose the refusal.
inline constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024;

/// Bytes that the parser of this thread works on.
struct ReadChunk {
  const char* begin = nullptr;  ///< Null if a line cannot start before it.
  int newlines = 0;  ///< Line ends among the blanks directly before it.
};
inline thread_local ReadChunk read_chunk;

/// Memory of the bodies that the parsers of this thread read; may be null.
inline thread_local std::shared_ptr<BodyMemory> body_memory;

/// Reservation of the message that a parser of this thread has just completed.
inline thread_local BodyMemory::Reservation completed_reservation;

/// Why a parser of this thread refuses a body.
inline thread_local core::ErrorKind body_error = core::ErrorKind::kCount;

/// Refusal to send on the connection that this thread is about to close.
inline thread_local std::string refusal;

/// Tells whether a header value continues on another line (obsolete folding).
/// An empty value is reported at the start of the next line.
inline bool IsFolded(const char* value, std::size_t length) {
  constexpr std::string_view kBlank = " \t\r\n";
  int lines = 0;
  while (value != read_chunk.begin &&
         kBlank.find(value[-1]) != std::string_view::npos) {
    --value;
    lines += *value == '\n' ? 1 : 0;
  }
  if (value == read_chunk.begin) {
    lines += read_chunk.newlines;
  }
  return lines > (length == 0 ? 1 : 0);
}

class StrictSocket;

/// Open connections of a server, those without a request for longest first.
struct OpenConnections {
  std::list<StrictSocket*> sockets;
  std::size_t limit = 0;  ///< No connection is closed for others if 0.
  /// Whether a request of a connection has no complete answer yet.
  std::function<bool(PendingRequests::Connection)> is_waiting;
};
inline thread_local std::shared_ptr<OpenConnections> open_connections;

/// Socket whose read handler runs on this thread.
inline thread_local StrictSocket* current_socket = nullptr;

/// Socket that remembers where lines start and sends the refusal of this
/// thread before it closes. It releases the body that its parser has not
/// completed.
class StrictSocket : public asio::ip::tcp::socket {
 public:
  using Base = asio::ip::tcp::socket;
  using Base::Base;

  ~StrictSocket() {
    if (memory_) {
      memory_->Abandon(parser_);
    }
    if (registry_) {
      registry_->sockets.erase(position_);
    }
  }
  StrictSocket(StrictSocket&&) = default;
  StrictSocket& operator=(StrictSocket&&) = default;
  StrictSocket(const StrictSocket&) = delete;
  StrictSocket& operator=(const StrictSocket&) = delete;

  /// Records the parser that reads from this socket.
  void SetParser(const void* parser) {
    parser_ = parser;
    memory_ = body_memory;
  }

  /// Records a complete request of the connection.
  void RecordRequest(PendingRequests::Connection connection) {
    connection_ = connection;
    if (registry_) {
      registry_->sockets.splice(registry_->sockets.end(), registry_->sockets,
                                position_);
    }
  }

  /// Closes the connection of a body that has made no progress.
  void CloseStalled() {
    refusal = WriteFinalAnswer(
        RefusalAnswer(core::ErrorKind::kRequestTimeout, false));
    std::error_code ignored;
    shutdown(shutdown_both, ignored);
  }

  template <typename Buffer, typename Handler>
  void async_read_some(const Buffer& buffer,  // NOLINT
                       Handler&& handler) {
    Register();
    const auto executor = asio::get_associated_executor(handler);
    const auto* data = static_cast<const char*>(buffer.data());
    Base::async_read_some(
        buffer,
        asio::bind_executor(
            executor, [this, data, it = std::forward<Handler>(handler)](
                          const std::error_code& ec, std::size_t n) mutable {
              read_chunk = {data, newlines_};
              SetTail({data, n});
              current_socket = this;
              it(ec, n);
              current_socket = nullptr;
              read_chunk = {};
            }));
  }

  void shutdown(shutdown_type what, std::error_code& ec) {  // NOLINT
    if (!refusal.empty()) {
      SendRefusal();
    }
    Base::shutdown(what, ec);
  }

 private:
  void SetTail(std::string_view chunk) {
    const std::size_t last = chunk.find_last_not_of(" \t\r\n");
    // A chunk of blanks only, as in a folded line that arrives byte by byte,
    // continues the run of blanks before it.
    if (last != std::string_view::npos) {
      newlines_ = 0;
      chunk.remove_prefix(last + 1);
    }
    newlines_ += static_cast<int>(std::count(chunk.begin(), chunk.end(), '\n'));
  }

  void SendRefusal() {
    std::error_code ec;
    non_blocking(true, ec);
    write_some(asio::buffer(std::exchange(refusal, {})), ec);
    std::array<char, 4096> buf{};
    for (std::size_t n = 0; !ec && n < kMaxDiscardedBytes;) {
      n += read_some(asio::buffer(buf), ec);
    }
  }

  /// Adds the connection to those of its server, and closes the one without a
  /// request for longest if there are too many.
  void Register() {
    if (registry_ || !open_connections) {
      return;
    }
    registry_ = open_connections;
    position_ = registry_->sockets.insert(registry_->sockets.end(), this);
    if (registry_->limit == 0 ||
        registry_->sockets.size() <= registry_->limit) {
      return;
    }
    for (StrictSocket* it : registry_->sockets) {
      if (!it->closing_ && it->IsIdle()) {
        it->closing_ = true;
        std::error_code ignored;
        it->Base::shutdown(shutdown_both, ignored);
        return;
      }
    }
  }

  [[nodiscard]] bool IsIdle() const {
    const bool reads_body = memory_ && memory_->ReservedBytes(parser_) > 0;
    return !reads_body && !(connection_ && registry_->is_waiting(*connection_));
  }

  const void* parser_ = nullptr;
  std::shared_ptr<BodyMemory> memory_;
  std::shared_ptr<OpenConnections> registry_;
  std::list<StrictSocket*>::iterator position_;
  std::optional<PendingRequests::Connection> connection_;
  bool closing_ = false;
  int newlines_ = 0;  ///< Line ends in the run of blanks read last.
};

/// Logger that prepares a refusal when RESTinio reports a parser error, which
/// it does just before it closes the connection on the same thread.
class RefusalLogger {
 public:
  explicit RefusalLogger(std::shared_ptr<const PendingRequests> pending)
      : pending_(std::move(pending)) {}

  template <typename Builder>
  void trace(Builder&& /*builder*/) const noexcept {}  // NOLINT
  template <typename Builder>
  void info(Builder&& /*builder*/) const noexcept {}  // NOLINT
  template <typename Builder>
  void warn(Builder&& /*builder*/) const noexcept {}  // NOLINT
  template <typename Builder>
  void error(Builder&& builder) const {  // NOLINT
    refusal = RefusalOf(builder());
  }

 private:
  /// A connection that waits for an answer gets no refusal, since the caller
  /// would take it for that answer.
  [[nodiscard]] std::string RefusalOf(std::string_view text) const {
    constexpr std::string_view kLead = "[connection:";
    if (!text.starts_with(kLead) ||
        text.find("parser error") == std::string_view::npos) {
      return {};
    }
    PendingRequests::Connection connection = 0;
    std::from_chars(text.data() + kLead.size(), text.data() + text.size(),
                    connection);
    if (pending_->IsWaiting(connection)) {
      return {};
    }
    const bool body =
        text.find("HPE_CB_body") != std::string_view::npos ||
        text.find("HPE_CB_headers_complete") != std::string_view::npos;
    const core::ErrorKind known =
        std::exchange(body_error, core::ErrorKind::kCount);
    if (known != core::ErrorKind::kCount) {
      return WriteFinalAnswer(RefusalAnswer(known, false));
    }
    return WriteFinalAnswer(
        RefusalAnswer(body ? core::ErrorKind::kBodyTooLarge
                           : core::ErrorKind::kMalformedRequest,
                      !body));
  }

  std::shared_ptr<const PendingRequests> pending_;
};

/// Selects the stricter parser callbacks below.
struct StrictMethods : restinio::default_http_methods_t {};

inline int OnHeaderValue(http_parser* parser, const char* at,
                         std::size_t length) {
  return IsFolded(at, length)
             ? -1
             : restinio::impl::restinio_header_value_cb(parser, at, length);
}

/// A request to upgrade is handled as an ordinary one: RESTinio would stop to
/// watch its connection.
inline int OnHeadersComplete(http_parser* parser) {
  parser->upgrade = 0;
  const bool chunked = (parser->flags & F_CHUNKED) != 0;
  const bool announced =
      parser->content_length > 0 && parser->content_length != ULLONG_MAX;
  if (body_memory && (chunked || announced)) {
    StrictSocket* socket = current_socket;
    if (socket != nullptr) {
      socket->SetParser(parser->data);
    }
    body_error = body_memory->Begin(
        parser->data,
        chunked ? 0 : static_cast<std::size_t>(parser->content_length),
        [socket] {
          if (socket != nullptr) {
            socket->CloseStalled();
          }
        });
    if (body_error != core::ErrorKind::kCount) {
      return -1;
    }
  }
  return restinio::impl::restinio_headers_complete_cb(parser);
}

/// Bytes of a body. The buffer grows with its reservation, so that it is copied
/// seldom.
inline int OnBody(http_parser* parser, const char* at, std::size_t length) {
  if (body_memory) {
    auto* context =
        static_cast<restinio::impl::http_parser_ctx_t*>(parser->data);
    body_error =
        body_memory->Receive(parser->data, context->m_body.size() + length);
    if (body_error != core::ErrorKind::kCount) {
      return -1;
    }
    context->m_body.reserve(body_memory->ReservedBytes(parser->data));
  }
  return restinio::impl::restinio_body_cb(parser, at, length);
}

inline int OnMessageComplete(http_parser* parser) {
  if (body_memory) {
    completed_reservation = body_memory->Complete(parser->data);
  }
  return restinio::impl::restinio_message_complete_cb<
      restinio::default_http_methods_t>(parser);
}

inline int OnChunkHeader(http_parser* parser) {
  const auto* context =
      static_cast<const restinio::impl::http_parser_ctx_t*>(parser->data);
  return context->m_chunked_info_block.m_chunks.size() >= kMaxChunks
             ? -1
             : restinio::impl::restinio_chunk_header_cb(parser);
}

}  // namespace bambootack::net::detail

template <>
inline http_parser_settings restinio::impl::create_parser_settings<
    bambootack::net::detail::StrictMethods>() noexcept {
  http_parser_settings settings =
      create_parser_settings<restinio::default_http_methods_t>();
  settings.on_header_value = &bambootack::net::detail::OnHeaderValue;
  settings.on_headers_complete = &bambootack::net::detail::OnHeadersComplete;
  settings.on_chunk_header = &bambootack::net::detail::OnChunkHeader;
  settings.on_body = &bambootack::net::detail::OnBody;
  settings.on_message_complete = &bambootack::net::detail::OnMessageComplete;
  return settings;
}

#endif  // BAMBOOTACK_NET_STRICT_PARSING_H_

#include "bambootack/net/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <deque>
#include <limits>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "bambootack/net/answer_head.h"
#include "bambootack/net/framing.h"

namespace bambootack::net {
namespace {

/// Longest sleep without transfers. Commands and timeouts end it.
constexpr int kPollMilliseconds = 60'000;
// libcurl reads its integer options as long.
using CurlLong = long;  // NOLINT(google-runtime-int)

constexpr CurlLong kMaxIdleConnections = 512;

/// A connection that was idle for longer is not used again. Servers keep idle
/// connections for 5 s or more, so a request seldom meets one that is closing.
constexpr CurlLong kMaxIdleSeconds = 2;

/// A connection that has gone silent is noticed by probes: the first after one
/// second without data, then two more. Reads may wait much longer.
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

/// Memory of a head, interim answers included. Each line is held by libcurl and
/// here, and short fields take most of theirs for administration.
constexpr std::size_t kMaxHeadBytes = 256UL * 1024;
constexpr std::size_t kCopiesOfLine = 3;
constexpr std::size_t kBytesPerLine = 256;

/// Bytes of chunk sizes, extensions and trailers: a part of the body, and as
/// much as a body in some 10,000 chunks of one byte needs. The time that a body
/// takes grows with the number of its chunks.
constexpr std::size_t kBodyBytesPerFramingByte = 8;
constexpr std::size_t kMaxFramingBytes = 64UL * 1024;

/// libcurl reads up to a hundred buffers of one answer before it turns to the
/// others, which wait meanwhile.
constexpr CurlLong kReceiveBufferBytes = 4096;

/// Transfers that are kept for reuse, each with its buffers.
constexpr std::size_t kMaxIdleTransfers = 64;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

struct EasyDeleter {
  void operator()(CURL* it) const { curl_easy_cleanup(it); }
};
struct MultiDeleter {
  void operator()(CURLM* it) const { curl_multi_cleanup(it); }
};
struct ListDeleter {
  void operator()(curl_slist* it) const { curl_slist_free_all(it); }
};
using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;
using MultiHandle = std::unique_ptr<CURLM, MultiDeleter>;
using HeaderList = std::unique_ptr<curl_slist, ListDeleter>;

/// One call in flight. libcurl keeps pointers into it.
struct Transfer {
  Transfer(AnswerMemory& memory, std::vector<std::uint64_t>& evicted)
      : account(memory, [this, &evicted] {
          answer = {};
          evicted.push_back(id);
        }) {}

  AnswerMemory::Account account;
  std::uint64_t id = 0;
  HttpCall call;
  HttpClient::OnResult on_result;
  EasyHandle easy;
  HeaderList headers;
  AnswerHeadParser head;
  core::HttpAnswer answer;
  std::size_t head_bytes = 0;      ///< Memory of the head.
  std::size_t max_body_bytes = 0;  ///< By the limits and the head.
  std::size_t framed_bytes = 0;    ///< Received after the head.
  bool oversized = false;          ///< Its framing exceeds the limits.
  bool sending = false;            ///< Bytes of the request may have been sent.
  /// Of a chunked body, once its head has been received.
  std::optional<ChunkedBodyValidator> chunks;
};

/// Called before each sending of the request, which libcurl would repeat by
/// itself when a kept-alive connection closes. The call ends instead.
int OnSend(void* user, char* /*remote_ip*/, char* /*local_ip*/,
           int /*remote_port*/, int /*local_port*/) {
  auto* transfer = static_cast<Transfer*>(user);
  if (transfer->sending) {
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->sending = true;
  return CURL_PREREQFUNC_OK;
}

/// Called for each new socket.
int OnSocket(void* /*user*/, curl_socket_t socket, curlsocktype /*purpose*/) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeSeconds,
             sizeof(kProbeSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds,
             sizeof(kProbeSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
  return CURL_SOCKOPT_OK;
}

/// Tells whether an answer has more framing than any body needs.
bool IsOversized(const Transfer& transfer) {
  const std::size_t body = transfer.answer.body.size();
  return transfer.framed_bytes >
         body + body / kBodyBytesPerFramingByte + kMaxFramingBytes;
}

/// Makes room for more of a body. The buffer doubles, so that it is copied
/// seldom, unless there is memory for the bytes at hand only.
bool ReserveBody(Transfer& transfer, std::size_t size) {
  std::string& body = transfer.answer.body;
  if (size > transfer.max_body_bytes) {
    return false;
  }
  if (size <= body.capacity()) {
    return true;
  }
  const std::size_t doubled =
      std::clamp(2 * body.capacity(), size, transfer.max_body_bytes);
  for (const std::size_t capacity : {doubled, size}) {
    if (transfer.account.Resize(transfer.head_bytes + capacity)) {
      body.reserve(capacity);
      return true;
    }
  }
  return false;
}

std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                   void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const std::size_t n = size * count;
  transfer->oversized = IsOversized(*transfer);
  if (transfer->oversized ||
      !ReserveBody(*transfer, transfer->answer.body.size() + n)) {
    return 0;
  }
  transfer->answer.body.append(data, n);
  return n;
}

/// Called with all bytes received, before libcurl decodes them.
int OnTrace(CURL* /*easy*/, curl_infotype type, char* data, std::size_t size,
            void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  if (type == CURLINFO_DATA_IN) {
    transfer->framed_bytes += size;
    if (transfer->chunks) {
      transfer->chunks->Feed({data, size});
    }
  }
  return 0;
}

/// Called during a transfer; ends it if it returns something else than 0.
int OnProgress(void* user, curl_off_t /*to_receive*/, curl_off_t /*received*/,
               curl_off_t /*to_send*/, curl_off_t /*sent*/) {
  auto* transfer = static_cast<Transfer*>(user);
  transfer->oversized = IsOversized(*transfer);
  return transfer->oversized ? 1 : 0;
}

/// Tells whether the end of the body is certain. Answers that end with their
/// connection may be truncated; malformed or contradictory fields may be read
/// differently.
bool IsFramed(BodyFraming framing, const core::HttpAnswer& answer,
              const HttpCall& call) {
  const bool empty = call.http.method == "HEAD" ||
                     answer.status == kNoContent ||
                     answer.status == kNotModified;
  switch (framing) {
    case BodyFraming::kInvalid:
      return false;
    case BodyFraming::kClose:
      return empty || call.accept_unframed;
    case BodyFraming::kLength:
    case BodyFraming::kChunked:
      return true;
  }
  return false;
}

std::optional<std::uint64_t> LengthOf(const core::HttpAnswer& answer) {
  const auto value = core::FindHeader(answer.headers, "Content-Length");
  return value ? ParseContentLength(*value) : std::nullopt;
}

/// Handles the end of the head.
/// @return False if the end of the body would not be certain.
bool BeginBody(Transfer& transfer) {
  core::HttpAnswer& answer = transfer.answer;
  answer.status = transfer.head.Status();
  answer.headers = transfer.head.TakeFields();
  const BodyFraming framing = FramingOf(answer.headers);
  if (!IsFramed(framing, answer, transfer.call)) {
    return false;
  }
  if (framing == BodyFraming::kChunked) {
    transfer.chunks.emplace();
  }
  const auto length = LengthOf(answer);
  transfer.max_body_bytes = std::min<std::uint64_t>(
      transfer.max_body_bytes,
      length.value_or(std::numeric_limits<std::uint64_t>::max()));
  if (transfer.call.on_large_body && length.value_or(0) > kLargeBodyBytes) {
    transfer.call.on_large_body();
  }
  return true;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const std::size_t n = size * count;
  const std::size_t head_bytes =
      transfer->head_bytes + n * kCopiesOfLine + kBytesPerLine;
  if (head_bytes > kMaxHeadBytes ||
      !transfer->account.Resize(transfer->answer.body.capacity() +
                                head_bytes)) {
    return 0;
  }
  transfer->head_bytes = head_bytes;
  AnswerHeadParser& head = transfer->head;
  if (head.GetState() == AnswerHeadParser::State::kComplete) {
    return n;  // Trailers are checked with the chunks.
  }
  head.Feed({data, n});
  switch (head.GetState()) {
    case AnswerHeadParser::State::kStatusLine:
    case AnswerHeadParser::State::kFields:
      return n;
    case AnswerHeadParser::State::kInvalid:
      return 0;
    case AnswerHeadParser::State::kComplete:
      return BeginBody(*transfer) ? n : 0;
  }
  return 0;
}

node::AttemptEnd EndOf(CURLcode code, const Transfer& transfer) {
  if (transfer.call.connect_only) {
    return code == CURLE_OK ? node::AttemptEnd::kAnswered
                            : node::AttemptEnd::kNotConnected;
  }
  using HeadState = AnswerHeadParser::State;
  const HeadState head = transfer.head.GetState();
  if (head == HeadState::kInvalid || transfer.account.IsEvicted() ||
      (transfer.chunks && !transfer.chunks->IsValid())) {
    return node::AttemptEnd::kInvalid;
  }
  if (code == CURLE_OK) {
    // libcurl also reports success for a connection that closes in the head.
    return head == HeadState::kComplete ? node::AttemptEnd::kAnswered
                                        : node::AttemptEnd::kInvalid;
  }
  if (!transfer.sending) {
    return node::AttemptEnd::kNotConnected;
  }
  if (transfer.oversized) {
    return node::AttemptEnd::kInvalid;
  }
  switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
      return node::AttemptEnd::kTimedOut;
    case CURLE_WRITE_ERROR:
    case CURLE_PARTIAL_FILE:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_BAD_FUNCTION_ARGUMENT:  // A line without a name or a colon.
      return node::AttemptEnd::kInvalid;
    default:
      return node::AttemptEnd::kLost;
  }
}

/// Tells whether nothing listens at the address of a transfer. A connection may
/// also be reset by a process that listens.
bool IsRefused(CURLcode code, CURL* easy) {
  CurlLong error = 0;
  curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
  return code == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
}

struct StartCommand {
  std::unique_ptr<Transfer> transfer;
};
struct CancelCommand {
  std::uint64_t id;
};
using Command = std::variant<StartCommand, CancelCommand>;

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(AnswerLimits limits)
      : answer_memory_(limits), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    thread_ = std::thread([this] { Run(); });
  }

  ~Impl() {
    stopping_ = true;
    curl_multi_wakeup(multi_.get());
    thread_.join();
    for (auto& [id, transfer] : transfers_) {
      curl_multi_remove_handle(multi_.get(), transfer->easy.get());
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Start(std::uint64_t id, HttpCall call, OnResult on_result) {
    auto transfer = std::make_unique<Transfer>(answer_memory_, evicted_);
    transfer->id = id;
    transfer->call = std::move(call);
    transfer->max_body_bytes = std::min(transfer->call.max_body_bytes,
                                        answer_memory_.Limits().body_bytes);
    transfer->on_result = std::move(on_result);
    Push(StartCommand{std::move(transfer)});
  }

  void Cancel(std::uint64_t id) { Push(CancelCommand{id}); }

 private:
  void Push(Command command) {
    {
      const std::scoped_lock lock(mutex_);
      commands_.push_back(std::move(command));
    }
    curl_multi_wakeup(multi_.get());
  }

  void Run() {
    while (!stopping_) {
      Execute();
      int running = 0;
      curl_multi_perform(multi_.get(), &running);
      Collect();
      EndEvicted();
      curl_multi_poll(multi_.get(), nullptr, 0, kPollMilliseconds, nullptr);
    }
  }

  void Execute() {
    std::deque<Command> commands;
    {
      const std::scoped_lock lock(mutex_);
      commands.swap(commands_);
    }
    for (Command& it : commands) {
      if (auto* start = std::get_if<StartCommand>(&it)) {
        Add(std::move(start->transfer));
      } else {
        Remove(std::get<CancelCommand>(it).id);
      }
    }
  }

  void Add(std::unique_ptr<Transfer> transfer) {
    transfer->easy = TakeEasy();
    Configure(*transfer);
    curl_multi_add_handle(multi_.get(), transfer->easy.get());
    const std::uint64_t id = transfer->id;
    transfers_[id] = std::move(transfer);
  }

  EasyHandle TakeEasy() {
    if (idle_.empty()) {
      return EasyHandle(curl_easy_init());
    }
    EasyHandle easy = std::move(idle_.back());
    idle_.pop_back();
    curl_easy_reset(easy.get());
    return easy;
  }

  static void Configure(Transfer& transfer) {
    CURL* easy = transfer.easy.get();
    const HttpCall& call = transfer.call;
    const std::string url = "http://" + call.address + "/";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.http.target.c_str());
    // The environment must not redirect requests to a proxy.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, &OnTrace);
    curl_easy_setopt(easy, CURLOPT_DEBUGDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, &OnProgress);
    curl_easy_setopt(easy, CURLOPT_XFERINFODATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.http.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOBODY,
                     call.http.method == "HEAD" ? 1L : 0L);
    const auto timeout =
        std::max<std::int64_t>(1, core::ToMilliseconds(call.timeout));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<CurlLong>(timeout));
    curl_easy_setopt(
        easy, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<CurlLong>(core::ToMilliseconds(call.connect_timeout)));
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
    const CurlLong fresh = call.fresh_connection ? 1 : 0;
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, fresh);
    curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, call.connect_only ? 1L : 0L);
    if (!call.http.Body().empty() || call.http.method == "POST" ||
        call.http.method == "PUT" || call.http.method == "PATCH") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.http.Body().size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.http.Body().data());
    }
    AddHeaders(transfer);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  }

  static void AddHeaders(Transfer& transfer) {
    curl_slist* list = nullptr;
    const core::Headers& headers = transfer.call.http.headers;
    for (const core::HeaderField& it : headers) {
      // libcurl would leave a field out that has a colon but no value.
      const std::string line =
          it.value.empty() ? it.name + ";" : it.name + ": " + it.value;
      list = curl_slist_append(list, line.c_str());
    }
    // libcurl would add these fields by itself.
    for (const char* name : {"Accept", "Content-Type"}) {
      if (!core::FindHeader(headers, name)) {
        list = curl_slist_append(list, (std::string(name) + ":").c_str());
      }
    }
    // libcurl would wait for a 100 answer before it sends a large body.
    list = curl_slist_append(list, "Expect:");
    transfer.headers.reset(list);
  }

  void Remove(std::uint64_t id) {
    const auto it = transfers_.find(id);
    if (it == transfers_.end()) {
      return;
    }
    curl_multi_remove_handle(multi_.get(), it->second->easy.get());
    transfers_.erase(it);
  }

  void Collect() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
      if (message->msg == CURLMSG_DONE) {
        Complete(message->easy_handle, message->data.result);
      }
    }
  }

  /// Ends the calls whose answers had to leave their memory to others.
  void EndEvicted() {
    for (const std::uint64_t id : std::exchange(evicted_, {})) {
      if (const auto it = transfers_.find(id); it != transfers_.end()) {
        Complete(it->second->easy.get(), CURLE_WRITE_ERROR);
      }
    }
  }

  void Complete(CURL* easy, CURLcode code) {
    void* row = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &row);
    const auto it = transfers_.find(static_cast<Transfer*>(row)->id);
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    transfers_.erase(it);
    curl_multi_remove_handle(multi_.get(), easy);
    HttpCallResult result;
    result.end = EndOf(code, *transfer);
    result.refused = IsRefused(code, easy);
    if (result.end == node::AttemptEnd::kAnswered) {
      result.answer = std::move(transfer->answer);
    }
    if (idle_.size() < kMaxIdleTransfers) {
      idle_.push_back(std::move(transfer->easy));
    }
    transfer->on_result(std::move(result));
  }

  AnswerMemory answer_memory_;
  std::vector<std::uint64_t> evicted_;  ///< Ids of calls.
  MultiHandle multi_;
  std::mutex mutex_;
  std::deque<Command> commands_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> transfers_;
  std::vector<EasyHandle> idle_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

HttpClient::HttpClient(AnswerLimits limits)
    : impl_(std::make_unique<Impl>(limits)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Start(std::uint64_t id, HttpCall call, OnResult on_result) {
  impl_->Start(id, std::move(call), std::move(on_result));
}

void HttpClient::Cancel(std::uint64_t id) { impl_->Cancel(id); }

}  // namespace bambootack::net

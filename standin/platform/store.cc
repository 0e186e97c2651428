#include "standin/platform/store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "standin/common/encoding.h"
#include "standin/common/query.h"

namespace standin {
namespace {

namespace core = bambootack::core;
namespace json = boost::json;

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxPageItems = 500;
constexpr core::Duration kMaxWait = std::chrono::seconds(30);

std::uint64_t Number(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char it : bytes) {
    value = (value << 8) | static_cast<unsigned char>(it);
  }
  return value;
}

std::string Keyed(std::string_view key, std::string_view value) {
  std::string record = BigEndian(key.size(), 1);
  record += key;
  record += value;
  return record;
}

}  // namespace

Store::Store(asio::io_context& io, const std::string& address,
             std::uint64_t seed)
    : io_(io),
      random_(seed),
      server_(
          {.address = address, .context = &io},
          [this](core::CallerId caller, core::HttpRequest http) {
            Take(caller, http);
          },
          [this](core::CallerId caller) {
            waiters_.remove_if(
                [&](const Waiter& it) { return it.caller == caller; });
          }) {}

std::uint64_t Store::Put(const std::string& topic, std::string_view key,
                         std::string_view value) {
  return Add(topic, Keyed(key, value));
}

void Store::ForgetHistory() {
  for (auto& [name, topic] : topics_) {
    topic.first = topic.End();
    topic.records.clear();
  }
}

void Store::Take(core::CallerId caller, const core::HttpRequest& http) {
  ++calls_;
  if (faults_.silent) {
    return;
  }
  const std::string path(core::PathOf(http.target));
  if (faults_.down) {
    Answer(caller, 503, "");
  } else if (path == "/bambootack/log-append") {
    Append(caller, http);
  } else if (path == "/bambootack/log-read") {
    Read(caller, http.target);
  } else if (path == "/bambootack/log-newest") {
    Newest(caller, http.target);
  } else {
    Answer(caller, 404, "");
  }
}

void Store::Append(core::CallerId caller, const core::HttpRequest& http) {
  const std::string topic = QueryText(http.target, "topic").value_or("");
  const auto as_of = QueryInteger(http.target, "asOf");
  if (topic == "keyed.op" || topic == "keyed.servers" || topic.empty()) {
    Answer(caller, 403, "");
    return;
  }
  if (IsOverRate()) {
    Answer(caller, 429, "");
    return;
  }
  const auto add = [this, topic, as_of,
                    body = http.body]() -> std::optional<std::uint64_t> {
    if (as_of && *as_of != topics_[topic].End()) {
      return std::nullopt;
    }
    const std::uint64_t offset = topics_[topic].End();
    std::string_view rest = body;
    while (rest.size() >= kLengthBytes) {
      const auto length = Number(rest.substr(0, kLengthBytes));
      Add(topic, std::string(rest.substr(kLengthBytes, length)));
      rest.remove_prefix(
          std::min<std::size_t>(rest.size(), kLengthBytes + length));
    }
    return offset;
  };
  if (random_.Unit() < faults_.lost) {
    After(faults_.late_by, [add] { static_cast<void>(add()); });
    return;
  }
  const auto offset = add();
  json::object answer;
  answer["end"] = topics_[topic].End();
  if (offset) {
    answer["offset"] = *offset;
  }
  Answer(caller, offset ? 200 : 412, json::serialize(answer));
}

void Store::Read(core::CallerId caller, const std::string& target) {
  Waiter waiter;
  waiter.caller = caller;
  waiter.topic = QueryText(target, "topic").value_or("");
  waiter.from = QueryInteger(target, "from").value_or(0);
  const Topic& topic = topics_[waiter.topic];
  if (waiter.from < topic.first) {
    json::object answer;
    answer["first"] = topic.first;
    Answer(caller, 410, json::serialize(answer));
    return;
  }
  const auto wait = QueryInteger(target, "waitMs");
  if (waiter.from < topic.End() || !wait) {
    AnswerRead(waiter);
    return;
  }
  waiter.timer = std::make_unique<asio::steady_timer>(io_);
  waiter.timer->expires_after(
      std::min<core::Duration>(kMaxWait, std::chrono::milliseconds(*wait)));
  waiter.timer->async_wait([this, caller](std::error_code ec) {
    const auto it =
        std::find_if(waiters_.begin(), waiters_.end(),
                     [&](const Waiter& held) { return held.caller == caller; });
    if (!ec && it != waiters_.end()) {
      AnswerRead(*it);
      waiters_.erase(it);
    }
  });
  waiters_.push_back(std::move(waiter));
}

void Store::AnswerRead(const Waiter& waiter) {
  const Topic& topic = topics_[waiter.topic];
  std::string body = BigEndian(topic.End(), 8) + BigEndian(topic.first, 8);
  for (std::uint64_t i = std::max(waiter.from, topic.first); i < topic.End();
       ++i) {
    const std::string& record = topic.records[i - topic.first];
    body += BigEndian(record.size(), kLengthBytes) + record;
  }
  Answer(waiter.caller, 200, std::move(body));
}

void Store::Newest(core::CallerId caller, const std::string& target) {
  const Topic& topic = topics_[QueryText(target, "topic").value_or("")];
  const std::string after = QueryText(target, "after").value_or("");
  json::array items;
  bool more = false;
  for (auto it = topic.newest.upper_bound(after); it != topic.newest.end();
       ++it) {
    if (items.size() == kMaxPageItems) {
      more = true;
      break;
    }
    items.push_back(json::object{{"key", it->first},
                                 {"value", Base64(it->second.value)},
                                 {"offset", it->second.offset}});
  }
  json::object page;
  page["items"] = std::move(items);
  page["hasMore"] = more;
  page["end"] = topic.End();
  Answer(caller, 200, json::serialize(page));
}

std::uint64_t Store::Add(const std::string& name, std::string record) {
  Topic& topic = topics_[name];
  const std::uint64_t offset = topic.End();
  const std::size_t key_length =
      record.empty() ? 0 : static_cast<unsigned char>(record.front());
  if (key_length > 0 && key_length < record.size()) {
    const std::string key = record.substr(1, key_length);
    std::string value = record.substr(1 + key_length);
    if (value.empty()) {
      topic.newest.erase(key);
    } else {
      topic.newest[key] = {std::move(value), offset};
    }
  }
  topic.records.push_back(std::move(record));
  WakeReaders(name);
  return offset;
}

void Store::WakeReaders(const std::string& topic) {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (it->topic == topic) {
      AnswerRead(*it);
      it = waiters_.erase(it);
    } else {
      ++it;
    }
  }
}

bool Store::IsOverRate() {
  if (!faults_.writes_a_second) {
    return false;
  }
  const auto now = std::chrono::steady_clock::now();
  const double passed =
      std::chrono::duration<double>(now - write_tokens_at_).count();
  write_tokens_ = std::min(*faults_.writes_a_second,
                           write_tokens_ + passed * *faults_.writes_a_second);
  write_tokens_at_ = now;
  if (write_tokens_ < 1.0) {
    return true;
  }
  write_tokens_ -= 1.0;
  return false;
}

void Store::Answer(core::CallerId caller, int status, std::string body) {
  core::HttpAnswer answer{status, {}, std::move(body)};
  if (faults_.delay.count() == 0) {
    server_.Answer(caller, std::move(answer));
    return;
  }
  After(faults_.delay, [this, caller, answer = std::move(answer)] {
    server_.Answer(caller, answer);
  });
}

void Store::After(core::Duration delay, std::function<void()> run) {
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(delay);
  timer->async_wait([timer, run = std::move(run)](std::error_code ec) {
    if (!ec) {
      run();
    }
  });
}

}  // namespace standin

#include "bambootack/node/node.h"

#include <fmt/format.h>

#include <utility>

#include "bambootack/node/answers.h"
#include "bambootack/node/operator_api.h"
#include "bambootack/node/operator_token.h"

namespace bambootack::node {
namespace {

/// How long a stopping node stays idle before it exits, so that its last
/// answers and replies leave the sockets.
constexpr core::Duration kStopLinger = std::chrono::milliseconds(200);

/// Characters of a path that a log line shows.
constexpr std::size_t kMaxLoggedPath = 64;

membership::View ViewOfSettings(const settings::Settings& settings,
                                core::Incarnation incarnation) {
  membership::View view;
  view.members.push_back({settings.vm, incarnation, settings.peer_address,
                          settings.failure_domain});
  for (const settings::Peer& it : settings.peers) {
    if (it.vm != settings.vm) {
      view.members.push_back({it.vm, {}, it.address, it.failure_domain});
    }
  }
  return view;
}

report::Format FormatOf(const core::HttpRequest& http) {
  const bool json = http.target.ends_with("?format=json");
  return json ? report::Format::kJson : report::Format::kToml;
}

}  // namespace

Node::Node(settings::Settings settings, core::Incarnation incarnation,
           std::uint64_t seed)
    : owner_(settings.vm) {
  shared_.view = ViewOfSettings(settings, incarnation);
  shared_.settings = std::move(settings);
  shared_.incarnation = incarnation;
  shared_.random = core::Random(seed);
  ConnectHeldRequests();
}

void Node::ConnectHeldRequests() {
  health::RequestQuarantine& guard = dispatcher_.Health().Guard();
  control_.Spread().SetHeld(
      [this, &guard](std::size_t count, core::Time now) {
        std::vector<wire::HeldFingerprint> held;
        for (const health::QuarantinedFingerprint& it : guard.Export(now)) {
          const auto left =
              std::chrono::duration_cast<std::chrono::seconds>(it.remaining);
          held.push_back(
              {it.fingerprint, static_cast<std::uint32_t>(left.count())});
        }
        if (held.size() > count) {
          const auto first = shared_.random.Below(held.size() - count + 1);
          held.erase(held.begin(),
                     held.begin() + static_cast<std::ptrdiff_t>(first));
          held.resize(count);
        }
        return held;
      },
      [&guard](const std::vector<wire::HeldFingerprint>& received,
               core::Time now) {
        std::vector<health::QuarantinedFingerprint> held;
        held.reserve(received.size());
        for (const wire::HeldFingerprint& it : received) {
          held.push_back(
              {it.fingerprint, std::chrono::seconds(it.remaining_s)});
        }
        guard.Merge(held, now);
      });
}

std::vector<Action> Node::Handle(Event event, core::Time now,
                                 core::WallTime wall) {
  std::vector<Action> actions;
  Context context{now, wall, shared_, actions, to_self_};
  std::visit([&](auto& it) { On(std::move(it), context); }, event);
  while (!to_self_.empty()) {
    wire::Message message = std::move(to_self_.front());
    to_self_.pop_front();
    Receive(shared_.settings.vm, std::move(message), context);
  }
  return actions;
}

void Node::Receive(core::VmId from, wire::Message message, Context& context) {
  struct Visitor {
    Node& node;
    core::VmId from;
    Context& context;

    void operator()(wire::OwnRequest& it) const {
      node.owner_.Receive(from, std::move(it), context);
    }
    void operator()(wire::OwnReply& it) const {
      node.entry_.Receive(from, it, context);
    }
    void operator()(wire::DispatchRequest& it) const {
      node.dispatcher_.Receive(from, std::move(it), context);
    }
    void operator()(wire::DispatchReply& it) const {
      if (it.role == wire::RequesterRole::kEntry) {
        node.entry_.Receive(from, it, context);
      } else {
        node.owner_.Receive(from, std::move(it), context);
      }
    }
    void operator()(wire::Cancel& it) const {
      node.dispatcher_.Receive(from, it, context);
    }
    void operator()(wire::Gossip& it) const {
      node.control_.Receive(from, it, context);
    }
    void operator()(wire::StateRequest& it) const {
      node.control_.Receive(from, it, context);
    }
    void operator()(wire::StateReply& it) const {
      node.control_.Receive(from, it, context);
      node.TakeConfiguration(context);
    }
    void operator()(wire::AcquireRequest& it) const {
      node.owner_.Receive(from, it, context);
    }
    void operator()(wire::AcquireReply& it) const {
      node.owner_.Receive(from, it, context);
    }
    void operator()(wire::KeyUpdate& it) const {
      node.owner_.Receive(from, it, context);
    }
  };
  std::visit(Visitor{*this, from, context}, message);
}

void Node::On(CallerRequest event, Context& context) {
  entry_.Accept(std::move(event), context);
}

void Node::On(CallerGone event, Context& context) {
  entry_.Drop(event, context);
}

void Node::On(PeerMessage event, Context& context) {
  shared_.suspected.erase(event.envelope.sender);
  Receive(event.envelope.sender, std::move(event.envelope.message), context);
}

void Node::On(const FrameRejected& event, Context& context) {
  shared_.metrics.CountFrameRejected(event.fault);
  context.Log(
      log::EventId::kFrameRejected,
      fmt::format("sender={} reason={}",
                  static_cast<std::uint32_t>(event.sender), event.detail));
}

void Node::On(PeerLost event, Context& context) {
  context.Suspect(event.vm);
  context.Log(log::EventId::kPeerLost,
              fmt::format("peer={}", static_cast<std::uint32_t>(event.vm)));
  entry_.PeerLost(event.vm, context);
  owner_.PeerLost(event.vm, context);
  control_.PeerLost(event.vm, context);
}

void Node::On(AttemptResult event, Context& context) {
  dispatcher_.Receive(std::move(event), context);
}

void Node::FollowLog(const LogRead& event, Context& context) {
  const auto changed = membership_.Receive(event, context);
  if (membership_.Table().Number() != owner_.Decisions().View()) {
    const core::Incarnation member = membership_.IsMember(shared_)
                                         ? membership_.Joined()
                                         : core::Incarnation{};
    owner_.Follow(membership_.Table(), changed, member, context);
  }
  if (membership_.Ended()) {
    BeginStop(context);
  }
}

void Node::On(const LogRead& event, Context& context) {
  FollowLog(event, context);
  control_.Receive(event, context);
  TakeConfiguration(context);
}

void Node::TakeConfiguration(Context& context) {
  if (control_.TakeChanged()) {
    dispatcher_.Reconfigure(context);
  }
  if (!announced_ready_ && shared_.HasControlState()) {
    announced_ready_ = true;
    context.Log(log::EventId::kReady, "");
  }
}

void Node::On(const LogAppended& event, Context& context) {
  membership_.Receive(event);
  control_.Receive(event, context);
}

void Node::On(const VmListRead& event, Context& context) {
  membership_.Receive(event, context);
}

void Node::On(const OperatorRequest& event, Context& context) {
  const std::string_view path = core::PathOf(event.http.target);
  const std::string& method = event.http.method;
  const auto answer = [&](core::HttpAnswer http) {
    context.Do(AnswerCaller{event.caller, std::move(http)});
  };
  if (method == "GET" && path == "/ready") {
    const bool ready = shared_.HasControlState() && !shared_.stopping;
    answer(ready ? TextAnswer(200, "ready\n")
                 : OperatorError(core::ErrorKind::kNotReady, ""));
  } else if (method == "GET" && path == "/metrics") {
    answer(TextAnswer(200, MetricsText(*this), kMetricsType));
  } else if (!HasToken(event.http.headers, shared_.settings.operator_token)) {
    shared_.metrics.CountTokenRejected();
    context.Log(log::EventId::kTokenRejected,
                fmt::format("path={}", path.substr(0, kMaxLoggedPath)));
    answer(OperatorError(core::ErrorKind::kUnauthorized, ""));
  } else if (method == "GET" && path == "/status") {
    answer(TextAnswer(200, report::Write(StatusReport(*this, context.now),
                                         FormatOf(event.http))));
  } else if (method == "GET" && path == "/dump") {
    answer(TextAnswer(200, report::Write(DumpReport(*this, context.now),
                                         FormatOf(event.http))));
  } else if (control_.Operate(event, context)) {
    return;
  } else if (method == "POST" && path == "/drain") {
    answer(TextAnswer(202, "draining\n"));
    BeginStop(context);
  } else {
    answer(OperatorError(core::ErrorKind::kUnknownCommand, path));
  }
}

void Node::On(StopRequested /*event*/, Context& context) {
  if (shared_.stopping) {
    EndStop(context);
    return;
  }
  BeginStop(context);
}

void Node::BeginStop(Context& context) {
  if (shared_.stopping) {
    return;
  }
  shared_.stopping = true;
  serve_until_ = context.now + shared_.settings.stop_grace;
  stop_by_ = context.now + shared_.settings.stop_limit;
  context.Log(log::EventId::kStopping, "");
}

bool Node::IsIdle() const noexcept {
  return entry_.InFlight() + owner_.InFlight() + dispatcher_.InFlight() == 0;
}

void Node::EndStopWhenIdle(Context& context) {
  if (!IsIdle()) {
    idle_since_.reset();
  } else if (!idle_since_) {
    idle_since_ = context.now;
  }
  const bool idle = idle_since_ && context.now >= *idle_since_ + kStopLinger;
  const bool complete =
      idle && context.now >= serve_until_ && membership_.StopComplete(context);
  if (complete || context.now >= stop_by_) {
    EndStop(context);
  }
}

void Node::EndStop(Context& context) {
  if (IsIdle()) {
    context.Log(log::EventId::kStopped, "");
    context.Do(Exit{0});
    return;
  }
  context.Log(
      log::EventId::kStopCut,
      fmt::format("callers={} owned={} dispatched={}", entry_.InFlight(),
                  owner_.InFlight(), dispatcher_.InFlight()));
  context.Do(Exit{1});
}

void Node::On(Tick /*event*/, Context& context) {
  std::erase_if(shared_.suspected,
                [&](const auto& it) { return it.second <= context.now; });
  control_.Tick(context);
  const bool behind = owner_.Decisions().AwaitedView() != core::ViewNumber{};
  if (behind) {
    membership_.ReadSoon();
  }
  const bool handed_over = owner_.InFlight() == 0 &&
                           owner_.Decisions().IsHandedOver(membership_.Table());
  membership_.Tick(handed_over, context);
  dispatcher_.Tick(context);
  owner_.Tick(context);
  entry_.Tick(context);
  if (shared_.stopping) {
    EndStopWhenIdle(context);
  }
}

}  // namespace bambootack::node

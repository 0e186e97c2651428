#include "bambootack/node/owner_role.h"

#include <algorithm>
#include <utility>

#include "bambootack/node/answers.h"
#include "bambootack/node/routing.h"

namespace bambootack::node {
namespace {

using idempotency::Decision;

constexpr std::uint32_t kMaxSends = 3;

/// Time past the deadline in which a dispatcher's confirmation may still come.
constexpr core::Duration kReplyGrace = std::chrono::milliseconds(200);

/// Time for which the outcome of an operation that was answered as `unknown` is
/// still awaited. Backend attempts end with the request's deadline, so a result
/// later than this has been lost.
constexpr core::Duration kLateResult = std::chrono::seconds(60);

/// Longest wait for a view that an entry has read and this VM has not. The log
/// is read every 250 ms.
constexpr core::Duration kMaxViewWait = std::chrono::seconds(2);

/// Requests parked beyond this are refused, so that a silent earlier owner
/// does not fill the memory.
constexpr std::size_t kMaxParked = 10'000;

wire::SendId SendIdOf(const OwnedOperation& it, const Context& context) {
  return {context.shared.incarnation, it.sends};
}

}  // namespace

void OwnerRole::Receive(core::VmId from, wire::OwnRequest message,
                        Context& context) {
  ParkedRequest request;
  request.from = from;
  request.deadline = context.now + message.request.remaining;
  request.until = request.deadline;
  if (message.view > owner_.View()) {
    request.until = std::min(request.until, context.now + kMaxViewWait);
  }
  request.message = std::move(message);
  Decide(std::move(request), context);
}

void OwnerRole::Decide(ParkedRequest request, Context& context) {
  const wire::OwnRequest& message = request.message;
  if (message.view > owner_.View()) {
    Park(std::move(request), context);
    return;
  }
  const std::string& key = message.request.key;
  const idempotency::BeginResult begun =
      owner_.Begin(key, message.request.fingerprint, context.wall);
  wire::OwnReply reply{message.requester, message.send, {}, {}};
  switch (begun.decision) {
    case Decision::kExecute:
      Run(std::move(request), context);
      return;
    case Decision::kWait:
      operations_.Find(by_key_.at(key))
          ->waiters.push_back({request.from, message.requester, message.send});
      return;
    case Decision::kMoving:
      Park(std::move(request), context);
      return;
    case Decision::kAnswer:
      reply.answer = *begun.answer;
      break;
    case Decision::kRefused:
      // A mismatch proves that this request was never run under the key; any
      // other refusal leaves no record, so that a repeat could run.
      reply.answer = begun.reason == core::ErrorKind::kKeyMismatch
                         ? Refusal(*begun.reason)
                         : Unproven(*begun.reason);
      reply.answer.new_key_would_be_served =
          begun.reason != core::ErrorKind::kOverloaded;
      break;
    case Decision::kNotOwner:
      reply.answer = Unproven(core::ErrorKind::kOwnershipMoving);
      reply.retry_view = owner_.View();
      break;
  }
  context.Send(request.from, std::move(reply));
}

void OwnerRole::Run(ParkedRequest request, Context& context) {
  OwnedOperation operation;
  operation.deadline = request.deadline;
  operation.request = std::move(request.message.request);
  operation.waiters.push_back(
      {request.from, request.message.requester, request.message.send});
  const core::Handle handle = operations_.Insert(std::move(operation));
  by_key_[operations_.Find(handle)->request.key] = handle;
  Dispatch(handle, context);
}

void OwnerRole::Park(ParkedRequest request, Context& context) {
  if (context.now < request.until && parked_.size() < kMaxParked) {
    parked_.push_back(std::move(request));
    return;
  }
  wire::OwnReply reply{request.message.requester,
                       request.message.send,
                       Unproven(core::ErrorKind::kOwnershipMoving),
                       {}};
  context.Send(request.from, std::move(reply));
}

void OwnerRole::RetryParked(Context& context) {
  for (ParkedRequest& it : std::exchange(parked_, {})) {
    Decide(std::move(it), context);
  }
}

void OwnerRole::Dispatch(core::Handle handle, Context& context) {
  OwnedOperation* it = operations_.Find(handle);
  if (context.now >= it->deadline) {
    Finish(handle, Refusal(core::ErrorKind::kDeadlineExceeded), context);
    return;
  }
  const auto target =
      ChooseTarget(it->request.service, it->request.rank, context);
  if (!target) {
    Finish(handle, Refusal(core::ErrorKind::kNoServer), context);
    return;
  }
  ++it->sends;
  if (it->sends == 1) {
    TablesInForce(context).retries.RecordFirstAttempt(it->request.service);
  }
  it->dispatcher = target->vm;
  it->request.remaining = it->deadline - context.now;
  context.Send(target->vm, wire::DispatchRequest{wire::RequesterRole::kOwner,
                                                 handle, SendIdOf(*it, context),
                                                 target->group, it->request});
}

void OwnerRole::Receive(core::VmId from, wire::DispatchReply reply,
                        Context& context) {
  TablesInForce(context).chooser.RecordLoad(reply.load, context.now);
  OwnedOperation* it = operations_.Find(reply.requester);
  // A late `not_started` of an earlier send says nothing about the latest one.
  if (it == nullptr || reply.send != SendIdOf(*it, context) ||
      from != it->dispatcher) {
    return;
  }
  const bool repeat = IsNotRunAndRepeatable(reply) && !it->answered &&
                      it->sends < kMaxSends && context.now < it->deadline &&
                      TakeRetry(it->request.service, context);
  if (repeat) {
    Dispatch(reply.requester, context);
    return;
  }
  const bool unproven = reply.state != wire::RunState::kNotStarted &&
                        reply.answer.outcome == core::Outcome::kNotRun;
  if (unproven) {
    reply.answer.outcome = core::Outcome::kUnknown;
  }
  Finish(reply.requester, reply.answer, context);
}

void OwnerRole::Receive(core::VmId from, const wire::AcquireRequest& message,
                        Context& context) {
  owner_.OnMessage(from, message, context.now);
  Flush(context);
}

void OwnerRole::Receive(core::VmId from, const wire::AcquireReply& message,
                        Context& context) {
  owner_.OnMessage(from, message, context.now);
  RetryParked(context);
  Flush(context);
}

void OwnerRole::Receive(core::VmId /*from*/, const wire::KeyUpdate& message,
                        Context& context) {
  owner_.OnMessage(message, context.now);
  Flush(context);
}

void OwnerRole::Follow(const membership::PartitionTable& table,
                       const std::vector<core::PartitionId>& changed,
                       core::Incarnation member, Context& context) {
  owner_.ApplyView(table, changed, member, context.now);
  RetryParked(context);
  Flush(context);
}

void OwnerRole::PeerLost(core::VmId vm, Context& context) {
  std::vector<core::Handle> affected;
  for (const auto& row : operations_) {
    if (row.value.dispatcher == vm && !row.value.answered) {
      affected.push_back(row.handle);
    }
  }
  for (const core::Handle handle : affected) {
    AnswerUnknown(handle, core::ErrorKind::kBackendLost, context);
  }
  Flush(context);
}

void OwnerRole::Tick(Context& context) {
  std::vector<core::Handle> handles;
  for (const auto& row : operations_) {
    if (context.now >= row.value.deadline) {
      handles.push_back(row.handle);
    }
  }
  for (const core::Handle handle : handles) {
    OwnedOperation* it = operations_.Find(handle);
    if (!it->cancelled) {
      it->cancelled = true;
      context.Send(it->dispatcher,
                   wire::Cancel{wire::RequesterRole::kOwner, handle,
                                SendIdOf(*it, context)});
    } else if (it->answered && context.now >= it->deadline + kLateResult) {
      by_key_.erase(it->request.key);
      operations_.Erase(handle);
    } else if (!it->answered && context.now >= it->deadline + kReplyGrace) {
      AnswerUnknown(handle, core::ErrorKind::kBackendTimeout, context);
    }
  }
  RetryParked(context);
  owner_.OnTimer(context.now);
  Flush(context);
}

std::size_t OwnerRole::InFlight() const noexcept {
  const auto waiting =
      std::count_if(operations_.begin(), operations_.end(),
                    [](const auto& row) { return !row.value.answered; });
  return static_cast<std::size_t>(waiting) + parked_.size();
}

void OwnerRole::Finish(core::Handle handle, const wire::Answer& answer,
                       Context& context) {
  OwnedOperation operation = std::move(*operations_.Find(handle));
  operations_.Erase(handle);
  by_key_.erase(operation.request.key);
  if (answer.outcome == core::Outcome::kNotRun) {
    owner_.RecordNotExecuted(operation.request.key, answer, context.now);
  } else {
    owner_.Complete(operation.request.key, answer, context.now);
  }
  Notify(operation, answer, context);
  Flush(context);
}

void OwnerRole::AnswerUnknown(core::Handle handle, core::ErrorKind kind,
                              Context& context) {
  OwnedOperation* it = operations_.Find(handle);
  const wire::Answer answer = Unproven(kind);
  it->answered = true;
  owner_.Complete(it->request.key, answer, context.now);
  Notify(*it, answer, context);
}

void OwnerRole::Notify(OwnedOperation& operation, const wire::Answer& answer,
                       Context& context) {
  for (const Waiter& it : std::exchange(operation.waiters, {})) {
    context.Send(it.vm, wire::OwnReply{it.requester, it.send, answer, {}});
  }
}

void OwnerRole::Flush(Context& context) {
  for (auto& it : owner_.TakeMessages()) {
    std::visit([&](auto& message) { context.Send(it.to, std::move(message)); },
               it.message);
  }
}

}  // namespace bambootack::node

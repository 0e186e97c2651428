#include "bambootack/node/entry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "bambootack/core/hash.h"
#include "bambootack/node/answers.h"
#include "bambootack/node/routing.h"

namespace bambootack::node {
namespace {

/// Sends of one read. Keyed operations may be sent to owners until their
/// deadline, because the owner recognizes a repeated key.
constexpr std::uint32_t kMaxReadSends = 3;

/// Pause before an owner that is lost or without its partition is asked again.
constexpr core::Duration kOwnerRetryDelay = std::chrono::milliseconds(100);

/// Time past the deadline in which the owner or dispatcher, which know more,
/// may still answer.
constexpr core::Duration kAnswerGrace = std::chrono::milliseconds(250);

bool IsAtMostOnce(const EntryRequest& it) {
  return it.request.kind == core::OperationKind::kAtMostOnce;
}

/// Owner of a partition, or no VM before the log has given a view: the peers of
/// the settings differ between VMs, so they give no common owner.
core::VmId OwnerInLog(const membership::View& view, core::PartitionId it) {
  return view.number == core::ViewNumber{} ? core::kNoVm
                                           : membership::OwnerOf(view, it);
}

/// Tells whether the answer says only that the owner could not serve the key
/// at this moment.
bool IsOwnershipRefusal(const wire::Answer& answer) {
  return answer.outcome == core::Outcome::kUnknown &&
         (answer.error == core::ErrorKind::kOwnershipMoving ||
          answer.error == core::ErrorKind::kOwnerUnreachable);
}

/// A repeated key is answered from its record, with the server's time of the
/// first run; its added time is not known.
void CountAnswer(const EntryRequest& request, const wire::Answer& answer,
                 Context& context) {
  metrics::Registry& metrics = context.shared.metrics;
  const core::Duration latency = context.now - request.arrived;
  metrics.CountAnswer(answer.outcome, answer.error);
  metrics.ObserveLatency(request.request.rank, latency);
  if (!answer.error && answer.server_time <= latency) {
    metrics.ObserveAddedTime(latency - answer.server_time);
  }
}

}  // namespace

void Entry::Accept(CallerRequest event, Context& context) {
  const core::CallerId caller = event.caller;
  auto routed = RouteRequest(std::move(event.http), context);
  if (auto* refusal = std::get_if<wire::Answer>(&routed)) {
    context.shared.metrics.CountAnswer(refusal->outcome, refusal->error);
    context.shared.metrics.CountRefusal(metrics::Stage::kEntry,
                                        *refusal->error);
    Answer(caller, *refusal, context);
    return;
  }
  EntryRequest request;
  request.caller = caller;
  request.request = std::get<wire::RoutedRequest>(std::move(routed));
  request.arrived = context.now;
  request.deadline = context.now + request.request.remaining;
  request.due = request.deadline + kAnswerGrace;
  const core::Time due = request.due;
  const core::Handle handle = requests_.Insert(std::move(request));
  by_caller_[caller] = handle;
  by_due_.emplace(due, handle);
  Forward(handle, context);
}

void Entry::Forward(core::Handle handle, Context& context) {
  EntryRequest* it = requests_.Find(handle);
  it->request.remaining = std::max(
      core::Duration{},
      std::chrono::duration_cast<core::Duration>(it->deadline - context.now));
  ++it->sends;
  if (IsAtMostOnce(*it)) {
    SendToOwner(handle, *it, context);
  } else {
    SendToDispatcher(handle, *it, context);
  }
}

void Entry::SendToOwner(core::Handle handle, EntryRequest& it,
                        Context& context) {
  const membership::View& view = context.shared.view;
  const core::VmId owner = OwnerInLog(view, core::PartitionOf(it.request.key));
  if (owner == core::kNoVm) {
    RetryOwnerOrFinish(handle, Unproven(core::ErrorKind::kNotReady), context);
    return;
  }
  Await(handle, it, owner);
  it.sent_view = view.number;
  context.Send(owner, wire::OwnRequest{handle, SendIdOf(it, context),
                                       view.number, it.request});
  // A later send is a repeat of the key: this one may have reached its owner.
  it.request.first_attempt = false;
}

void Entry::SendToDispatcher(core::Handle handle, EntryRequest& it,
                             Context& context) {
  const auto target =
      ChooseTarget(it.request.service, it.request.rank, context);
  if (!target) {
    Finish(handle, Refusal(core::ErrorKind::kNoServer), context);
    return;
  }
  if (it.sends == 1) {
    TablesInForce(context).retries.RecordFirstAttempt(it.request.service);
  }
  Await(handle, it, target->vm);
  context.Send(target->vm, wire::DispatchRequest{wire::RequesterRole::kEntry,
                                                 handle, SendIdOf(it, context),
                                                 target->group, it.request});
}

void Entry::Drop(const CallerGone& event, Context& context) {
  const auto found = by_caller_.find(event.caller);
  if (found == by_caller_.end()) {
    return;
  }
  const core::Handle handle = found->second;
  CancelRead(handle, context);
  Erase(handle);
}

void Entry::Receive(core::VmId from, const wire::OwnReply& reply,
                    Context& context) {
  if (!IsAwaited(from, reply.requester, reply.send, context)) {
    return;
  }
  const EntryRequest& it = *requests_.Find(reply.requester);
  if (!IsOwnershipRefusal(reply.answer)) {
    Finish(reply.requester, reply.answer, context);
  } else if (it.sent_view < context.shared.view.number &&
             context.now < it.deadline) {
    Forward(reply.requester, context);
  } else {
    RetryOwnerOrFinish(reply.requester, reply.answer, context);
  }
}

void Entry::Receive(core::VmId from, const wire::DispatchReply& reply,
                    Context& context) {
  TablesInForce(context).chooser.RecordLoad(reply.load, context.now);
  if (!IsAwaited(from, reply.requester, reply.send, context)) {
    return;
  }
  const EntryRequest* it = requests_.Find(reply.requester);
  const bool repeat = IsReadRepeatable(reply) && it->sends < kMaxReadSends &&
                      context.now < it->deadline &&
                      TakeRetry(it->request.service, context);
  if (repeat) {
    Forward(reply.requester, context);
  } else {
    Finish(reply.requester, reply.answer, context);
  }
}

bool Entry::IsAwaited(core::VmId from, core::Handle handle,
                      const wire::SendId& send, const Context& context) const {
  const EntryRequest* it = requests_.Find(handle);
  return it != nullptr && it->awaited == from && send == SendIdOf(*it, context);
}

wire::SendId Entry::SendIdOf(const EntryRequest& it, const Context& context) {
  return {context.shared.incarnation, it.sends};
}

void Entry::Await(core::Handle handle, EntryRequest& it, core::VmId vm) {
  by_awaited_.erase({it.awaited, handle});
  it.awaited = vm;
  if (vm != core::kNoVm) {
    by_awaited_.emplace(vm, handle);
  }
}

void Entry::RetryOwnerOrFinish(core::Handle handle, const wire::Answer& answer,
                               Context& context) {
  EntryRequest* it = requests_.Find(handle);
  const core::Time retry_at = context.now + kOwnerRetryDelay;
  if (retry_at >= it->deadline) {
    Finish(handle, answer, context);
    return;
  }
  Await(handle, *it, core::kNoVm);
  SetDue(handle, *it, retry_at);
}

void Entry::SetDue(core::Handle handle, EntryRequest& it, core::Time due) {
  by_due_.erase({it.due, handle});
  it.due = due;
  by_due_.emplace(due, handle);
}

void Entry::PeerLost(core::VmId vm, Context& context) {
  std::vector<core::Handle> affected;
  for (auto it = by_awaited_.lower_bound({vm, core::Handle{}});
       it != by_awaited_.end() && it->first == vm; ++it) {
    affected.push_back(it->second);
  }
  // The retry budget goes to the most urgent requests first.
  std::stable_sort(affected.begin(), affected.end(),
                   [&](core::Handle a, core::Handle b) {
                     return requests_.Find(a)->request.rank <
                            requests_.Find(b)->request.rank;
                   });
  for (const core::Handle handle : affected) {
    const EntryRequest* it = requests_.Find(handle);
    if (IsAtMostOnce(*it)) {
      RetryOwnerOrFinish(handle, Unproven(core::ErrorKind::kOwnerUnreachable),
                         context);
    } else if (it->sends < kMaxReadSends && context.now < it->deadline &&
               TakeRetry(it->request.service, context)) {
      Forward(handle, context);
    } else {
      Finish(handle, Unproven(core::ErrorKind::kBackendLost), context);
    }
  }
}

void Entry::Tick(Context& context) {
  while (!by_due_.empty() && by_due_.begin()->first <= context.now) {
    const core::Handle handle = by_due_.begin()->second;
    EntryRequest* it = requests_.Find(handle);
    const bool retry = it->awaited == core::kNoVm && context.now < it->deadline;
    if (retry) {
      SetDue(handle, *it, it->deadline + kAnswerGrace);
      Forward(handle, context);
    } else {
      if (!IsAtMostOnce(*it) && it->awaited != core::kNoVm) {
        // A dispatcher answers by the deadline even when the server does not.
        context.Suspect(it->awaited);
      }
      CancelRead(handle, context);
      const core::ErrorKind kind = IsAtMostOnce(*it)
                                       ? core::ErrorKind::kOwnerUnreachable
                                       : core::ErrorKind::kBackendTimeout;
      Finish(handle, Unproven(kind), context);
    }
  }
}

void Entry::CancelRead(core::Handle handle, Context& context) {
  const EntryRequest& it = *requests_.Find(handle);
  if (!IsAtMostOnce(it) && it.awaited != core::kNoVm) {
    context.Send(it.awaited, wire::Cancel{wire::RequesterRole::kEntry, handle,
                                          SendIdOf(it, context)});
  }
}

void Entry::Finish(core::Handle handle, const wire::Answer& answer,
                   Context& context) {
  const EntryRequest& request = *requests_.Find(handle);
  CountAnswer(request, answer, context);
  Answer(request.caller, answer, context);
  Erase(handle);
}

void Entry::Answer(core::CallerId caller, const wire::Answer& answer,
                   Context& context) {
  core::HttpAnswer http = ToHttp(answer);
  if (context.shared.stopping) {
    // A connection that stays open could carry a request after the exit.
    http.headers.push_back({"Connection", "close"});
  }
  context.Do(AnswerCaller{caller, std::move(http)});
}

void Entry::Erase(core::Handle handle) {
  const EntryRequest& it = *requests_.Find(handle);
  by_caller_.erase(it.caller);
  by_due_.erase({it.due, handle});
  by_awaited_.erase({it.awaited, handle});
  requests_.Erase(handle);
}

}  // namespace bambootack::node

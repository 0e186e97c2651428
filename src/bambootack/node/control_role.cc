#include "bambootack/node/control_role.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "bambootack/config/ticket_writer.h"
#include "bambootack/core/hash.h"
#include "bambootack/core/uuid.h"
#include "bambootack/node/answers.h"
#include "bambootack/node/ticket_api.h"

namespace bambootack::node {
namespace {

constexpr std::string_view kTicketPath = "/tickets";
constexpr std::string_view kServerPath = "/servers/";
constexpr std::string_view kSourceHeader = "Bambootack-Source";
constexpr std::string_view kAuthorHeader = "Bambootack-Author";

/// After this time without a peer or snapshot that has the expired records,
/// nobody has them and reading goes on behind the gap. VMs that did so
/// differently are brought together by their digests.
constexpr core::Duration kGapPatience = std::chrono::seconds(30);

std::string Text(const config::Position& it) {
  return fmt::format("{}:{}", it.generation, it.offset);
}

core::HttpAnswer InForce(std::uint64_t number, const Shared& shared) {
  core::HttpAnswer http = TextAnswer(
      200, fmt::format("ticket {} is in force on VM {}\n", number,
                       static_cast<std::uint32_t>(shared.settings.vm)));
  http.headers.push_back({"Bambootack-Ticket", std::to_string(number)});
  return http;
}

config::Verdict JudgeRecord(const wire::TicketRecord& record,
                            config::Store& store) {
  if (!spread::BodyMatches(record)) {
    return {false, core::ErrorKind::kTicketMalformed,
            "the body does not match the checksum in the id of its record"};
  }
  const ParsedTicket parsed = ParseTicket(record.body, "ticket");
  if (!parsed.problem.empty()) {
    return {false, core::ErrorKind::kTicketMalformed, parsed.problem};
  }
  return store.Apply(parsed.ticket, {record.id, core::HashBytes(record.body)});
}

}  // namespace

void ControlRole::Receive(const LogRead& event, Context& context) {
  if (event.stream == kTicketStream) {
    ReceiveTickets(event, context);
  } else if (event.stream == kSnapshotStream) {
    const auto state = snapshots_.Receive(event, context);
    if (state && state->position > context.shared.store.Where()) {
      TakeState(*state, "snapshot", context);
    }
  }
}

void ControlRole::ReceiveTickets(const LogRead& event, Context& context) {
  config::Store& store = context.shared.store;
  spread::LogBatch batch{event.ok, event.first, event.next, {}};
  for (const LogRecord& it : event.records) {
    batch.records.push_back({it.offset, it.id, it.body});
  }
  const spread::ReadResult result =
      log_.Receive(std::move(batch), store.Where(), store.Whole().last_id,
                   context.now, context.shared.random);
  SetLogState(result.outcome != spread::ReadOutcome::kUnavailable, context);
  if (result.outcome == spread::ReadOutcome::kUnavailable) {
    return;
  }
  log_first_ = event.first;
  if (result.outcome == spread::ReadOutcome::kGap) {
    ReceiveGap(event.first, context);
    return;
  }
  gap_since_.reset();
  if (result.outcome == spread::ReadOutcome::kReset) {
    store.Advance({store.Where().generation + 1, 0});
    context.Log(log::EventId::kLogReset,
                fmt::format("position={}", Text(store.Where())));
  }
  for (const wire::TicketRecord& it : result.records) {
    Apply(it, context);
  }
  if (result.at_end) {
    spread_.NoteLogRead(context.now);
    context.shared.caught_up = true;
  }
  if (!result.records.empty()) {
    spread_.Announce();
    spread_.Send(context);
  }
}

void ControlRole::ReceiveGap(std::uint64_t first, Context& context) {
  config::Store& store = context.shared.store;
  if (!gap_since_) {
    gap_since_ = context.now;
    snapshots_.ReadSoon();
  }
  if (context.now - *gap_since_ < kGapPatience) {
    return;
  }
  context.Log(log::EventId::kLogGap,
              fmt::format("position={} first={}", Text(store.Where()), first));
  store.Advance({store.Where().generation, first});
  gap_since_.reset();
}

void ControlRole::Apply(const wire::TicketRecord& record, Context& context) {
  config::Store& store = context.shared.store;
  const config::Position before = store.Where();
  if (record.offset != before.offset) {
    return;
  }
  const std::uint64_t digest_before = store.Digest();
  const config::Verdict verdict = JudgeRecord(record, store);
  store.Advance({before.generation, record.offset + 1}, record.id);
  spread_.Remember(record, before, digest_before);
  changed_ = changed_ || verdict.accepted;
  context.Log(verdict.accepted ? log::EventId::kTicketApplied
                               : log::EventId::kTicketRefused,
              fmt::format("position={} {}", Text(before), verdict.detail));
  Settle(record.id, verdict, context);
}

void ControlRole::TakeState(const config::State& state, std::string_view source,
                            Context& context) {
  config::Store& store = context.shared.store;
  const config::Position before = store.Where();
  changed_ = store.Join(state) || changed_;
  context.shared.caught_up = true;
  if (store.Where() != before) {
    spread_.Announce();
    gap_since_.reset();
  }
  context.Log(
      log::EventId::kStateTaken,
      fmt::format("source={} position={}", source, Text(store.Where())));
  SettleFromState(context);
}

void ControlRole::Receive(const LogAppended& /*event*/, Context& /*context*/) {}

void ControlRole::Receive(core::VmId from, const wire::Gossip& message,
                          Context& context) {
  spread_.Receive(from, message, context);
}

void ControlRole::Receive(core::VmId from, const wire::StateRequest& message,
                          Context& context) {
  spread_.Receive(from, message, context);
}

void ControlRole::Receive(core::VmId from, const wire::StateReply& message,
                          Context& context) {
  const auto state = spread_.Receive(from, message, context);
  const config::Position before = context.shared.store.Where();
  if (message.position.generation == before.generation) {
    for (const wire::TicketRecord& it : message.records) {
      Apply(it, context);
    }
  }
  if (context.shared.store.Where() != before) {
    context.shared.caught_up = true;
    spread_.Announce();
  }
  if (state) {
    TakeState(*state, fmt::format("vm-{}", static_cast<std::uint32_t>(from)),
              context);
  }
  spread_.Send(context);
}

void ControlRole::Settle(const std::string& id, const config::Verdict& verdict,
                         Context& context) {
  log_.Seen(id);
  const auto it = submissions_.find(id);
  if (it == submissions_.end()) {
    return;
  }
  const bool in_force = verdict.accepted || verdict.repeated;
  context.Do(AnswerCaller{it->second.caller,
                          in_force
                              ? InForce(it->second.number, context.shared)
                              : OperatorError(verdict.reason, verdict.detail)});
  submissions_.erase(it);
}

void ControlRole::SettleFromState(Context& context) {
  // A record that came inside a whole state is not read by itself. The number
  // decides: whoever holds it first keeps it.
  for (const config::AcceptedTicket& it : context.shared.store.Whole().recent) {
    std::vector<std::string> ids;
    for (const auto& [id, submission] : submissions_) {
      if (submission.number == it.number) {
        ids.push_back(id);
      }
    }
    for (const std::string& id : ids) {
      const bool won = id == it.record_id;
      Settle(
          id,
          {won, core::ErrorKind::kTicketConflict,
           fmt::format("ticket {} of {} won the number", it.number, it.author),
           false},
          context);
    }
  }
}

bool ControlRole::Operate(const OperatorRequest& event, Context& context) {
  const std::string_view path = core::PathOf(event.http.target);
  const bool post = event.http.method == "POST";
  if (post && path == kTicketPath) {
    Submit(
        event, event.http.body,
        core::FindHeader(event.http.headers, kSourceHeader).value_or("ticket"),
        context);
  } else if (post && path.starts_with(kServerPath)) {
    SubmitPin(event, path.substr(kServerPath.size()), context);
  } else if (!post && path.starts_with(kTicketPath)) {
    context.Do(AnswerCaller{
        event.caller, ShowTickets(path.substr(kTicketPath.size()),
                                  event.http.target.ends_with("format=json"),
                                  context.shared, spread_.Peers())});
  } else {
    return false;
  }
  return true;
}

void ControlRole::SubmitPin(const OperatorRequest& event, std::string_view path,
                            Context& context) {
  const auto answer = [&](core::ErrorKind kind, std::string_view detail) {
    context.Do(AnswerCaller{event.caller, OperatorError(kind, detail)});
  };
  // SERVER/pin/in or SERVICE/SERVER/pin/in
  const std::size_t at = path.rfind("/pin/");
  const auto pin = at == std::string_view::npos
                       ? std::nullopt
                       : config::kPinNames.Parse(path.substr(at + 5));
  if (!pin) {
    answer(core::ErrorKind::kUnknownCommand, path);
    return;
  }
  auto made = config::PinTicket(context.shared.store, path.substr(0, at), *pin);
  if (const auto* reason = std::get_if<std::string>(&made)) {
    answer(core::ErrorKind::kTicketMalformed, *reason);
    return;
  }
  auto& ticket = std::get<config::Ticket>(made);
  ticket.author =
      core::FindHeader(event.http.headers, kAuthorHeader).value_or("");
  Submit(event, config::WriteTicket(ticket), "ticket", context);
}

void ControlRole::Submit(const OperatorRequest& event, std::string body,
                         std::string_view source, Context& context) {
  const auto answer = [&](core::HttpAnswer http) {
    context.Do(AnswerCaller{event.caller, std::move(http)});
  };
  const ParsedTicket parsed = ParseTicket(body, source);
  if (!parsed.problem.empty()) {
    answer(OperatorError(core::ErrorKind::kTicketMalformed, parsed.problem));
    return;
  }
  const config::Verdict verdict =
      context.shared.store.Judge(parsed.ticket, {{}, core::HashBytes(body)});
  if (verdict.repeated) {
    answer(InForce(parsed.ticket.number, context.shared));
    return;
  }
  if (!verdict.accepted) {
    answer(OperatorError(verdict.reason, verdict.detail));
    return;
  }
  const std::string id = spread::RecordId(
      core::Uuid::Make(context.wall, context.shared.random).ToString(), body);
  if (log_.IsDown() || !log_.Submit(id, std::move(body), context.now)) {
    answer(OperatorError(core::ErrorKind::kLogUnavailable,
                         "the ticket was not appended"));
    return;
  }
  submissions_[id] = {event.caller, parsed.ticket.number};
}

void ControlRole::Tick(Context& context) {
  spread_.Tick(context);
  if (const auto read = spread_.LogRead()) {
    log_.ReadElsewhere(*read);
  }
  Expire(context);
  for (spread::PendingAppend& it : log_.DueAppends(context.now)) {
    context.Do(AppendLog{kTicketStream, std::move(it.id), std::move(it.body)});
  }
  const bool wanted = spread_.ShouldRead(log_.HasPending(), context);
  const config::Position position = context.shared.store.Where();
  if (const auto from = log_.NextRead(position, wanted, context.now)) {
    context.Do(ReadLog{kTicketStream, *from});
  }
  if (wanted) {
    snapshots_.Tick(log_first_, spread_.Peers(), context);
  }
}

void ControlRole::Expire(Context& context) {
  for (const std::string& id : log_.Expired(context.now)) {
    context.Log(log::EventId::kAppendUnresolved, fmt::format("id={}", id));
    const auto it = submissions_.find(id);
    if (it == submissions_.end()) {
      continue;
    }
    const std::string detail = fmt::format(
        "ticket {} with record {} may still appear; submit the same file "
        "again to learn what became of it",
        it->second.number, id);
    context.Do(AnswerCaller{
        it->second.caller,
        OperatorError(core::ErrorKind::kAppendUnresolved, detail)});
    submissions_.erase(it);
  }
}

void ControlRole::SetLogState(bool available, Context& context) {
  if (available == log_available_) {
    return;
  }
  log_available_ = available;
  context.Log(
      available ? log::EventId::kLogAvailable : log::EventId::kLogUnavailable,
      "");
}

}  // namespace bambootack::node

#include "bambootack/log/event.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace bambootack::log {
namespace {

using settings::LogLevel;

constexpr std::array kCatalogue{
    EventInfo{EventId::kStarted, LogLevel::kInfo, "started",
              "the daemon listens on its addresses"},
    EventInfo{EventId::kReady, LogLevel::kInfo, "ready",
              "the VM has its state and takes traffic"},
    EventInfo{EventId::kStopping, LogLevel::kInfo, "stopping",
              "a planned stop began"},
    EventInfo{EventId::kStopped, LogLevel::kInfo, "stopped",
              "the planned stop is complete, nothing was cut"},
    EventInfo{EventId::kStopCut, LogLevel::kError, "stop-cut",
              "the stop ended with requests in flight"},
    EventInfo{EventId::kLimitsInForce, LogLevel::kInfo, "limits-in-force",
              "limits of the platform that this process applies"},
    EventInfo{EventId::kLimitNotApplied, LogLevel::kWarning,
              "limit-not-applied",
              "a limit that the platform states is missing, unreadable or "
              "unknown"},
    EventInfo{EventId::kTicketApplied, LogLevel::kInfo, "ticket-applied",
              "a change ticket is in force"},
    EventInfo{EventId::kTicketRefused, LogLevel::kWarning, "ticket-refused",
              "a change ticket in the log was refused"},
    EventInfo{EventId::kLogUnavailable, LogLevel::kWarning, "log-unavailable",
              "the platform's log does not answer"},
    EventInfo{EventId::kLogAvailable, LogLevel::kInfo, "log-available",
              "the platform's log answers again"},
    EventInfo{EventId::kLogReset, LogLevel::kWarning, "log-reset",
              "the platform's log has started again at lower offsets"},
    EventInfo{EventId::kLogGap, LogLevel::kError, "log-gap",
              "records expired before any VM at hand had read them"},
    EventInfo{EventId::kStateTaken, LogLevel::kInfo, "state-taken",
              "the state of a peer or snapshot has been taken over"},
    EventInfo{EventId::kSnapshotPublished, LogLevel::kInfo,
              "snapshot-published", "a snapshot was appended to the log"},
    EventInfo{EventId::kAppendUnresolved, LogLevel::kWarning,
              "append-unresolved", "an append was not seen in the log in time"},
    EventInfo{EventId::kPeerLost, LogLevel::kWarning, "peer-lost",
              "the connection to a VM failed", LineLimit::kFault},
    EventInfo{EventId::kFrameRejected, LogLevel::kWarning, "frame-rejected",
              "a message between VMs was not accepted", LineLimit::kFault},
    EventInfo{EventId::kNoDispatcher, LogLevel::kWarning, "no-dispatcher",
              "no VM can dispatch for a group", LineLimit::kFault},
    EventInfo{EventId::kServerState, LogLevel::kWarning, "server-state",
              "a dispatcher changed its decision on a backend server"},
    EventInfo{EventId::kViewChanged, LogLevel::kInfo, "view-changed",
              "a record of the fleet's stream changed the members"},
    EventInfo{EventId::kViewRecordRefused, LogLevel::kWarning,
              "view-record-refused",
              "a record of the fleet's stream could not be read"},
    EventInfo{EventId::kFleetLogGap, LogLevel::kError, "fleet-log-gap",
              "the fleet's stream lacks records; the view stays as it is"},
    EventInfo{EventId::kVmRecordedGone, LogLevel::kWarning, "vm-recorded-gone",
              "this VM records another VM as gone"},
    EventInfo{EventId::kMembershipEnded, LogLevel::kError, "membership-ended",
              "the log says that this process is gone or replaced; it stops"},
    EventInfo{EventId::kHandOverIncomplete, LogLevel::kWarning,
              "hand-over-incomplete",
              "the process ends before its partitions were handed over"},
    EventInfo{EventId::kTokenRejected, LogLevel::kWarning, "token-rejected",
              "an operator request had a missing or wrong token",
              LineLimit::kFault},
    EventInfo{EventId::kConfigurationInForce, LogLevel::kInfo,
              "configuration-in-force",
              "a gateway uses a new version of the configuration"},
    EventInfo{EventId::kRequestAdmitted, LogLevel::kInfo, "request-admitted",
              "a gateway found the route of a request", LineLimit::kRequest},
    EventInfo{EventId::kRequestSent, LogLevel::kInfo, "request-sent",
              "a request was sent to a server", LineLimit::kRequest},
    EventInfo{EventId::kSendEnded, LogLevel::kInfo, "send-ended",
              "a send of a request ended", LineLimit::kRequest},
    EventInfo{EventId::kRequestAnswered, LogLevel::kInfo, "request-answered",
              "the caller got the server's answer", LineLimit::kRequest},
    EventInfo{EventId::kRequestRefused, LogLevel::kWarning, "request-refused",
              "the caller got an answer of the gateway itself",
              LineLimit::kRequest},
    EventInfo{EventId::kCallerLeft, LogLevel::kInfo, "caller-left",
              "the caller hung up before its answer", LineLimit::kRequest},
    EventInfo{EventId::kServerTrust, LogLevel::kWarning, "server-trust",
              "a VM changed its trust in a server", LineLimit::kFault},
    EventInfo{EventId::kDispatcherSilent, LogLevel::kWarning,
              "dispatcher-silent", "an entry chose a server by itself",
              LineLimit::kRequest},
    EventInfo{EventId::kServerChanged, LogLevel::kInfo, "server-changed",
              "the registry took over a change of a server"},
    EventInfo{EventId::kRecordUnreadable, LogLevel::kWarning,
              "record-unreadable",
              "a record of the platform's store names nothing usable",
              LineLimit::kFault},
    EventInfo{EventId::kStoreLost, LogLevel::kWarning, "store-lost",
              "the platform's store does not answer this VM"},
    EventInfo{EventId::kStoreFound, LogLevel::kInfo, "store-found",
              "the platform's store answers this VM again"},
    EventInfo{EventId::kRequestWaited, LogLevel::kInfo, "request-waited",
              "a request came before the first configuration",
              LineLimit::kRequest},
    EventInfo{EventId::kServerCrashed, LogLevel::kWarning, "server-crashed",
              "a server went down while it ran a request", LineLimit::kFault},
    EventInfo{EventId::kRecordsExpired, LogLevel::kInfo, "records-expired",
              "the store no longer has the next records; all are read again",
              LineLimit::kFault},
    EventInfo{EventId::kRoomAwaited, LogLevel::kInfo, "room-awaited",
              "a patient request leaves room for urgent ones and asks again",
              LineLimit::kRequest},
    EventInfo{EventId::kStateSent, LogLevel::kInfo, "state-sent",
              "this VM sent configuration or servers to peers",
              LineLimit::kRequest},
    EventInfo{EventId::kServerLeaving, LogLevel::kInfo, "server-leaving",
              "a server has told a VM that it is leaving", LineLimit::kRequest},
    EventInfo{EventId::kServerPaused, LogLevel::kInfo, "server-paused",
              "a server wants no requests from this VM for some time",
              LineLimit::kRequest},
    EventInfo{EventId::kRouteTypeUnknown, LogLevel::kWarning,
              "route-type-unknown",
              "a configuration has routes of a type that this version does not "
              "know; their requests are not repeated"},
    EventInfo{EventId::kCustomerUnknown, LogLevel::kWarning, "customer-unknown",
              "a request has no API key of a customer; key is what was wrong",
              LineLimit::kRequest},
    EventInfo{EventId::kCustomerIgnored, LogLevel::kWarning, "customer-ignored",
              "a customer of a configuration is malformed; its keys are "
              "unknown, other customers are not affected"},
    EventInfo{EventId::kKeysUnconfirmed, LogLevel::kWarning, "keys-unconfirmed",
              "API keys may have been withdrawn; requests with keys are "
              "refused",
              LineLimit::kFault},
    EventInfo{EventId::kKeysConfirmed, LogLevel::kInfo, "keys-confirmed",
              "API keys are confirmed; requests with keys are served",
              LineLimit::kFault},
    EventInfo{EventId::kQuotaExhausted, LogLevel::kInfo, "quota-exhausted",
              "a customer has used its quota; its request is refused",
              LineLimit::kRequest},
    EventInfo{EventId::kQuotaOwnerSilent, LogLevel::kWarning,
              "quota-owner-silent",
              "the VM that grants the quota of a customer did not answer in "
              "time; the request is refused",
              LineLimit::kRequest},
    EventInfo{EventId::kServerChecked, LogLevel::kInfo, "server-checked",
              "a VM connected to a server that had lost a request, to see "
              "whether it is up",
              LineLimit::kRequest},
    EventInfo{EventId::kServerLimit, LogLevel::kInfo, "server-limit",
              "a VM learned that a server limits its requests, or no longer "
              "does",
              LineLimit::kRequest},
};

}  // namespace

std::span<const EventInfo> Catalogue() noexcept { return kCatalogue; }

const EventInfo& InfoOf(EventId id) noexcept {
  return *std::find_if(kCatalogue.begin(), kCatalogue.end(),
                       [&](const EventInfo& it) { return it.id == id; });
}

std::string Format(const Record& record, core::VmId vm) {
  const EventInfo& info = InfoOf(record.id);
  return fmt::format("{} {} {} vm={} {}",
                     settings::kLogLevelNames.Name(info.level),
                     static_cast<int>(info.id), info.name,
                     static_cast<std::uint32_t>(vm), record.detail);
}

}  // namespace bambootack::log

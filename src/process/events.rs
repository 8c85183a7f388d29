//! Numbered log events. `docs/LOG-EVENTS.md` lists them; a test checks that list and code agree.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use log::Level;

/// Key under which a log record carries its event number.
pub const EVENT_KEY: &str = "event";

/// Key under which a log record carries the number of lines of the event that were left out before it.
pub const LEFT_OUT_KEY: &str = "left_out";

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// Kind of a log line.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[doc = $doc])* $name,)*
        }

        impl Event {
            /// All events, in the order of the variants.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Number in the log line. It never changes between versions, so alerts can match it.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)* }
            }

            /// Level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// Text at the start of the log message; the details follow it.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    /// A daemon has started.
    Started = 100, Info, "started";
    /// A daemon received a stop signal and shuts down gracefully.
    Stopping = 101, Info, "graceful shutdown started";
    /// A daemon has stopped.
    Stopped = 102, Info, "stopped";
    /// A second stop signal ended a graceful shutdown.
    ShutdownForced = 103, Warn, "second stop signal, exiting immediately";
    /// The readiness of a balancer changed.
    ReadinessChanged = 104, Info, "readiness changed";
    /// The HTTP server of the admin interface ended with an error.
    AdminFailed = 105, Error, "admin interface failed";
    /// The settings file was read again after SIGHUP, with or without success.
    Reloaded = 107, Info, "settings file read again";
    /// The settings file is invalid now; the last valid settings stay in force.
    ReloadFailed = 108, Error, "settings not reloaded, the previous ones stay in force";
    /// Standard output did not accept log lines, so they were dropped.
    LogLinesLost = 109, Warn, "log lines lost, standard output did not accept them";
    /// A newer revision of the configuration is in force.
    ConfigurationChanged = 200, Info, "new configuration in force";
    /// A call to the store failed.
    StoreFailed = 201, Warn, "store call failed";
    /// A call to the store succeeded after failures.
    StoreRecovered = 202, Info, "store calls succeed again";
    /// A value in the store cannot be parsed by this version and is ignored.
    StoreValueInvalid = 203, Error, "value in the store does not parse, ignored";
    /// This balancer started or stopped reading the configuration from the store.
    StoreReaderRoleChanged = 204, Info, "store reader role changed";
    /// The entry of this node was written to the store.
    Registered = 205, Info, "node registered in the store";
    /// The configuration was fetched from another balancer instead of the store.
    ConfigurationFetched = 206, Info, "configuration fetched from a balancer";
    /// The entry of a node that is gone was removed from the store.
    EntryRemoved = 207, Info, "stale node entry removed from the store";
    /// The store has returned from an older copy: it reports a later era than before.
    StoreEraChanged = 208, Warn, "store returned from an older copy";
    /// An answer of the store reports no era, or one that cannot be; it counts as the era known last.
    StoreEraInvalid = 209, Warn, "era of the store missing or invalid, the last one counts";
    /// Zones that were out before the store returned from an older copy stay out for the moment.
    ZonesHeld = 210, Info, "zones stay out though the store may have lost their marks";
    /// Only the marks in the store say which zones are out.
    ZonesReleased = 211, Info, "zones follow the store again";
    /// Entries of running nodes were missing in the store and were written again.
    EntriesRestored = 212, Info, "missing node entries written to the store";
    /// A configuration of another version than the one in force was read and not applied.
    ConfigurationNotApplied = 213, Info, "configuration not applied, another one stays in force";
    /// A call had no answer in time, so that the connections that are open are not used again.
    ConnectionsReplaced = 214, Warn, "call without an answer, open connections given up";
    /// Targets were declared lost.
    TargetLost = 300, Warn, "target declared lost";
    /// Balancers were declared lost.
    BalancerLost = 301, Warn, "balancer declared lost";
    /// A control call to another process failed.
    CallFailed = 302, Debug, "control call failed";
    /// An incoming control connection failed in its handshake.
    PeerRefused = 303, Warn, "incoming control connection failed";
    /// A target announced itself to its agent.
    TargetAnnounced = 400, Info, "target announced";
    /// A target announced itself with another process id or service than before.
    TargetReplaced = 401, Warn, "target process replaced";
    /// A target announced that it takes no new work.
    TargetLeaving = 402, Info, "target is leaving";
    /// A target did not renew its announcement in time.
    TargetAnnouncementExpired = 403, Warn, "target announcement expired";
    /// A target closed a connection that the agent did not close, or accepted none.
    TargetConnectionLost = 404, Debug, "target closed or did not accept a connection";
    /// An availability zone was taken out of service or put back.
    ZoneChanged = 405, Info, "availability zone changed";
    /// The agent took a new incarnation number.
    IncarnationChanged = 406, Warn, "agent took a new incarnation";
    /// A request was refused.
    RequestRefused = 407, Debug, "request refused";
    /// The handshake of a caller's flow failed.
    FlowFailed = 408, Debug, "flow could not be set up";
    /// An opening was not forwarded to the target.
    OpeningRefused = 409, Info, "opening not given to the target";
    /// A flow was reset.
    FlowReset = 410, Info, "flow reset";
    /// A segment was dropped.
    SegmentDropped = 411, Info, "segment dropped";
    /// The phase of a target, or what a balancer knows of it, changed.
    TargetChanged = 412, Info, "target state changed";
    /// A target sent a report that does not parse.
    ReportMalformed = 413, Warn, "malformed report from the target";
    /// A segment was queued because no forwarding decision is possible yet.
    SegmentQueued = 414, Info, "segment waits";
    /// A report of a target was not applied.
    ReportIgnored = 415, Warn, "report of the target not applied";
    /// A segment was passed on or returned because the target does not hold its flow.
    FlowNotHeld = 416, Info, "flow not held by the target";
    /// A request waits at its agent for a slot of the target.
    RequestQueued = 417, Debug, "request queued";
    /// A queued request was forwarded to the target.
    QueuedRequestStarted = 418, Debug, "queued request started";
    /// A queued request was dropped.
    QueuedRequestDropped = 419, Info, "queued request dropped";
    /// An opening was offered to a target of another zone first.
    OfferedInOtherZone = 420, Info, "opening offered in another zone";
    /// The passive health check finds that the target fails its requests, or that it has recovered.
    TargetHealthChanged = 421, Warn, "target health changed";
    /// The estimated service time of the target changed by more than a factor of two.
    ServiceTimeChanged = 422, Info, "service time of the target changed";
    /// The process did not run for longer than the stall threshold.
    ProcessStalled = 106, Warn, "process stalled";
    /// Receiving or sending on a forwarding socket failed.
    ForwardFailed = 500, Error, "forwarding socket failed";
    /// A line of the trace file could not be written.
    TraceFailed = 501, Error, "trace file could not be written";
}

/// Limit on the log lines of one event in a second; the metrics still count every case. Writing a line
/// takes one millisecond in a process that has 0.055 of a core.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Line budget of each event, indexed by its variant.
static LINE_BUDGETS: [LineBudget; Event::ALL.len()] =
    [const { LineBudget::new() }; Event::ALL.len()];

struct LineBudget {
    second: AtomicU64,
    lines: AtomicU32,
    left_out: AtomicU32,
}

impl LineBudget {
    const fn new() -> LineBudget {
        LineBudget {
            second: AtomicU64::new(0),
            lines: AtomicU32::new(0),
            left_out: AtomicU32::new(0),
        }
    }
}

/// Counts one log line of an event against its limit. `None` if the line must be left out; otherwise the
/// number of lines that were left out since the last second in which the event was logged.
pub fn admit_line(event: Event) -> Option<u32> {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    admit_line_at(event, u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Like [`admit_line`], at a given time.
pub fn admit_line_at(event: Event, now_ms: u64) -> Option<u32> {
    let budget = &LINE_BUDGETS[event as usize];
    let second = now_ms / SECOND_MS + 1;
    if budget.second.swap(second, Ordering::Relaxed) != second {
        budget.lines.store(1, Ordering::Relaxed);
        return Some(budget.left_out.swap(0, Ordering::Relaxed));
    }
    if budget.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND {
        return Some(0);
    }
    budget.left_out.fetch_add(1, Ordering::Relaxed);
    None
}

/// Logs an event with optional details, unless its limit of lines in this second is reached.
#[macro_export]
macro_rules! log_event {
    ($event:expr) => {
        $crate::log_event!($event, "")
    };
    ($event:expr, $($details:tt)+) => {{
        let event: $crate::process::events::Event = $event;
        if log::log_enabled!(target: "rhubarbthread", event.level())
            && let Some(left_out) = $crate::process::events::admit_line(event)
        {
            log::log!(
                target: "rhubarbthread",
                event.level(),
                event = event.number(),
                left_out = left_out;
                "{} {}",
                event.text(),
                format_args!($($details)+)
            )
        }
    }};
}

//! Numbered log events. `docs/LOG-EVENTS.md` is the catalogue; a test holds the two together.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use log::Level;

/// Key under which a log record carries its event number.
pub const EVENT_KEY: &str = "event";

/// Key under which it carries how many lines of the event were left out before.
pub const LEFT_OUT_KEY: &str = "left_out";

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// One kind of thing that is logged.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[doc = $doc])* $name,)*
        }

        impl Event {
            /// All events.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Number, the same in every version of the program.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)* }
            }

            /// Level at which it is logged.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// What happened, in words.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    /// A daemon runs.
    Started = 100, Info, "started";
    /// A planned stop began.
    Stopping = 101, Info, "planned stop began";
    /// A daemon ends.
    Stopped = 102, Info, "stopped";
    /// A second signal ended a planned stop.
    ShutdownForced = 103, Warn, "second signal, ending at once";
    /// The readiness changed.
    ReadinessChanged = 104, Info, "readiness changed";
    /// The admin interface ended.
    AdminFailed = 105, Error, "admin interface failed";
    /// The settings were read again.
    Reloaded = 107, Info, "settings read again";
    /// The settings could not be read again; those before hold.
    ReloadFailed = 108, Error, "settings not taken over";
    /// The reader of the log did not keep up.
    LogLinesLost = 109, Warn, "log lines lost, their reader did not keep up";
    /// A new version of the configuration is in force.
    ConfigurationChanged = 200, Info, "configuration in force";
    /// The store did not answer.
    StoreFailed = 201, Warn, "store call failed";
    /// The store answers again.
    StoreRecovered = 202, Info, "store answers";
    /// A value in the store is not what this version writes.
    StoreValueInvalid = 203, Error, "value in the store does not parse";
    /// This balancer watches the store.
    StoreReaderRoleChanged = 204, Info, "store reader role changed";
    /// This node's entry stands in the store.
    Registered = 205, Info, "registered";
    /// The configuration was fetched from another balancer.
    ConfigurationFetched = 206, Info, "configuration fetched from a balancer";
    /// An entry of a node that does not come back was removed from the store.
    EntryRemoved = 207, Info, "entry removed";
    /// A target was declared lost.
    TargetLost = 300, Warn, "target declared lost";
    /// A balancer was declared lost.
    BalancerLost = 301, Warn, "balancer declared lost";
    /// A call to another process failed.
    CallFailed = 302, Debug, "control call failed";
    /// A connection of another process was refused.
    PeerRefused = 303, Warn, "control connection refused";
    /// A target announced itself.
    TargetAnnounced = 400, Info, "target announced";
    /// A target is another process than before.
    TargetReplaced = 401, Warn, "target process replaced";
    /// A target leaves.
    TargetLeaving = 402, Info, "target leaves";
    /// A target no longer renews.
    TargetAnnouncementExpired = 403, Warn, "target no longer renews";
    /// A target closed a connection on its own.
    TargetConnectionLost = 404, Debug, "target closed a connection";
    /// The availability zone went out or in.
    ZoneChanged = 405, Info, "availability zone changed";
    /// The agent took a new incarnation.
    IncarnationChanged = 406, Warn, "new incarnation";
    /// A request was refused.
    RequestRefused = 407, Debug, "request refused";
    /// A flow could not be set up.
    FlowFailed = 408, Debug, "flow failed";
    /// An opening was not given to the target.
    OpeningRefused = 409, Info, "opening not given to the target";
    /// A flow was reset.
    FlowReset = 410, Info, "flow reset";
    /// A segment was dropped.
    SegmentDropped = 411, Info, "segment dropped";
    /// What is known of a target has changed.
    TargetChanged = 412, Info, "target changed";
    /// A target's report could not be read.
    ReportMalformed = 413, Warn, "report malformed";
    /// A segment waits until it can be decided on.
    SegmentQueued = 414, Info, "segment waits";
    /// The process stood still.
    ProcessStalled = 106, Warn, "process stood still";
    /// The socket of the forwarding path failed.
    ForwardFailed = 500, Error, "forwarding socket failed";
    /// A trace could not be written.
    TraceFailed = 501, Error, "trace file failed";
}

/// Lines of one event a second; the counters stay exact. A line costs a process with 0.055 of a core one
/// millisecond.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Lines of each event in the current second, in the order of the events.
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

/// Whether an event may write one more line in this second, and how many lines were left out in the
/// one before.
pub fn admit_line(event: Event) -> Option<u32> {
    static START: OnceLock<Instant> = OnceLock::new();
    let elapsed = START.get_or_init(Instant::now).elapsed();
    admit_line_at(event, u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// The same at a given time.
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

/// Logs an event with details.
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

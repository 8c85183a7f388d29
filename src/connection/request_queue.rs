//! Queue of the requests that wait at an agent for a slot of its target, and the order in which they start.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::connection::flow_key::FlowKey;
use crate::connection::request_class::PRIORITY_LEVELS;
use crate::connection::request_class::RequestClass;
use crate::connection::segment::Segment;

/// Largest number of bytes that are queued, including `SEGMENT_OVERHEAD_BYTES` for each segment. At 64 MB for an
/// agent and 1 KB for a request, this is a queue of several seconds, more than callers wait.
const MAX_QUEUED_BYTES: usize = 1_000_000;

/// Memory of a queued segment besides its datagram, in bytes: its header with the service's name, and the entries
/// of the flow in the maps. Without it, empty requests would exceed the bound on memory many times over.
const SEGMENT_OVERHEAD_BYTES: usize = 512;

/// Part of the objective, in milliseconds, that the agent leaves to what it does not see: the way of the request to
/// the agent and of the answer to the caller, which is one round trip between any two zones.
const MARGIN_MS: u64 = 50;

/// Largest share of the objective that the margin takes, as a divisor, so that requests with a short objective can
/// still be in time.
const MIN_MARGINS_PER_OBJECTIVE: u64 = 4;

/// Of this many starts, at least one goes to a less urgent request that can still be in time. With an eighth of the
/// slots no priority starves, and the most urgent one loses little.
const STARTS_PER_LESS_URGENT: u32 = 8;

/// Order in which an agent starts requests at its target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestOrder {
    /// Requests are forwarded when they arrive, and the target queues them.
    #[default]
    Arrival,
    /// Requests that exceed the start limit are queued by objective and priority.
    Priority,
}

/// Why a queued request is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDropReason {
    /// Its time-out has elapsed, so its caller has given up.
    TimedOut,
    /// The queue is full, and this request would be the last one to start.
    QueueFull,
    /// The flow was reset.
    FlowEnded,
    /// The target has ended, and its flows with it.
    TargetEnded,
}

impl QueueDropReason {
    /// All reasons, for metrics and docs.
    pub const ALL: [QueueDropReason; 4] = [
        QueueDropReason::TimedOut,
        QueueDropReason::QueueFull,
        QueueDropReason::FlowEnded,
        QueueDropReason::TargetEnded,
    ];

    /// Label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            QueueDropReason::TimedOut => "timed-out",
            QueueDropReason::QueueFull => "queue-full",
            QueueDropReason::FlowEnded => "flow-ended",
            QueueDropReason::TargetEnded => "target-ended",
        }
    }
}

/// Request that has left the queue.
#[derive(Debug)]
pub struct QueuedRequest<T> {
    /// Flow of the request.
    pub flow: FlowKey,
    /// Class of the request.
    pub class: RequestClass,
    /// Time from which its age is measured, in milliseconds.
    pub since_ms: u64,
    /// Time of its arrival at the agent, in milliseconds.
    pub queued_ms: u64,
    /// Its segments, in the order of their sequence numbers.
    pub segments: Vec<(Segment, T)>,
    /// Time set by [`RequestQueue::prefer_from`], in milliseconds.
    preferred_from_ms: Option<u64>,
    bytes: usize,
    /// Order of arrival among requests of the same age.
    number: u64,
}

impl<T> QueuedRequest<T> {
    /// Inserts a segment in the order of sequence numbers; a retransmission replaces the earlier transmission.
    fn insert(&mut self, segment: &Segment, item: T, item_bytes: impl Fn(&T) -> usize) {
        let bytes = item_bytes(&item);
        // A FIN without payload has the sequence number that follows the payload.
        let is_before = |(queued, _): &(Segment, T)| {
            let distance = queued.sequence.wrapping_sub(segment.sequence) as i32;
            distance < 0 || distance == 0 && queued.payload_bytes > 0 && segment.payload_bytes == 0
        };
        let position = self.segments.partition_point(is_before);
        let replaced = self.segments.get_mut(position).filter(|(queued, _)| {
            queued.sequence == segment.sequence
                && (queued.payload_bytes > 0) == (segment.payload_bytes > 0)
        });
        match replaced {
            Some(replaced) => {
                self.bytes -= item_bytes(&replaced.1);
                *replaced = (*segment, item);
            }
            None => self.segments.insert(position, (*segment, item)),
        }
        self.bytes += bytes;
    }
}

/// Requests of one class, oldest first.
#[derive(Debug)]
struct ClassQueue {
    /// Flows by the time from which their age is measured, and order of arrival.
    flows: BTreeMap<(u64, u64), FlowKey>,
    /// Value of [`RequestQueue::starts`] at the last start of a request of this class, or when its first request was
    /// queued.
    last_start: u64,
}

impl ClassQueue {
    /// The oldest request that can still be in time. Requests whose age is measured from `late_until_ms` or
    /// earlier can't; `None` if all can.
    fn oldest_in_time(&self, late_until_ms: Option<u64>) -> Option<((u64, u64), FlowKey)> {
        let first_ms = late_until_ms.map_or(0, |late_until_ms| late_until_ms.saturating_add(1));
        self.flows.range((first_ms, 0)..).next().map(|(key, flow)| (*key, *flow))
    }
}

/// Requests that wait for a slot, bounded in bytes. `T` is what is kept of each segment.
#[derive(Debug)]
pub struct RequestQueue<T> {
    item_bytes: fn(&T) -> usize,
    requests: IndexMap<FlowKey, QueuedRequest<T>>,
    /// Queues by class. There are as many as routes with different classes have requests waiting.
    classes: BTreeMap<RequestClass, ClassQueue>,
    /// Flows of the requests with a time set by [`RequestQueue::prefer_from`], by that time and order of arrival.
    preferred: BTreeMap<(u64, u64), FlowKey>,
    by_level: [u32; PRIORITY_LEVELS],
    bytes: usize,
    next_number: u64,
    /// Number of requests that were started.
    starts: u64,
    /// Starts since the last one of a less urgent request, while one that can be in time was waiting.
    passed_over: u32,
    /// Requests without a class that were forwarded since the last start, while requests were waiting.
    forwarded_without_class: u32,
}

impl<T> RequestQueue<T> {
    /// Creates an empty queue. `item_bytes` returns the length of what is kept of a segment.
    pub fn new(item_bytes: fn(&T) -> usize) -> RequestQueue<T> {
        RequestQueue {
            item_bytes,
            requests: IndexMap::new(),
            classes: BTreeMap::new(),
            preferred: BTreeMap::new(),
            by_level: [0; PRIORITY_LEVELS],
            bytes: 0,
            next_number: 0,
            starts: 0,
            passed_over: 0,
            forwarded_without_class: 0,
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Queued bytes, including the overhead of each segment.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of queued requests of each priority level.
    pub fn count_by_level(&self) -> [u32; PRIORITY_LEVELS] {
        self.by_level
    }

    /// Class of the flow's queued request, if there is one.
    pub fn class_of(&self, flow: &FlowKey) -> Option<RequestClass> {
        self.requests.get(flow).map(|request| request.class)
    }

    /// Queues a segment with the queued request of its flow, which takes on `class` and keeps its age, or as the
    /// first one of a new request.
    pub fn push(
        &mut self,
        segment: &Segment,
        class: RequestClass,
        since_ms: u64,
        now_ms: u64,
        item: T,
    ) {
        let item_bytes = self.item_bytes;
        let item_bytes = |item: &T| item_bytes(item) + SEGMENT_OVERHEAD_BYTES;
        let queued = self.requests.get_mut(&segment.flow);
        if let Some(request) = queued.filter(|request| request.class == class) {
            self.bytes -= request.bytes;
            request.insert(segment, item, item_bytes);
            self.bytes += request.bytes;
            return;
        }
        let mut request = self.take(&segment.flow).unwrap_or_else(|| {
            self.next_number += 1;
            QueuedRequest {
                flow: segment.flow,
                class,
                since_ms,
                queued_ms: now_ms,
                segments: Vec::new(),
                preferred_from_ms: None,
                bytes: 0,
                number: self.next_number,
            }
        });
        request.class = class;
        request.insert(segment, item, item_bytes);
        self.by_level[class.level()] += 1;
        self.bytes += request.bytes;
        let last_start = self.starts;
        let queue = self
            .classes
            .entry(class)
            .or_insert_with(|| ClassQueue { flows: BTreeMap::new(), last_start });
        queue.flows.insert((request.since_ms, request.number), request.flow);
        if let Some(preferred_from_ms) = request.preferred_from_ms {
            self.preferred.insert((preferred_from_ms, request.number), request.flow);
        }
        self.requests.insert(request.flow, request);
    }

    /// Notes that a request without a class was forwarded, which takes a slot before all queued ones.
    pub fn note_forwarded_without_class(&mut self) {
        if !self.is_empty() {
            self.forwarded_without_class += 1;
        }
    }

    /// Whether a request has to start although the start limit is reached, as requests without a class, which
    /// are never queued, have taken all slots in the meantime.
    pub fn is_start_overdue(&self) -> bool {
        !self.is_empty() && self.forwarded_without_class + 1 >= STARTS_PER_LESS_URGENT
    }

    /// Removes and returns the request that starts next, and whether it can still be in time.
    /// `expected_service_ms` is the time that the target takes for a request.
    pub fn start_next(
        &mut self,
        expected_service_ms: u64,
        now_ms: u64,
    ) -> Option<(QueuedRequest<T>, bool)> {
        let in_time: Vec<Candidate> = self
            .classes
            .iter()
            .filter_map(|(class, queue)| {
                let late_until_ms = late_until_ms(class, expected_service_ms, now_ms);
                let (key, flow) = queue.oldest_in_time(late_until_ms)?;
                Some(Candidate { class: *class, key, flow, last_start: queue.last_start })
            })
            .collect();
        let first =
            in_time.iter().min_by_key(|candidate| (candidate.class.priority, candidate.key));
        let preferred = self.first_preferred(now_ms);
        let flow = match first.copied() {
            None => preferred.or_else(|| self.first_late())?,
            Some(first) => {
                // The less urgent class that has waited longest for a start, so that each of them gets its turn.
                let less_urgent = in_time
                    .iter()
                    .filter(|candidate| candidate.class.priority > first.class.priority)
                    .min_by_key(|candidate| (candidate.last_start, candidate.key));
                match preferred.or(less_urgent.map(|less_urgent| less_urgent.flow)) {
                    Some(other) if self.passed_over + 1 >= STARTS_PER_LESS_URGENT => {
                        self.passed_over = 0;
                        other
                    }
                    Some(_) => {
                        self.passed_over += 1;
                        first.flow
                    }
                    None => first.flow,
                }
            }
        };
        let request = self.start(&flow)?;
        let late_until_ms = late_until_ms(&request.class, expected_service_ms, now_ms);
        let is_in_time = late_until_ms.is_none_or(|late_ms| request.since_ms > late_ms);
        Some((request, is_in_time))
    }

    /// Sets the time from which the flow's queued request gets the starts of less urgent requests, and comes before all
    /// late ones, unless it has an earlier one.
    pub fn prefer_from(&mut self, flow: &FlowKey, preferred_from_ms: u64) {
        if let Some(request) = self.requests.get_mut(flow)
            && request.preferred_from_ms.is_none()
        {
            request.preferred_from_ms = Some(preferred_from_ms);
            self.preferred.insert((preferred_from_ms, request.number), request.flow);
        }
    }

    /// The request that has been preferred for longest; `None` if none is by now.
    fn first_preferred(&self, now_ms: u64) -> Option<FlowKey> {
        let ((preferred_from_ms, _), flow) = self.preferred.first_key_value()?;
        (*preferred_from_ms <= now_ms).then_some(*flow)
    }

    /// Removes and returns the requests whose time-out has elapsed.
    pub fn take_timed_out(&mut self, now_ms: u64) -> Vec<QueuedRequest<T>> {
        let timed_out: Vec<FlowKey> = self
            .classes
            .iter()
            .flat_map(|(class, queue)| {
                let is_timed_out =
                    |since_ms: u64| now_ms.saturating_sub(since_ms) >= class.timeout_ms;
                queue.flows.iter().take_while(move |((since_ms, _), _)| is_timed_out(*since_ms))
            })
            .map(|(_, flow)| *flow)
            .collect();
        timed_out.iter().filter_map(|flow| self.take(flow)).collect()
    }

    /// Removes and returns the requests that would start last, until the bound on the queued bytes is kept.
    pub fn take_excess(&mut self, expected_service_ms: u64, now_ms: u64) -> Vec<QueuedRequest<T>> {
        let mut excess = Vec::new();
        while self.bytes > MAX_QUEUED_BYTES
            && let Some(flow) = self.last_to_start(expected_service_ms, now_ms)
        {
            excess.extend(self.take(&flow));
        }
        excess
    }

    /// Removes and returns the queued request of a flow.
    pub fn take(&mut self, flow: &FlowKey) -> Option<QueuedRequest<T>> {
        let request = self.requests.swap_remove(flow)?;
        if let Some(preferred_from_ms) = request.preferred_from_ms {
            self.preferred.remove(&(preferred_from_ms, request.number));
        }
        self.bytes -= request.bytes;
        self.by_level[request.class.level()] -= 1;
        if let Some(queue) = self.classes.get_mut(&request.class) {
            queue.flows.remove(&(request.since_ms, request.number));
            if queue.flows.is_empty() {
                self.classes.remove(&request.class);
            }
        }
        Some(request)
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<QueuedRequest<T>> {
        let flows: Vec<FlowKey> = self.requests.keys().copied().collect();
        flows.iter().filter_map(|flow| self.take(flow)).collect()
    }

    fn start(&mut self, flow: &FlowKey) -> Option<QueuedRequest<T>> {
        self.starts += 1;
        self.forwarded_without_class = 0;
        let request = self.take(flow)?;
        if let Some(queue) = self.classes.get_mut(&request.class) {
            queue.last_start = self.starts;
        }
        Some(request)
    }

    /// The first one to start of the requests that can't be in time any more, if none can.
    fn first_late(&self) -> Option<FlowKey> {
        let oldest = self
            .classes
            .iter()
            .filter_map(|(class, queue)| Some((class.priority, queue.flows.first_key_value()?)));
        oldest.min_by_key(|(priority, (key, _))| (*priority, **key)).map(|(_, (_, flow))| *flow)
    }

    /// The request that would start last if all did now: the newest of the least urgent ones that are late, or if
    /// none is, the newest of the least urgent ones.
    fn last_to_start(&self, expected_service_ms: u64, now_ms: u64) -> Option<FlowKey> {
        let newest = self.classes.iter().filter_map(|(class, queue)| {
            let late_until_ms = late_until_ms(class, expected_service_ms, now_ms);
            let newest_late = late_until_ms
                .and_then(|late_until_ms| {
                    queue.flows.range(..=(late_until_ms, u64::MAX)).next_back()
                })
                .map(|(key, flow)| (true, class.priority, *key, *flow));
            let (key, flow) = queue.flows.last_key_value()?;
            newest_late.or(Some((false, class.priority, *key, *flow)))
        });
        let last = newest.max_by_key(|(is_late, priority, key, _)| (*is_late, *priority, *key));
        last.map(|(_, _, _, flow)| flow)
    }
}

/// The oldest request of a class that can still be in time.
#[derive(Clone, Copy)]
struct Candidate {
    class: RequestClass,
    key: (u64, u64),
    flow: FlowKey,
    last_start: u64,
}

/// The latest time from which the age of a request of this class can be measured if it can't be in time any more;
/// `None` if no request of this class is that old.
fn late_until_ms(class: &RequestClass, expected_service_ms: u64, now_ms: u64) -> Option<u64> {
    let margin_ms = MARGIN_MS.min(class.objective_ms / MIN_MARGINS_PER_OBJECTIVE);
    let answered_ms = now_ms.saturating_add(expected_service_ms).saturating_add(margin_ms);
    answered_ms.checked_sub(class.objective_ms)
}

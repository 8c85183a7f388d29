//! Eras of the store, as a process learns them from the store's answers and from other nodes.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use crate::log_event;
use crate::process::events::Event;
use crate::process::store::StoreError;
use crate::version::store_position::UNKNOWN_ERA;

/// Era that an answer of the store belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerEra {
    /// The era that is known already.
    Known,
    /// A later era has begun.
    Risen(u64),
    /// An earlier era: the call was answered before the latest rise, and the answer came after it.
    Outdated,
    /// None that the answer could belong to: it reports no era, one that does not parse, one that had ended
    /// before the call was made, or one that cannot follow the known era. It counts as the known era.
    Invalid,
}

/// Largest number of eras by which one answer or report can be ahead of what is known. A store gains one at each
/// return; a number further ahead is no era, and would hide all later ones.
const MAX_ERA_STEP: u64 = 1_000;

/// Whether `era` can follow `known`, of which [`UNKNOWN_ERA`] stands for none.
pub fn can_follow(era: u64, known: u64) -> bool {
    known == UNKNOWN_ERA || era <= known.saturating_add(MAX_ERA_STEP)
}

/// Classifies an answer by the era that it reports, the era known now and the one known when the call was
/// made.
pub fn classify(reported: Option<u64>, known: u64, known_at_call: u64) -> AnswerEra {
    match reported {
        Some(era) if !can_follow(era, known) => AnswerEra::Invalid,
        Some(era) if era > known => AnswerEra::Risen(era),
        Some(era) if era == known => AnswerEra::Known,
        Some(era) if era >= known_at_call => AnswerEra::Outdated,
        Some(_) => AnswerEra::Invalid,
        None if known_at_call < known => AnswerEra::Outdated,
        None => AnswerEra::Invalid,
    }
}

/// Eras of one store. The client of the store notes each answer; the followers wait for a rise.
#[derive(Debug)]
pub struct StoreEras {
    known: watch::Sender<u64>,
    peer_reported: watch::Sender<u64>,
    /// Whether an answer has reported an era, which may be 0.
    has_reported: AtomicBool,
    was_invalid: AtomicBool,
    rises: AtomicU64,
    outdated_answers: AtomicU64,
}

impl StoreEras {
    /// Creates the record of a store that has not answered yet.
    pub fn new() -> StoreEras {
        StoreEras {
            known: watch::Sender::new(UNKNOWN_ERA),
            peer_reported: watch::Sender::new(0),
            has_reported: AtomicBool::new(false),
            was_invalid: AtomicBool::new(false),
            rises: AtomicU64::new(0),
            outdated_answers: AtomicU64::new(0),
        }
    }

    /// Latest era that the store has reported; 0 where it reports none.
    pub fn known(&self) -> u64 {
        *self.known.borrow()
    }

    /// Number of times that the store has returned from an older copy, as seen by this process.
    pub fn rises(&self) -> u64 {
        self.rises.load(Ordering::Relaxed)
    }

    /// Number of answers that were dropped because they were of an earlier era.
    pub fn outdated_answers(&self) -> u64 {
        self.outdated_answers.load(Ordering::Relaxed)
    }

    /// Receiver of the latest era that the store has reported.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.known.subscribe()
    }

    /// Receiver of the latest era that other nodes have reported.
    pub fn subscribe_peer_reports(&self) -> watch::Receiver<u64> {
        self.peer_reported.subscribe()
    }

    /// Notes an era that another node reports. It only makes followers ask the store.
    pub fn note_peer_report(&self, era: u64) {
        if can_follow(era, self.known()) {
            raise(&self.peer_reported, era);
        }
    }

    /// Notes an answer to a call that was made when `known_at_call` was the known era, and returns the era
    /// that it belongs to. `reported` is the era in the answer as text; an error means that the answer is of
    /// an earlier era and must not be used.
    pub fn note_answer(
        &self,
        reported: Option<&str>,
        known_at_call: u64,
    ) -> Result<u64, StoreError> {
        let parsed = reported.and_then(|text| text.parse().ok());
        let known = self.known();
        match classify(parsed, known, known_at_call) {
            AnswerEra::Known => {
                self.was_invalid.store(false, Ordering::Relaxed);
                self.has_reported.store(true, Ordering::Relaxed);
            }
            AnswerEra::Risen(era) => {
                self.was_invalid.store(false, Ordering::Relaxed);
                if self.has_reported.swap(true, Ordering::Relaxed) {
                    self.rises.fetch_add(1, Ordering::Relaxed);
                    log_event!(Event::StoreEraChanged, "era={era} before={known}");
                }
                raise(&self.known, era);
            }
            AnswerEra::Outdated => {
                self.outdated_answers.fetch_add(1, Ordering::Relaxed);
                return Err(StoreError::EraChanged { may_have_run: true });
            }
            AnswerEra::Invalid => {
                if !self.was_invalid.swap(true, Ordering::Relaxed) {
                    log_event!(Event::StoreEraInvalid, "reported={reported:?} known={known}");
                }
            }
        }
        Ok(self.known())
    }
}

impl Default for StoreEras {
    fn default() -> StoreEras {
        StoreEras::new()
    }
}

fn raise(sender: &watch::Sender<u64>, era: u64) {
    sender.send_if_modified(|current| {
        let is_later = era > *current;
        *current = era.max(*current);
        is_later
    });
}

//! Interface of the platform's key-value store.

use std::time::Duration;

use futures_util::future::BoxFuture;
use snafu::Snafu;

use crate::process::store_eras::StoreEras;
use crate::version::store_position::StorePosition;

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum StoreError {
    /// The call never reached the store, so it had no effect.
    #[snafu(display("cannot reach the store: {message}"))]
    Unreachable {
        /// Cause, such as the error of the connection.
        message: String,
    },
    /// The call was sent, but no valid response came; it may have taken effect.
    #[snafu(display("no valid response from the store: {message}"))]
    NoAnswer {
        /// Cause, such as a time-out or a server error.
        message: String,
    },
    /// The store rejected the call, or its response or a value in it does not parse.
    #[snafu(display("the store rejected the call or its response is unusable: {message}"))]
    Refused {
        /// HTTP status, or what does not parse.
        message: String,
    },
    /// The store has discarded (compacted) the revision from which to watch.
    #[snafu(display("the store has compacted the revision to watch from"))]
    Compacted,
    /// The store has returned from an older copy, so that revisions read before no longer apply.
    #[snafu(display("the store has returned from an older copy (may have run: {may_have_run})"))]
    EraChanged {
        /// Whether a write may have taken effect, in the era before or in the new one.
        may_have_run: bool,
    },
}

/// One key with its value and the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreValue {
    /// Full key.
    pub key: String,
    /// Value as stored, not decoded.
    pub value: Vec<u8>,
    /// Position at which the key was last written, in the era in which it was read.
    pub position: StorePosition,
}

/// All keys with a common prefix at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreSnapshot {
    /// Position of the read.
    pub position: StorePosition,
    /// Values in key order.
    pub values: Vec<StoreValue>,
}

impl StoreSnapshot {
    /// Condition that a key has not changed since this read, or is still absent.
    pub fn unchanged(&self, key: &str) -> Precondition {
        let value = self.values.iter().find(|value| value.key == key);
        let absent = StorePosition::new(self.position.era, 0);
        Precondition { key: key.to_owned(), position: value.map_or(absent, |value| value.position) }
    }
}

/// Condition of a transaction: the key was not changed since the given position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Precondition {
    /// Key to compare.
    pub key: String,
    /// Position of the last change that the key must still have; revision 0 if the key must not exist.
    pub position: StorePosition,
}

/// One key to write in a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// Key to write.
    pub key: String,
    /// New value.
    pub value: Vec<u8>,
    /// Lease with which the key expires; `None` if it does not expire.
    pub lease: Option<i64>,
}

/// Result of a transaction that the store has processed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// All writes took effect at this position.
    Done(StorePosition),
    /// A precondition failed; nothing was written.
    Conflict,
}

/// One change reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreChange {
    /// A key was written.
    Written(StoreValue),
    /// A key was removed, or its lease expired.
    Removed {
        /// Removed key.
        key: String,
        /// Position of the removal.
        position: StorePosition,
    },
}

/// An open watch on a prefix.
pub trait Watch: Send {
    /// Waits for the next changes. Returns an empty list if nothing changed within the wait of the watch.
    fn next(&mut self) -> BoxFuture<'_, Result<Vec<StoreChange>, StoreError>>;
}

/// Client of the platform's key-value store.
pub trait Store: Send + Sync {
    /// Eras of the store, as this process knows them from its answers.
    fn eras(&self) -> &StoreEras;

    /// Reads all keys that start with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<StoreSnapshot, StoreError>>;

    /// Writes all of `puts` atomically if all conditions hold. Conditions of another era than the store's
    /// fail with [`StoreError::EraChanged`].
    fn transaction<'a>(
        &'a self,
        conditions: &'a [Precondition],
        puts: &'a [Put],
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>>;

    /// Removes `key` if all conditions hold, which are checked as in [`Store::transaction`].
    fn remove<'a>(
        &'a self,
        conditions: &'a [Precondition],
        key: &'a str,
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>>;

    /// Watches a prefix for changes after a position. It ends with [`StoreError::EraChanged`] once the store
    /// is in another era. A store that is polled instead of streaming holds each poll open for up to
    /// `longest_wait`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StorePosition,
        longest_wait: Duration,
    ) -> BoxFuture<'a, Result<Box<dyn Watch>, StoreError>>;

    /// Creates a lease that expires after `ttl_s` seconds without a renewal.
    fn grant_lease(&self, ttl_s: u32) -> BoxFuture<'_, Result<i64, StoreError>>;

    /// Renews a lease. Returns false if it has expired.
    fn renew_lease(&self, lease: i64) -> BoxFuture<'_, Result<bool, StoreError>>;
}

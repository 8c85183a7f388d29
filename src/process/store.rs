//! Interface of the platform's key-value store.

use std::time::Duration;

use futures_util::future::BoxFuture;
use snafu::Snafu;

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
}

/// One key with its value and the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreValue {
    /// Full key.
    pub key: String,
    /// Value as stored, not decoded.
    pub value: Vec<u8>,
    /// Store revision at which the key was last written.
    pub revision: u64,
}

/// All keys with a common prefix at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreSnapshot {
    /// Store revision of the read.
    pub revision: u64,
    /// Values in key order.
    pub values: Vec<StoreValue>,
}

/// Condition of a transaction: the key was not changed since the given revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Precondition {
    /// Key to compare.
    pub key: String,
    /// Revision of the last change that the key must still have; 0 if the key must not exist.
    pub revision: u64,
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
    /// All writes took effect at this revision.
    Done(u64),
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
        /// Store revision of the removal.
        revision: u64,
    },
}

/// An open watch on a prefix.
pub trait Watch: Send {
    /// Waits for the next changes. Returns an empty list if nothing changed within the wait of the watch.
    fn next(&mut self) -> BoxFuture<'_, Result<Vec<StoreChange>, StoreError>>;
}

/// Client of the platform's key-value store.
pub trait Store: Send + Sync {
    /// Reads all keys that start with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<StoreSnapshot, StoreError>>;

    /// Writes all of `puts` atomically if all conditions hold.
    fn transaction<'a>(
        &'a self,
        conditions: &'a [Precondition],
        puts: &'a [Put],
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>>;

    /// Removes `key` if all conditions hold.
    fn remove<'a>(
        &'a self,
        conditions: &'a [Precondition],
        key: &'a str,
    ) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>>;

    /// Watches a prefix for changes from `from_revision` on. A store that is polled instead of streaming
    /// holds each poll open for up to `longest_wait`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from_revision: u64,
        longest_wait: Duration,
    ) -> BoxFuture<'a, Result<Box<dyn Watch>, StoreError>>;

    /// Creates a lease that expires after `ttl_s` seconds without a renewal.
    fn grant_lease(&self, ttl_s: u32) -> BoxFuture<'_, Result<i64, StoreError>>;

    /// Renews a lease. Returns false if it has expired.
    fn renew_lease(&self, lease: i64) -> BoxFuture<'_, Result<bool, StoreError>>;
}

//! Generated message types of the protocols between the processes.
//!
//! `proto/rhubarbthread.proto` is the source; `tests/generated.rs` makes the file anew.

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
mod generated;

pub use generated::*;

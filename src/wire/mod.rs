//! Message types of the protocols between the processes, generated from `proto/rhubarbthread.proto`.
//!
//! `tests/generated.rs` checks that the generated file is current; with `UPDATE_GENERATED=1` it rewrites it.

#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
mod generated;

pub use generated::*;

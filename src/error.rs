//! Errors of the programs, and the exit codes that they lead to.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

use crate::process::fault::Fault;
use crate::process::store::StoreError;

/// Exit code of success.
pub const EXIT_SUCCESS: i32 = 0;
/// Exit code if the store, a node, a socket or a file failed.
pub const EXIT_FAILURE: i32 = 1;
/// Exit code if arguments, settings, service files, certificates or keys are invalid.
pub const EXIT_USAGE: i32 = 2;
/// Exit code if another operator changed the same thing first.
pub const EXIT_CONFLICT: i32 = 3;
/// Exit code if it is unknown whether the store accepted a change.
pub const EXIT_UNKNOWN: i32 = 4;

/// Result with the error of the programs.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error that ends a program or one of its operations.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Settings or service files are invalid.
    #[snafu(display("{}", list_faults(faults)))]
    Invalid {
        /// All faults found.
        faults: Vec<Fault>,
    },
    /// The arguments, or the change that they ask for, are invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong and what is expected.
        message: String,
    },
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot open {address}: {source}"))]
    Socket {
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The async runtime or the signal handlers could not be set up.
    #[snafu(display("cannot set up the runtime or its signal handlers: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A certificate or key is missing or invalid.
    #[snafu(display("TLS: {message}"))]
    Tls {
        /// File and cause.
        message: String,
    },
    /// A call to the store failed.
    #[snafu(display("store: {source}"))]
    Store {
        /// Error of the call.
        source: StoreError,
    },
    /// Another operator changed the same thing first.
    #[snafu(display("{message}"))]
    Conflict {
        /// What the store has now, and whether this change took effect.
        message: String,
    },
    /// It is unknown whether the store accepted the change.
    #[snafu(display("{message}"))]
    OutcomeUnknown {
        /// Cause, and what the operator should do.
        message: String,
    },
    /// The admin interface of this process or of a queried balancer failed.
    #[snafu(display("admin interface: {message}"))]
    Admin {
        /// Cause of the failure.
        message: String,
    },
    /// A placement could not be explained.
    #[snafu(display("cannot explain the placement: {message}"))]
    Explain {
        /// Cause, and the balancers that were asked.
        message: String,
    },
}

impl Error {
    /// Exit code of a program that ends with this error.
    pub fn exit_code(&self) -> i32 {
        match self {
            Error::Invalid { .. } | Error::Usage { .. } | Error::Tls { .. } => EXIT_USAGE,
            Error::Conflict { .. } => EXIT_CONFLICT,
            Error::OutcomeUnknown { .. } => EXIT_UNKNOWN,
            _ => EXIT_FAILURE,
        }
    }
}

fn list_faults(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

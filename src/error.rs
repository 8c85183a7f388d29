//! The errors of the programs, each with the exit code it leads to.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

use crate::process::fault::Fault;
use crate::process::store::StoreError;

/// Exit code after success.
pub const EXIT_SUCCESS: i32 = 0;
/// Exit code where something outside failed.
pub const EXIT_FAILURE: i32 = 1;
/// Exit code where arguments, settings or files are wrong.
pub const EXIT_USAGE: i32 = 2;
/// Exit code where another operator was first.
pub const EXIT_CONFLICT: i32 = 3;
/// Exit code where it is unknown whether the store took a change.
pub const EXIT_UNKNOWN: i32 = 4;

/// Result of the programs.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a program could not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Settings or service files are wrong.
    #[snafu(display("{}", list_faults(faults)))]
    Invalid {
        /// All faults found.
        faults: Vec<Fault>,
    },
    /// The arguments are wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot open {address}: {source}"))]
    Socket {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The runtime or its signals could not be set up.
    #[snafu(display("cannot start: {source}"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
    /// Certificates or keys do not fit.
    #[snafu(display("TLS: {message}"))]
    Tls {
        /// What does not fit.
        message: String,
    },
    /// The store failed.
    #[snafu(display("store: {source}"))]
    Store {
        /// The cause.
        source: StoreError,
    },
    /// Another operator changed the same thing first.
    #[snafu(display("{message}"))]
    Conflict {
        /// What the other one wrote.
        message: String,
    },
    /// Nobody can tell whether the store took the change.
    #[snafu(display("{message}"))]
    OutcomeUnknown {
        /// What to do now.
        message: String,
    },
    /// The admin interface failed.
    #[snafu(display("admin interface: {message}"))]
    Admin {
        /// The cause.
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

//! Start of a daemon: parses the arguments, checks the settings, sets up log and runtime, and returns the exit
//! code.

use std::future::Future;
use std::path::PathBuf;

use gumdrop::Options;
use tokio::runtime::Builder;

use crate::error::EXIT_SUCCESS;
use crate::error::EXIT_USAGE;
use crate::error::Error;
use crate::error::Result;
use crate::process::logging;
use crate::process::settings::LogSettings;

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "print the version and exit", short = "V")]
    version: bool,
    #[options(help = "settings, JSON with comments (see docs/SETTINGS.md)", meta = "FILE")]
    config: Option<PathBuf>,
    #[options(help = "check the settings and exit: 0 where they are right, 2 where not")]
    check: bool,
}

/// Parts of the start that differ between the daemons.
pub trait Daemon {
    /// Settings of the daemon.
    type Settings;

    /// Name of the program, for messages.
    const NAME: &'static str;

    /// Reads and checks the settings and the files that they name.
    fn read_settings(path: &std::path::Path) -> Result<Self::Settings>;

    /// Settings of the log.
    fn log_settings(settings: &Self::Settings) -> &LogSettings;

    /// Runs the daemon until a stop signal.
    fn run(settings: Self::Settings) -> impl Future<Output = Result<()>>;
}

/// Runs a future to completion on the current thread.
pub fn run_single_threaded<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|source| Error::Runtime { source })?.block_on(future)
}

/// Runs a daemon with the arguments of the process and returns the exit code.
pub fn main<D: Daemon>() -> i32 {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match DaemonOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => return usage_error::<D>(&error.to_string()),
    };
    if options.help {
        println!("Usage: {} --config FILE [--check]\n\n{}", D::NAME, DaemonOptions::usage());
        return EXIT_SUCCESS;
    }
    if options.version {
        println!("{} {}", D::NAME, env!("CARGO_PKG_VERSION"));
        return EXIT_SUCCESS;
    }
    let Some(path) = &options.config else {
        return usage_error::<D>("--config FILE is missing");
    };
    match start::<D>(path, options.check) {
        Ok(()) => EXIT_SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

fn start<D: Daemon>(path: &std::path::Path, check_only: bool) -> Result<()> {
    let settings = D::read_settings(path)?;
    if check_only {
        println!("{}: settings are valid", path.display());
        return Ok(());
    }
    logging::start(D::log_settings(&settings));
    let runtime = Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|source| Error::File { path: path.to_owned(), source })?;
    runtime.block_on(D::run(settings))
}

fn usage_error<D: Daemon>(message: &str) -> i32 {
    eprintln!("{}: {message}\nTry {} --help.", D::NAME, D::NAME);
    EXIT_USAGE
}

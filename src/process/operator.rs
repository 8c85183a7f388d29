//! Operator tool: parses the arguments, runs one command and returns the exit code.

use std::path::PathBuf;

use gumdrop::Options;
use tokio::runtime::Builder;

use crate::error::EXIT_SUCCESS;
use crate::error::EXIT_USAGE;
use crate::error::Error;
use crate::error::InvalidSnafu;
use crate::error::Result;
use crate::process::etcd::EtcdStore;
use crate::process::key_files;
use crate::process::publish;
use crate::process::service_file;
use crate::process::service_file::ServiceSpec;
use crate::process::settings::OperatorSettings;
use crate::process::status;
use crate::version::service::is_valid_name;

const NAME: &str = "rhubarbthread";

/// Settings file that is read without `--config`.
const DEFAULT_CONFIG: &str = "rhubarbthread.jsonc";

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  the store or a node failed; nothing more was accepted than was printed
  2  arguments, settings or service files are wrong
  3  another operator was first
  4  unknown whether the store accepted; run the same command again";

#[derive(Debug, Options)]
struct OperatorOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "print the version and exit", short = "V")]
    version: bool,
    #[options(help = "settings (default: rhubarbthread.jsonc)", meta = "FILE")]
    config: Option<PathBuf>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "check the service files of a folder")]
    Check(CheckOptions),
    #[options(help = "publish the service files of a folder")]
    Publish(PublishOptions),
    #[options(help = "take an availability zone out of service or in again")]
    Zone(ZoneOptions),
    #[options(help = "show which node has which configuration in force")]
    Status(StatusOptions),
    #[options(help = "make certificates and shared secrets for development")]
    Keys(KeysOptions),
}

#[derive(Debug, Options)]
struct CheckOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(free, required, help = "folder with *.service.jsonc files")]
    folder: PathBuf,
}

#[derive(Debug, Options)]
struct PublishOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "show what would change and write nothing", no_short)]
    dry_run: bool,
    #[options(help = "remove services that no file describes", no_short)]
    prune: bool,
    #[options(free, required, help = "folder with *.service.jsonc files")]
    folder: PathBuf,
}

#[derive(Debug, Options)]
struct ZoneOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(free, required, help = "`out` or `in`")]
    direction: String,
    #[options(free, required, help = "name of the availability zone")]
    name: String,
}

#[derive(Debug, Options)]
struct StatusOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

#[derive(Debug, Options)]
struct KeysOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(help = "DNS name or IP address that callers use", meta = "NAME", no_short)]
    name: Vec<String>,
    #[options(free, required, help = "folder to write to")]
    folder: PathBuf,
}

/// Runs the tool and returns its exit code.
pub fn main() -> i32 {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match OperatorOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => return usage_error(&error.to_string()),
    };
    if options.version {
        println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
        return EXIT_SUCCESS;
    }
    if options.help_requested() || options.command.is_none() {
        print_help(&options);
        return if options.help_requested() { EXIT_SUCCESS } else { EXIT_USAGE };
    }
    match run(options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

fn run(options: OperatorOptions) -> Result<i32> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|source| {
        let path = PathBuf::from(NAME);
        Error::File { path, source }
    })?;
    let config = options.config;
    match options.command {
        Some(Command::Check(check)) => run_check(&check),
        Some(Command::Keys(keys)) => run_keys(&keys),
        Some(Command::Publish(publish)) => {
            let settings = read_settings(config)?;
            runtime.block_on(run_publish(&settings, &publish))
        }
        Some(Command::Zone(zone)) => {
            let out = zone_direction(&zone)?;
            let settings = read_settings(config)?;
            runtime.block_on(run_zone(&settings, &zone.name, out))
        }
        Some(Command::Status(status)) => {
            let settings = read_settings(config)?;
            runtime.block_on(run_status(&settings, status.json))
        }
        None => Ok(EXIT_USAGE),
    }
}

fn read_settings(config: Option<PathBuf>) -> Result<OperatorSettings> {
    OperatorSettings::read(&config.unwrap_or_else(|| PathBuf::from(DEFAULT_CONFIG)))
}

fn read_folder(folder: &std::path::Path) -> Result<Vec<ServiceSpec>> {
    service_file::read_folder(folder).or_else(|faults| InvalidSnafu { faults }.fail())
}

fn run_check(options: &CheckOptions) -> Result<i32> {
    let specs = read_folder(&options.folder)?;
    println!("services checked, no fault: {}", specs.len());
    Ok(EXIT_SUCCESS)
}

fn run_keys(options: &KeysOptions) -> Result<i32> {
    let names = if options.name.is_empty() {
        vec!["localhost".to_owned(), "127.0.0.1".to_owned()]
    } else {
        options.name.clone()
    };
    key_files::write(&options.folder, &names)?;
    for name in key_files::KEY_FILES {
        println!("{}", options.folder.join(name).display());
    }
    Ok(EXIT_SUCCESS)
}

async fn run_publish(settings: &OperatorSettings, options: &PublishOptions) -> Result<i32> {
    let specs = read_folder(&options.folder)?;
    let store = EtcdStore::new(&settings.store_endpoints);
    let stored = publish::read_services(&store).await?;
    let changes = publish::plan(&stored, &specs, options.prune)?;
    for change in &changes {
        println!("{change}");
    }
    if changes.is_empty() {
        println!("nothing to change");
        return Ok(EXIT_SUCCESS);
    }
    if options.dry_run {
        println!("dry run: nothing was written");
        return Ok(EXIT_SUCCESS);
    }
    let (published, result) = publish::publish(&store, &stored, &changes).await;
    if !published.accepted.is_empty() {
        let names = published.accepted.join(", ");
        println!("accepted at revision {}: {names}", published.revision);
    }
    result.map(|()| EXIT_SUCCESS)
}

fn zone_direction(options: &ZoneOptions) -> Result<bool> {
    if !is_valid_name(&options.name) {
        let message =
            "zone: NAME must be 1 to 63 lower-case letters, digits or inner hyphens".to_owned();
        return Err(Error::Usage { message });
    }
    match options.direction.as_str() {
        "out" => Ok(true),
        "in" => Ok(false),
        other => {
            let message = format!("zone: must be followed by `out` or `in`, not {other:?}");
            Err(Error::Usage { message })
        }
    }
}

async fn run_zone(settings: &OperatorSettings, name: &str, out: bool) -> Result<i32> {
    let store = EtcdStore::new(&settings.store_endpoints);
    let revision = publish::set_zone(&store, name, out).await?;
    let direction = if out { "out" } else { "in" };
    println!("accepted at revision {revision}: zone {name} is {direction}");
    Ok(EXIT_SUCCESS)
}

async fn run_status(settings: &OperatorSettings, as_json: bool) -> Result<i32> {
    let store = EtcdStore::new(&settings.store_endpoints);
    Ok(status::collect(&store, &settings.admin_seeds).await?.print(as_json))
}

fn print_help(options: &OperatorOptions) {
    let command = options.command_name().unwrap_or("COMMAND");
    println!("Usage: {NAME} [--config FILE] {command} [ARGUMENTS]\n");
    println!("{}\n", options.self_usage());
    if let Some(commands) = options.self_command_list() {
        println!("Commands:\n{commands}\n");
    }
    println!("{EXIT_CODES}");
}

fn usage_error(message: &str) -> i32 {
    eprintln!("{NAME}: {message}\nTry {NAME} --help.");
    EXIT_USAGE
}

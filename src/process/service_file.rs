//! Service files, in which operators describe services, and the checks of a folder of them.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::process::document::Document;
use crate::process::document::Section;
use crate::process::fault::Fault;
use crate::version::hash::zone_fingerprint;
use crate::version::service;

/// File name suffix of service files.
pub const SERVICE_FILE_ENDING: &str = ".service.jsonc";

/// Service as its file describes it. Stored in this form as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name, unique among all services.
    pub name: String,
    /// Address to which callers send, unique among all services.
    pub address: SocketAddr,
    /// Requests that a cold target may run at once.
    pub first_limit: u32,
    /// Number of answers after which the limit of a cold target grows by one.
    pub growth_answers: u32,
    /// Deadline of a request that does not set one, in milliseconds.
    pub request_deadline_ms: u32,
    /// Retries that the caller library may send, in percent of the requests.
    pub retry_budget_percent: u32,
    /// Availability zones whose targets serve the service; empty for all zones.
    pub zones: Vec<String>,
    /// Path prefixes of requests that are long-lived streams.
    pub stream_paths: Vec<String>,
}

/// Reads and checks all service files of a folder and its subfolders.
pub fn read_folder(folder: &Path) -> Result<Vec<ServiceSpec>, Vec<Fault>> {
    let mut paths = Vec::new();
    if let Err(error) = collect_service_files(folder, &mut paths) {
        return Err(vec![folder_fault(folder, error.to_string())]);
    }
    paths.sort();
    if paths.is_empty() {
        let message = format!("contains no file that ends in {SERVICE_FILE_ENDING}");
        return Err(vec![folder_fault(folder, message)]);
    }
    let mut faults = Vec::new();
    let mut specs = Vec::new();
    for path in paths {
        match read_service(&path) {
            Ok(spec) => specs.push((path, spec)),
            Err(found) => faults.extend(found),
        }
    }
    faults.extend(find_duplicates(&specs));
    faults.extend(find_zone_fingerprint_collisions(&specs));
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(specs.into_iter().map(|(_, spec)| spec).collect())
}

fn read_service(path: &Path) -> Result<ServiceSpec, Vec<Fault>> {
    let document = Document::open(path).map_err(|fault| vec![fault])?;
    document.read(read)
}

fn read(section: &Section<'_>) -> Option<ServiceSpec> {
    let name = section.name("name");
    let address = section.address("address");
    let cold_start = section.section("cold_start", |cold| {
        let first_limit = cold.number("first_limit", service::FIRST_LIMIT, None);
        let growth_answers = cold.number("growth_answers", service::GROWTH_ANSWERS, None);
        Some((first_limit?, growth_answers?))
    });
    let deadline_ms = section.number("request_deadline_ms", service::DEADLINE_MS, Some(30_000));
    let retry_budget =
        section.number("retry_budget_percent", service::RETRY_BUDGET_PERCENT, Some(10));
    let zones = section.names("zones");
    let stream_paths = section.texts("stream_paths");
    let (first_limit, growth_answers) = cold_start?;
    Some(ServiceSpec {
        name: name?,
        address: address?,
        first_limit: first_limit as u32,
        growth_answers: growth_answers as u32,
        request_deadline_ms: deadline_ms? as u32,
        retry_budget_percent: retry_budget? as u32,
        zones: zones?,
        stream_paths: stream_paths?,
    })
}

fn collect_service_files(folder: &Path, paths: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let path = entry.path();
        if entry.file_type()?.is_dir() {
            collect_service_files(&path, paths)?;
        } else if path.to_string_lossy().ends_with(SERVICE_FILE_ENDING) {
            paths.push(path);
        }
    }
    Ok(())
}

fn folder_fault(folder: &Path, message: String) -> Fault {
    Fault { file: folder.to_owned(), line: 0, key: String::new(), message }
}

fn find_duplicates(specs: &[(PathBuf, ServiceSpec)]) -> Vec<Fault> {
    let mut names: IndexMap<&str, &Path> = IndexMap::new();
    let mut addresses: IndexMap<SocketAddr, &Path> = IndexMap::new();
    let mut faults = Vec::new();
    for (path, spec) in specs {
        if let Some(other) = names.insert(&spec.name, path) {
            let message = format!("{:?} is also the name in {}", spec.name, other.display());
            faults.push(Fault { file: path.clone(), line: 1, key: "name".to_owned(), message });
        }
        if let Some(other) = addresses.insert(spec.address, path) {
            let message = format!("{} is also the address in {}", spec.address, other.display());
            faults.push(Fault { file: path.clone(), line: 1, key: "address".to_owned(), message });
        }
    }
    faults
}

/// Zones with equal fingerprints look the same in flow tags, so they would go out of service together.
fn find_zone_fingerprint_collisions(specs: &[(PathBuf, ServiceSpec)]) -> Vec<Fault> {
    let mut zones: IndexMap<u16, &str> = IndexMap::new();
    let mut faults = Vec::new();
    for (path, spec) in specs {
        for zone in &spec.zones {
            let other = *zones.entry(zone_fingerprint(zone)).or_insert(zone);
            if other != zone {
                let message =
                    format!("{zone:?} and {other:?} have the same fingerprint; rename one");
                faults.push(Fault {
                    file: path.clone(),
                    line: 1,
                    key: "zones".to_owned(),
                    message,
                });
            }
        }
    }
    faults
}

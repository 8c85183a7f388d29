//! Generates certificates and shared secrets for development.

use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use rand::RngCore;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::FileSnafu;
use crate::error::Result;
use crate::process::keys::SECRET_BYTES;
use crate::process::tls::NODE_NAME;

/// Mode of files that contain secrets: only the owner may read them.
const SECRET_MODE: u32 = 0o600;

/// Mode of other files.
const PUBLIC_MODE: u32 = 0o644;

/// Files that [`write()`] creates.
pub const KEY_FILES: [&str; 6] =
    ["authority.pem", "node.pem", "node.key", "caller.pem", "caller.key", "cluster-keys.jsonc"];

/// Writes all files to a folder, and creates it if needed. Fails if one of the files exists. `names` are the
/// DNS names and IP addresses in the certificate for callers.
pub fn write(folder: &Path, names: &[String]) -> Result<()> {
    fs::create_dir_all(folder).context(FileSnafu { path: folder })?;
    for name in KEY_FILES {
        let path = folder.join(name);
        if path.exists() {
            let message = format!("{} exists; nothing was written", path.display());
            return Err(Error::Usage { message });
        }
    }
    let authority_key = KeyPair::generate().map_err(key_error)?;
    let authority_params = authority_params()?;
    let authority = authority_params.self_signed(&authority_key).map_err(key_error)?;
    let issuer = Issuer::new(authority_params, authority_key);
    write_file(folder, "authority.pem", &authority.pem(), PUBLIC_MODE)?;
    write_leaf(folder, "node", &[NODE_NAME.to_owned()], &issuer)?;
    write_leaf(folder, "caller", names, &issuer)?;
    write_file(folder, "cluster-keys.jsonc", &cluster_keys_text(), SECRET_MODE)
}

fn authority_params() -> Result<CertificateParams> {
    let mut params = CertificateParams::new(Vec::<String>::new()).map_err(key_error)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.distinguished_name.push(DnType::CommonName, "rhubarbthread development authority");
    Ok(params)
}

fn write_leaf(
    folder: &Path,
    file: &str,
    names: &[String],
    issuer: &Issuer<'_, KeyPair>,
) -> Result<()> {
    let key = KeyPair::generate().map_err(key_error)?;
    let params = CertificateParams::new(names.to_vec()).map_err(key_error)?;
    let certificate = params.signed_by(&key, issuer).map_err(key_error)?;
    write_file(folder, &format!("{file}.pem"), &certificate.pem(), PUBLIC_MODE)?;
    write_file(folder, &format!("{file}.key"), &key.serialize_pem(), SECRET_MODE)
}

fn cluster_keys_text() -> String {
    format!(
        "{{\n  // The first key of each list is used for new tags and tickets; all are accepted.\n  \
         \"tag_keys\": [{{\"id\": 1, \"secret\": \"{}\"}}],\n  \
         \"ticket_keys\": [{{\"id\": 1, \"secret\": \"{}\"}}],\n  \
         \"reset_key\": \"{}\"\n}}\n",
        random_hex(),
        random_hex(),
        random_hex(),
    )
}

fn random_hex() -> String {
    let mut bytes = [0; SECRET_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn write_file(folder: &Path, name: &str, text: &str, mode: u32) -> Result<()> {
    let path = folder.join(name);
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options.open(&path).context(FileSnafu { path: &path })?;
    file.write_all(text.as_bytes()).context(FileSnafu { path })
}

fn key_error(error: rcgen::Error) -> Error {
    Error::Tls { message: error.to_string() }
}

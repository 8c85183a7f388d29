//! Secrets that all nodes share: the keys for flow tags, tickets and stateless resets.

use std::path::Path;

use crate::connection::tag::TagKey;
use crate::connection::tag::TagKeys;
use crate::error::Error;
use crate::error::InvalidSnafu;
use crate::error::Result;
use crate::process::document::Document;
use crate::process::document::Section;
use crate::request::ticket::TicketKey;
use crate::request::ticket::TicketKeys;

/// Length of each secret.
pub const SECRET_BYTES: usize = 32;

/// Secrets that all nodes share.
#[derive(Clone)]
pub struct ClusterKeys {
    /// Keys of flow tags. New tags use the first one; all of them are accepted.
    pub tag_keys: TagKeys,
    /// Keys of tickets. The first one signs new tickets; all of them are accepted.
    pub ticket_keys: TicketKeys,
    /// Key of the stateless reset tokens (RFC 9000, section 10.3).
    pub reset_key: [u8; SECRET_BYTES],
}

struct KeyEntry {
    id: u8,
    secret: [u8; SECRET_BYTES],
}

/// Reads and checks the file of the shared secrets.
pub fn read_cluster_keys(path: &Path) -> Result<ClusterKeys> {
    let document = Document::open(path).map_err(|fault| Error::Invalid { faults: vec![fault] })?;
    document.read(read).or_else(|faults| InvalidSnafu { faults }.fail())
}

fn read(section: &Section<'_>) -> Option<ClusterKeys> {
    let tag_keys = read_list(section, "tag_keys");
    let ticket_keys = read_list(section, "ticket_keys");
    let reset_key = read_secret(section, "reset_key");
    let tag_keys = tag_keys?.iter().map(|key| TagKey::new(key.id, &key.secret)).collect();
    let ticket_key = |key: KeyEntry| TicketKey { id: key.id, secret: key.secret };
    let ticket_keys = ticket_keys?.into_iter().map(ticket_key).collect();
    Some(ClusterKeys {
        tag_keys: TagKeys::new(tag_keys),
        ticket_keys: TicketKeys::new(ticket_keys),
        reset_key: reset_key?,
    })
}

fn read_list(section: &Section<'_>, key: &str) -> Option<Vec<KeyEntry>> {
    let entries = section.sections(key, |entry| {
        let id = entry.number("id", 0..=255, None);
        let secret = read_secret(entry, "secret");
        Some(KeyEntry { id: id? as u8, secret: secret? })
    })?;
    let mut ids: Vec<u8> = entries.iter().map(|entry| entry.id).collect();
    ids.sort_unstable();
    if ids.windows(2).any(|pair| pair[0] == pair[1]) {
        section.add_fault(key, "must have a different id for each key".to_owned());
        return None;
    }
    Some(entries)
}

fn read_secret(section: &Section<'_>, key: &str) -> Option<[u8; SECRET_BYTES]> {
    let text = section.text(key)?;
    let secret = decode_hex(&text);
    if secret.is_none() {
        section.add_fault(key, format!("must be {} hexadecimal digits", SECRET_BYTES * 2));
    }
    secret
}

fn decode_hex(text: &str) -> Option<[u8; SECRET_BYTES]> {
    if text.len() != SECRET_BYTES * 2 || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; SECRET_BYTES];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}

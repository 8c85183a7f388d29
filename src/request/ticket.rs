//! Tickets: the right to run one non-idempotent request once, at one incarnation of one agent.
//!
//! A ticket is one byte of key id, 20 bytes of flow tag, 8 bytes of incarnation, 8 bytes of number
//! and 16 bytes of MAC (truncated HMAC-SHA-256), in unpadded URL-safe base64. A caller uses the
//! flow tag as its first connection id, so the request reaches the issuing agent through any
//! balancer.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::connection::tag::TAG_BYTES;

/// Header that carries a ticket, in requests and in responses.
pub const TICKET_HEADER: &str = "rhubarbthread-ticket";

const MAC_BYTES: usize = 16;
const SIGNED_BYTES: usize = TAG_BYTES + 8 + 8;
const TICKET_BYTES: usize = SIGNED_BYTES + MAC_BYTES;

/// The content of a ticket.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket {
    /// Flow tag of the issuing agent.
    pub tag: [u8; TAG_BYTES],
    /// Incarnation of the issuing agent.
    pub incarnation: u64,
    /// Number of the ticket within the incarnation.
    pub number: u64,
}

/// One key for ticket MACs.
#[derive(Clone)]
pub struct TicketKey {
    /// Number that tells several valid keys apart during a key rotation.
    pub id: u8,
    /// Secret of 32 bytes.
    pub secret: [u8; 32],
}

/// The keys that are valid now. The first one signs; all of them verify.
#[derive(Clone)]
pub struct TicketKeys {
    keys: Vec<TicketKey>,
}

impl TicketKeys {
    /// Creates the set. `keys` holds the signing key first and must not be empty, else this panics.
    pub fn new(keys: Vec<TicketKey>) -> TicketKeys {
        assert!(!keys.is_empty(), "no ticket key given, at least one is needed");
        TicketKeys { keys }
    }

    /// Signs a ticket with the first key and returns its text.
    pub fn sign(&self, ticket: &Ticket) -> String {
        let key = &self.keys[0];
        let signed = signed_bytes(ticket);
        let mut bytes = Vec::with_capacity(1 + TICKET_BYTES);
        bytes.push(key.id);
        bytes.extend_from_slice(&signed);
        bytes.extend_from_slice(&mac(key, &signed).finalize().into_bytes()[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes the text of a ticket; `None` where it is malformed, its key is unknown or its MAC is
    /// wrong.
    pub fn verify(&self, text: &str) -> Option<Ticket> {
        let (key_id, bytes) = decode(text)?;
        let key = self.keys.iter().find(|key| key.id == key_id)?;
        let (signed, ticket_mac) = bytes.split_at(SIGNED_BYTES);
        mac(key, signed).verify_truncated_left(ticket_mac).ok()?;
        Some(parse_signed_bytes(signed))
    }
}

/// Reads the flow tag of a ticket without checking the MAC, as a caller does.
pub fn tag_of(text: &str) -> Option<[u8; TAG_BYTES]> {
    let (_, bytes) = decode(text)?;
    bytes.get(..TAG_BYTES)?.try_into().ok()
}

fn decode(text: &str) -> Option<(u8, Vec<u8>)> {
    let mut bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
    if bytes.len() != 1 + TICKET_BYTES {
        return None;
    }
    let key_id = bytes.remove(0);
    Some((key_id, bytes))
}

fn signed_bytes(ticket: &Ticket) -> [u8; SIGNED_BYTES] {
    let mut bytes = [0; SIGNED_BYTES];
    bytes[..TAG_BYTES].copy_from_slice(&ticket.tag);
    bytes[TAG_BYTES..TAG_BYTES + 8].copy_from_slice(&ticket.incarnation.to_be_bytes());
    bytes[TAG_BYTES + 8..].copy_from_slice(&ticket.number.to_be_bytes());
    bytes
}

fn parse_signed_bytes(signed: &[u8]) -> Ticket {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&signed[..TAG_BYTES]);
    let mut word = [0; 8];
    word.copy_from_slice(&signed[TAG_BYTES..TAG_BYTES + 8]);
    let incarnation = u64::from_be_bytes(word);
    word.copy_from_slice(&signed[TAG_BYTES + 8..]);
    Ticket { tag, incarnation, number: u64::from_be_bytes(word) }
}

fn mac(key: &TicketKey, signed: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC takes any key length");
    mac.update(signed);
    mac
}

//! Flow tags: QUIC connection ids that encode the agent that terminates the flow.
//!
//! Layout of the 20 bytes: key id (1), one AES-128 block (16), MAC (3). The block holds the agent's
//! IPv4 address (4) and port (2), the fingerprint of its incarnation (2), the service number (2),
//! the fingerprint of its availability zone (2) and a nonce (4). The nonce is a counter, so the ids of
//! one incarnation do not repeat until it wraps. The MAC is the start of the block encrypted once more with
//! the MAC key.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use aes::Aes128;
use aes::Block;
use aes::cipher::BlockDecrypt;
use aes::cipher::BlockEncrypt;
use aes::cipher::KeyInit;

/// Length of a flow tag, the longest connection id of QUIC version 1 (RFC 9000, section 17.2).
pub const TAG_BYTES: usize = 20;

const BLOCK_BYTES: usize = 16;

/// Decrypted content of a flow tag.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Tag {
    /// Data address of the agent.
    pub agent: SocketAddrV4,
    /// Fingerprint of the agent's incarnation.
    pub incarnation: u16,
    /// Number of the service.
    pub service: u16,
    /// Fingerprint of the agent's availability zone.
    pub zone: u16,
    /// Counter of the tags of the incarnation.
    pub nonce: u32,
}

/// Result of checking a tagged datagram at the agent that received it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The tag names this agent and its service.
    Own,
    /// The tag names another service.
    OtherService,
    /// The tag names another agent.
    OtherAgent,
}

impl Tag {
    /// Checks a tagged datagram at the agent that received it.
    ///
    /// The incarnation is not compared: for a tag of an older one, QUIC finds no connection and answers
    /// with a stateless reset.
    pub fn check_arrival(&self, agent: SocketAddrV4, service: u16) -> Arrival {
        if self.service != service {
            return Arrival::OtherService;
        }
        if self.agent != agent {
            return Arrival::OtherAgent;
        }
        Arrival::Own
    }
}

/// Two AES keys for flow tags, one for encryption and one for the MAC.
#[derive(Clone)]
pub struct TagKey {
    id: u8,
    block: Aes128,
    mac: Aes128,
}

impl TagKey {
    /// Creates a key from its id and 32 secret bytes: 16 for the block, 16 for the MAC.
    pub fn new(id: u8, secret: &[u8; 32]) -> TagKey {
        let (block, mac) = secret.split_at(BLOCK_BYTES);
        let block = Aes128::new_from_slice(block).expect("16 bytes are an AES-128 key");
        let mac = Aes128::new_from_slice(mac).expect("16 bytes are an AES-128 key");
        TagKey { id, block, mac }
    }
}

/// Set of valid keys. New tags are sealed with the first one.
#[derive(Clone)]
pub struct TagKeys {
    keys: Vec<TagKey>,
}

impl TagKeys {
    /// Creates the set. `keys` starts with the sealing key and must not be empty.
    pub fn new(keys: Vec<TagKey>) -> TagKeys {
        assert!(!keys.is_empty(), "a set of tag keys needs at least one key");
        TagKeys { keys }
    }

    /// Encrypts and authenticates a tag into a connection id.
    pub fn seal(&self, tag: &Tag) -> [u8; TAG_BYTES] {
        let key = &self.keys[0];
        let mut block = Block::from(encode_plaintext(tag));
        key.block.encrypt_block(&mut block);
        let mut bytes = [0; TAG_BYTES];
        bytes[0] = key.id;
        bytes[1..=BLOCK_BYTES].copy_from_slice(&block);
        bytes[BLOCK_BYTES + 1..].copy_from_slice(&compute_mac(key, block));
        bytes
    }

    /// Decrypts a connection id; `None` if it is not a tag that was sealed with a valid key.
    pub fn open(&self, connection_id: &[u8]) -> Option<Tag> {
        let bytes: &[u8; TAG_BYTES] = connection_id.try_into().ok()?;
        let key = self.keys.iter().find(|key| key.id == bytes[0])?;
        let mut block = *Block::from_slice(&bytes[1..=BLOCK_BYTES]);
        if bytes[BLOCK_BYTES + 1..] != compute_mac(key, block) {
            return None;
        }
        key.block.decrypt_block(&mut block);
        Some(decode_plaintext(&block))
    }
}

fn compute_mac(key: &TagKey, mut block: Block) -> [u8; 3] {
    key.mac.encrypt_block(&mut block);
    [block[0], block[1], block[2]]
}

fn encode_plaintext(tag: &Tag) -> [u8; BLOCK_BYTES] {
    let mut bytes = [0; BLOCK_BYTES];
    bytes[0..4].copy_from_slice(&tag.agent.ip().octets());
    bytes[4..6].copy_from_slice(&tag.agent.port().to_be_bytes());
    bytes[6..8].copy_from_slice(&tag.incarnation.to_be_bytes());
    bytes[8..10].copy_from_slice(&tag.service.to_be_bytes());
    bytes[10..12].copy_from_slice(&tag.zone.to_be_bytes());
    bytes[12..16].copy_from_slice(&tag.nonce.to_be_bytes());
    bytes
}

fn decode_plaintext(bytes: &[u8]) -> Tag {
    let word = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    let ip = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
    Tag {
        agent: SocketAddrV4::new(ip, word(4)),
        incarnation: word(6),
        service: word(8),
        zone: word(10),
        nonce: u32::from_be_bytes([bytes[12], bytes[13], bytes[14], bytes[15]]),
    }
}

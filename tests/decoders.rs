//! Decoders of everything that arrives from the network or the store: no input makes them panic, and
//! each encoded value decodes to an equal one.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;
use rhubarbthread::connection::datagram;
use rhubarbthread::connection::envelope;
use rhubarbthread::connection::envelope::EnvelopeHeader;
use rhubarbthread::connection::envelope::MAX_CHAIN;
use rhubarbthread::connection::tag::Tag;
use rhubarbthread::connection::tag::TagKey;
use rhubarbthread::connection::tag::TagKeys;
use rhubarbthread::process::configuration::parse_record;
use rhubarbthread::process::document::Document;
use rhubarbthread::process::store::StoreValue;
use rhubarbthread::request::deadline;
use rhubarbthread::request::ticket::Ticket;
use rhubarbthread::request::ticket::TicketKey;
use rhubarbthread::request::ticket::TicketKeys;
use rhubarbthread::version::message;
use rhubarbthread::version::peer::GossipState;
use rhubarbthread::version::record::BalancerRecord;
use rhubarbthread::version::store_position::StorePosition;
use rhubarbthread::version::table::ForwardingTable;
use rhubarbthread::wire::ControlRequest;

fn tag_keys(ids: &[u8]) -> TagKeys {
    TagKeys::new(ids.iter().map(|id| TagKey::new(*id, &[*id; 32])).collect())
}

fn ticket_keys(ids: &[u8]) -> TicketKeys {
    let key = |id: &u8| TicketKey { id: *id, secret: [*id; 32] };
    TicketKeys::new(ids.iter().map(key).collect())
}

fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(any::<u8>(), 0..1500)
}

fn any_address_v4() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), any::<u16>()).prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port))
}

fn any_address() -> impl Strategy<Value = SocketAddr> {
    (any::<IpAddr>(), any::<u16>()).prop_map(|(ip, port)| SocketAddr::new(ip.to_canonical(), port))
}

fn any_tag() -> impl Strategy<Value = Tag> {
    let parts = (any_address_v4(), any::<u16>(), any::<u16>(), any::<u16>(), any::<u32>());
    parts.prop_map(|(agent, incarnation, service, zone, nonce)| Tag {
        agent,
        incarnation,
        service,
        zone,
        nonce,
    })
}

fn gossip_state() -> GossipState {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let own = BalancerRecord {
        control: address,
        incarnation: 1,
        sequence: 0,
        lost: false,
        zone: "a".to_owned(),
        admin: address,
        gone: false,
    };
    GossipState::new(own, &[])
}

/// Seed of the generated inputs: every run tests the same ones.
const SEED: u64 = 4;

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::with_cases(400)
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn envelope_of_any_bytes(bytes in any_bytes()) {
        let _ = envelope::decode(&bytes);
    }

    #[test]
    fn envelope_is_read_back(
        source in any_address(),
        destination in any_address(),
        chain in proptest::collection::vec(any_address_v4(), 0..=MAX_CHAIN),
        payload in any_bytes(),
    ) {
        let header = EnvelopeHeader::new(source, destination).with_chain(chain);
        let mut bytes = Vec::new();
        envelope::encode(&header, &payload, &mut bytes);
        prop_assert_eq!(envelope::decode(&bytes), Ok((header, payload.as_slice())));
        prop_assert!(bytes.len() <= payload.len() + envelope::max_overhead_bytes());
    }

    #[test]
    fn head_of_any_bytes(bytes in any_bytes()) {
        let _ = datagram::parse_header(&bytes);
        let _ = ForwardingTable::default().route(
            &tag_keys(&[1]),
            SocketAddr::from(([127, 0, 0, 1], 1)),
            SocketAddr::from(([127, 0, 0, 1], 2)),
            &bytes,
        );
    }

    #[test]
    fn tag_is_read_back_by_an_old_key_too(tag in any_tag()) {
        let encoded = tag_keys(&[1]).seal(&tag);
        prop_assert_eq!(tag_keys(&[2, 1]).open(&encoded), Some(tag));
        prop_assert_eq!(tag_keys(&[2]).open(&encoded), None);
    }

    #[test]
    fn forged_tag_is_refused(tag in any_tag(), index in 0..20_usize, flip in 1..=255_u8) {
        let mut encoded = tag_keys(&[1]).seal(&tag);
        encoded[index] ^= flip;
        prop_assert_eq!(tag_keys(&[1]).open(&encoded), None);
    }

    #[test]
    fn ticket_is_read_back_and_forgery_refused(
        tag in any::<[u8; 20]>(),
        incarnation in any::<u64>(),
        number in any::<u64>(),
        index in 0..53_usize,
    ) {
        let ticket = Ticket { tag, incarnation, number };
        let text = ticket_keys(&[1]).sign(&ticket);
        prop_assert_eq!(ticket_keys(&[2, 1]).verify(&text), Some(ticket));
        let mut forged = text.into_bytes();
        forged[index] = if forged[index] == b'A' { b'B' } else { b'A' };
        let forged = String::from_utf8(forged).expect("base 64 is ASCII");
        prop_assert_eq!(ticket_keys(&[1]).verify(&forged), None);
    }

    #[test]
    fn ticket_of_any_text(text in ".{0,100}") {
        let _ = ticket_keys(&[1]).verify(&text);
        let _ = deadline::remaining_ms(Some(&text), 1);
    }

    #[test]
    fn control_message_of_any_bytes(bytes in any_bytes()) {
        if let Ok(request) = ControlRequest::decode(bytes.as_slice()) {
            let _ = gossip_state().handle_request(0, &request);
        }
    }

    #[test]
    fn record_of_any_bytes(bytes in any_bytes()) {
        if let Ok(record) = rhubarbthread::wire::Record::decode(bytes.as_slice()) {
            let _ = message::from_message(&record);
        }
    }

    #[test]
    fn store_value_of_any_bytes(name in "[a-z]{0,8}", value in any_bytes()) {
        for kind in ["service", "zone"] {
            let key = format!("rhubarbthread/v1/config/{kind}/{name}");
            let _ = parse_record(&StoreValue { key, value: value.clone(), position: StorePosition::new(0, 1) });
        }
    }

    #[test]
    fn document_of_any_text(text in ".{0,300}") {
        let document = Document::new(Path::new("any"), text);
        let _ = document.read(|section| section.number("a", 0..=1, None));
    }
}

//! Conversion between records and their generated message types. A message with a missing or invalid
//! field converts to `None`.

use crate::connection::envelope::from_hop;
use crate::connection::envelope::to_hop;
use crate::version::digest::Summary;
use crate::version::record::BalancerRecord;
use crate::version::record::Order;
use crate::version::record::Phase;
use crate::version::record::Record;
use crate::version::record::ServiceRecord;
use crate::version::record::TargetRecord;
use crate::version::record::ZoneRecord;
use crate::version::service::is_valid_name;
use crate::wire;
use crate::wire::record::Kind;

/// Converts a record to its message.
pub fn to_message(record: &Record) -> wire::Record {
    let kind = match record {
        Record::Service(service) => Kind::Service(service_to_message(service)),
        Record::Zone(zone) => Kind::Zone(wire::ZoneRecord {
            revision: zone.revision,
            name: zone.name.clone(),
            out: zone.out,
        }),
        Record::Target(target) => Kind::Target(target_to_message(target)),
        Record::Balancer(balancer) => Kind::Balancer(wire::BalancerRecord {
            control: Some(to_hop(balancer.control)),
            incarnation: balancer.incarnation,
            sequence: balancer.sequence,
            lost: balancer.lost,
            zone: balancer.zone.clone(),
            admin: Some(to_hop(balancer.admin)),
            gone: balancer.gone,
        }),
    };
    wire::Record { kind: Some(kind) }
}

/// Converts a message to a record.
pub fn from_message(message: &wire::Record) -> Option<Record> {
    match message.kind.as_ref()? {
        Kind::Service(service) => service_from_message(service).map(Record::Service),
        Kind::Zone(zone) => zone_from_message(zone).map(Record::Zone),
        Kind::Target(target) => target_from_message(target).map(Record::Target),
        Kind::Balancer(balancer) => balancer_from_message(balancer).map(Record::Balancer),
    }
}

/// Converts a target record to its message.
pub fn target_to_message(target: &TargetRecord) -> wire::TargetRecord {
    wire::TargetRecord {
        data: Some(to_hop(target.data)),
        incarnation: target.incarnation,
        sequence: target.sequence,
        lost: target.lost,
        service: target.service.clone(),
        zone: target.zone.clone(),
        slots: target.slots,
        connections: target.connections,
        phase: match target.phase {
            Phase::Serving => 0,
            Phase::Cold => 1,
            Phase::Leaving => 2,
            Phase::Gone => 3,
            Phase::Starting => 4,
        },
    }
}

/// Converts a message to a target record.
pub fn target_from_message(message: &wire::TargetRecord) -> Option<TargetRecord> {
    let names_valid = is_valid_name(&message.service) && is_valid_name(&message.zone);
    if !names_valid {
        return None;
    }
    Some(TargetRecord {
        data: from_hop(message.data.as_ref()?)?,
        incarnation: message.incarnation,
        sequence: message.sequence,
        lost: message.lost,
        service: message.service.clone(),
        zone: message.zone.clone(),
        slots: message.slots,
        connections: message.connections,
        phase: match message.phase {
            0 => Phase::Serving,
            1 => Phase::Cold,
            2 => Phase::Leaving,
            3 => Phase::Gone,
            4 => Phase::Starting,
            _ => return None,
        },
    })
}

/// Converts a summary to its message.
pub fn summary_to_message(summary: &Summary) -> wire::Summary {
    wire::Summary {
        key_hash: summary.key_hash,
        major: summary.order.major,
        minor: summary.order.minor,
        observed_lost: summary.order.lost,
    }
}

/// Converts a message to a summary.
pub fn summary_from_message(message: &wire::Summary) -> Summary {
    let order = Order { major: message.major, minor: message.minor, lost: message.observed_lost };
    Summary { key_hash: message.key_hash, order }
}

fn service_to_message(service: &ServiceRecord) -> wire::ServiceRecord {
    wire::ServiceRecord {
        revision: service.revision,
        name: service.name.clone(),
        removed: service.removed,
        number: u32::from(service.number),
        address: service.address.to_string(),
        first_limit: service.first_limit,
        growth_answers: service.growth_answers,
        request_deadline_ms: service.request_deadline_ms,
        retry_budget_percent: service.retry_budget_percent,
        zones: service.zones.clone(),
        stream_paths: service.stream_paths.clone(),
    }
}

fn service_from_message(message: &wire::ServiceRecord) -> Option<ServiceRecord> {
    if !is_valid_name(&message.name) {
        return None;
    }
    Some(ServiceRecord {
        revision: message.revision,
        name: message.name.clone(),
        removed: message.removed,
        number: u16::try_from(message.number).ok()?,
        address: message.address.parse().ok()?,
        first_limit: message.first_limit,
        growth_answers: message.growth_answers,
        request_deadline_ms: message.request_deadline_ms,
        retry_budget_percent: message.retry_budget_percent,
        zones: message.zones.clone(),
        stream_paths: message.stream_paths.clone(),
    })
}

fn zone_from_message(message: &wire::ZoneRecord) -> Option<ZoneRecord> {
    if !is_valid_name(&message.name) {
        return None;
    }
    Some(ZoneRecord { revision: message.revision, name: message.name.clone(), out: message.out })
}

fn balancer_from_message(message: &wire::BalancerRecord) -> Option<BalancerRecord> {
    if !is_valid_name(&message.zone) {
        return None;
    }
    Some(BalancerRecord {
        control: from_hop(message.control.as_ref()?)?,
        incarnation: message.incarnation,
        sequence: message.sequence,
        lost: message.lost,
        zone: message.zone.clone(),
        admin: from_hop(message.admin.as_ref()?)?,
        gone: message.gone,
    })
}

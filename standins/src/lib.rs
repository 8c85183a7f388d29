//! Stand-ins for the systems around rhubarbthread (store, network fabric, targets, callers), for tests,
//! demonstrations and measurements.

pub mod address_in_use;
pub mod baseline;
pub mod fabric;
pub mod gossip_simulation;
pub mod load;
pub mod measure;
pub mod store;
pub mod system;
pub mod target;

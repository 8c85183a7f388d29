//! rhubarbthread: a layer-4 load balancer for very many tiny services.

pub mod caller;
pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod version;
pub mod wire;

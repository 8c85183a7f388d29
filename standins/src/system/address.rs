//! Address plan of a system: `127.<subnet>.<role>.<index>`.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use crate::fabric::BalancerAddress;

/// Address of a part of the system; `role` is the third byte, which tells the kinds of parts apart.
pub fn address(subnet: u8, role: u8, index: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, subnet, role, index), port)
}

/// Address of a service.
pub fn service_address(subnet: u8, index: usize) -> SocketAddr {
    address(subnet, 80, index as u8 + 1, 4433).into()
}

/// Control address of a balancer.
pub fn control_address(subnet: u8, index: usize) -> SocketAddrV4 {
    address(subnet, 1, index as u8 + 1, 7001)
}

/// Data and admin address of a balancer.
pub fn balancer_address(subnet: u8, index: usize) -> BalancerAddress {
    BalancerAddress {
        data: address(subnet, 1, index as u8 + 1, 7000),
        admin: address(subnet, 1, index as u8 + 1, 7002),
    }
}

//! What a system consists of.

use crate::fabric::FabricFaults;

/// One service of a system.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name.
    pub name: String,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each.
    pub slots: u32,
    /// Connections of each.
    pub connections: u32,
    /// Requests that a cold target bears.
    pub first_limit: u32,
    /// Answers after which it bears one more.
    pub growth_answers: u32,
}

impl ServicePlan {
    /// Creates a service with a moderate cold start.
    pub fn new(name: &str, targets: usize, slots: u32) -> ServicePlan {
        ServicePlan {
            name: name.to_owned(),
            targets,
            slots,
            connections: 2_000,
            first_limit: 2,
            growth_answers: 10,
        }
    }
}

/// A system to start.
#[derive(Clone, Debug)]
pub struct SystemPlan {
    /// Second byte of all addresses.
    pub subnet: u8,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Number of balancers, spread over the zones.
    pub balancers: usize,
    /// Services; their targets are spread over the zones.
    pub services: Vec<ServicePlan>,
    /// Faults of the fabric.
    pub faults: FabricFaults,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Whether agents write traces.
    pub traces: bool,
}

impl SystemPlan {
    /// Three zones, three balancers and a service `vypocet` of three targets.
    pub fn new(subnet: u8) -> SystemPlan {
        SystemPlan {
            subnet,
            zones: ["brno-a", "olomouc-b", "zlin-c"].map(str::to_owned).to_vec(),
            balancers: 3,
            services: vec![ServicePlan::new("vypocet", 3, 9)],
            faults: FabricFaults::default(),
            seed: 1,
            traces: false,
        }
    }

    /// Returns the plan with other services.
    pub fn with_services(mut self, services: Vec<ServicePlan>) -> SystemPlan {
        self.services = services;
        self
    }

    /// Returns the plan with faults of the fabric.
    pub fn with_faults(mut self, faults: FabricFaults) -> SystemPlan {
        self.faults = faults;
        self
    }
}

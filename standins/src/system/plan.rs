//! Description of a system to start.

use crate::fabric::FabricFaults;

/// Service of a system.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Number of targets.
    pub targets: usize,
    /// Limit of concurrent requests at each target.
    pub slots: u32,
    /// Limit of connections at each target.
    pub connections: u32,
    /// Limit of concurrent requests at a cold target.
    pub first_limit: u32,
    /// Number of responses after which a cold target raises its limit by one.
    pub growth_answers: u32,
}

impl ServicePlan {
    /// Creates a service with a moderate slow start of cold targets.
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

/// Layout and settings of a system.
#[derive(Clone, Debug)]
pub struct SystemPlan {
    /// Second byte of all addresses, `127.<subnet>.0.0/16`.
    pub subnet: u8,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Number of balancers, distributed over the zones.
    pub balancers: usize,
    /// Services, whose targets are distributed over the zones.
    pub services: Vec<ServicePlan>,
    /// Faults that the fabric injects.
    pub faults: FabricFaults,
    /// Seed for the random choices of the stand-ins.
    pub seed: u64,
    /// Whether agents write trace files.
    pub traces: bool,
}

impl SystemPlan {
    /// Creates a plan with three zones, three balancers and a service `vypocet` with three targets.
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

    /// Replaces the services.
    pub fn with_services(mut self, services: Vec<ServicePlan>) -> SystemPlan {
        self.services = services;
        self
    }

    /// Replaces the faults of the fabric.
    pub fn with_faults(mut self, faults: FabricFaults) -> SystemPlan {
        self.faults = faults;
        self
    }
}

//! The two deployments of users that are measured.

use std::path::PathBuf;

use crate::fabric::FabricFaults;
use crate::system::Programs;
use crate::system::ServicePlan;
use crate::system::System;
use crate::system::SystemPlan;

/// Layout of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in the results.
    pub name: &'static str,
    /// Availability zones.
    pub zones: &'static [&'static str],
    /// Services: name and number of targets.
    pub services: [(&'static str, usize); 2],
    /// Slots of each target.
    pub slots: u32,
    /// One-way delay to the callers plus the mean one-way delay between zones, in microseconds.
    pub delay_us: u64,
}

/// Limit of connections of each target.
const CONNECTIONS: u32 = 2_000;

/// Both deployments.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "dvorak",
        zones: &["brno-a", "olomouc-b", "zlin-c"],
        services: [("vypocet", 7), ("zpravy", 3)],
        slots: 9,
        delay_us: 2_000,
    },
    Deployment {
        name: "red-compartida",
        zones: &["cl-centro-a", "cl-centro-b", "cl-centro-c", "cl-centro-d"],
        services: [("tesoreria-core", 7), ("remesas", 4)],
        slots: 5,
        delay_us: 1_375,
    },
];

impl Deployment {
    /// Returns the plan of a system with the layout of this deployment.
    pub fn plan(&self, subnet: u8, seed: u64) -> SystemPlan {
        let service = |(name, targets): &(&str, usize)| {
            let mut service = ServicePlan::new(name, *targets, self.slots);
            service.connections = CONNECTIONS;
            service
        };
        SystemPlan {
            subnet,
            zones: self.zones.iter().map(|zone| (*zone).to_owned()).collect(),
            balancers: self.zones.len(),
            services: self.services.iter().map(service).collect(),
            faults: FabricFaults { delay_us: self.delay_us, ..FabricFaults::default() },
            seed,
            traces: false,
        }
    }

    /// Starts a system of this deployment in a new temporary folder, and returns both.
    pub async fn start(&self, programs: &Programs, subnet: u8, seed: u64) -> (System, PathBuf) {
        let folder = std::env::temp_dir()
            .join(format!("rhubarbthread-measure-{}-{subnet}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let system = System::start(self.plan(subnet, seed), programs.clone(), &folder).await;
        (system, folder)
    }
}

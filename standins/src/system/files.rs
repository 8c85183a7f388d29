//! Settings files, service files and keys of a system.

use std::fs;
use std::net::SocketAddr;
use std::process::Command;

use serde_json::Value;
use serde_json::json;

use crate::system::ServicePlan;
use crate::system::System;
use crate::system::address::address;
use crate::system::address::balancer_address;
use crate::system::address::control_address;

impl System {
    pub(super) fn write_files(&self) {
        let keys = self.folder.join("keys");
        let output = Command::new(&self.programs.operator).arg("keys").arg(&keys).output();
        assert!(
            output.expect("the operators' tool can be started").status.success(),
            "the operators' tool creates keys"
        );
        fs::create_dir(self.services_folder())
            .expect("the folder of the system is empty and writable");
        for index in 0..self.plan.balancers {
            self.write(&format!("balancer-{index}.jsonc"), &self.balancer_settings(index));
        }
        for index in 0..self.places.len() {
            self.write(&format!("agent-{index}.jsonc"), &self.agent_settings(index));
        }
        for (index, service) in self.plan.services.iter().enumerate() {
            let name = format!("services/{}.service.jsonc", service.name);
            self.write(&name, &service_file(service, self.service(index)));
        }
        let admins: Vec<String> =
            (0..self.plan.balancers).map(|index| self.balancer_admin(index).to_string()).collect();
        let operator = json!({"store_endpoints": [self.store_url()], "admin_seeds": admins});
        self.write("rhubarbthread.jsonc", &operator);
    }

    pub(super) fn write(&self, name: &str, value: &Value) {
        let text = serde_json::to_string_pretty(value).expect("a JSON value can be serialised");
        fs::write(self.folder.join(name), text).expect("the folder of the system is writable");
    }

    pub(super) fn store_url(&self) -> String {
        format!("http://{}", address(self.plan.subnet, 90, 1, 2379))
    }

    pub(super) fn seeds(&self) -> Vec<String> {
        let seeds = (0..self.plan.balancers).map(|index| control_address(self.plan.subnet, index));
        seeds.take(3).map(|seed| seed.to_string()).collect()
    }

    pub(super) fn common_settings(&self, zone: &str) -> Value {
        json!({
            "availability_zone": zone,
            "seeds": self.seeds(),
            "store_endpoints": [self.store_url()],
            "tls": {
                "authority": "keys/authority.pem",
                "certificate": "keys/node.pem",
                "private_key": "keys/node.key",
            },
            "keys_file": "keys/cluster-keys.jsonc",
            "log": {"level": "debug"},
        })
    }

    pub(super) fn balancer_settings(&self, index: usize) -> Value {
        let zones = &self.plan.zones;
        let mut settings = self.common_settings(&zones[index % zones.len()]);
        let addresses = balancer_address(self.plan.subnet, index);
        settings["data_address"] = json!(addresses.data.to_string());
        settings["control_address"] = json!(control_address(self.plan.subnet, index).to_string());
        settings["admin_address"] = json!(addresses.admin.to_string());
        settings
    }

    pub(super) fn agent_settings(&self, index: usize) -> Value {
        let mut settings = self.common_settings(&self.places[index].zone);
        settings["data_address"] = json!(self.agent_data(index).to_string());
        settings["admin_address"] = json!(self.agent_admin(index).to_string());
        settings["fabric_address"] = json!(address(self.plan.subnet, 90, 2, 7000).to_string());
        settings["caller_tls"] =
            json!({"certificate": "keys/caller.pem", "private_key": "keys/caller.key"});
        if self.plan.traces {
            settings["trace_path"] = json!(self.trace_path(index));
        }
        settings
    }
}

fn service_file(service: &ServicePlan, address: SocketAddr) -> Value {
    json!({
        "name": service.name,
        "address": address.to_string(),
        "cold_start": {
            "first_limit": service.first_limit,
            "growth_answers": service.growth_answers,
        },
        "stream_paths": ["/stream"],
    })
}

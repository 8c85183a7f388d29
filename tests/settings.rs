//! Checks of settings and service files report every error at once, with file, line, key and the
//! allowed values.

mod support;

use std::fs;
use std::path::Path;
use std::process::Command;

use tempfile::TempDir;

const BALANCER: &str = env!("CARGO_BIN_EXE_rhubarbthread-balancer");
const AGENT: &str = env!("CARGO_BIN_EXE_rhubarbthread-agent");
const OPERATOR: &str = env!("CARGO_BIN_EXE_rhubarbthread");

/// Runs a program in a folder. Returns its exit code and output, with the folder's path replaced by DIR.
fn run(program: &str, folder: &Path, arguments: &[&str]) -> String {
    let output = Command::new(program).current_dir(folder).args(arguments).output();
    let output = output.expect("the program can be started");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).replace(&folder.display().to_string(), "DIR");
    format!("exit {}\n{text}", output.status.code().unwrap_or(-1))
}

fn folder(files: &[(&str, &str)]) -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder can be made");
    for (name, text) in files {
        fs::write(folder.path().join(name), text).expect("the folder is writable");
    }
    folder
}

fn with_keys(files: &[(&str, &str)]) -> TempDir {
    let folder = folder(files);
    let output = run(OPERATOR, folder.path(), &["keys", "keys"]);
    assert!(output.starts_with("exit 0"), "{output}");
    folder
}

const GOOD_BALANCER: &str = r#"{
  // A comment.
  "availability_zone": "brno-a",
  "data_address": "127.0.0.1:7000",
  "control_address": "127.0.0.1:7001",
  "admin_address": "127.0.0.1:7002",
  "seeds": ["127.0.0.1:7001"],
  "store_endpoints": ["http://127.0.0.1:2379"],
  "tls": {
    "authority": "keys/authority.pem",
    "certificate": "keys/node.pem",
    "private_key": "keys/node.key",
  },
  "keys_file": "keys/cluster-keys.jsonc",
}"#;

const BAD_BALANCER: &str = r#"{
  "availability_zone": "Brno A",
  "data_address": "localhost:7000",
  "control_address": "127.0.0.1:7001",
  "admin_address": "127.0.0.1:7001",
  "store_endpoints": ["ftp://x"],
  "tls": {"authority": 3, "certificate": "c", "private_key": "k", "extra": 1},
  "forward_threads": 1000,
  "log": {"level": "loud"},
  "availability_zone": "brno-a",
  "colour": "red"
}"#;

const GOOD_SERVICE: &str = r#"{
  "name": "vypocet",
  "address": "10.0.0.1:443",
  "cold_start": {"first_limit": 2, "growth_answers": 10}
}"#;

const BAD_SERVICE: &str = r#"{
  "name": "vypocet",
  "address": "10.0.0.1",
  "cold_start": {"first_limit": 0},
  "zones": ["a", "B"],
  "deadline": 5
}"#;

cases! {
    good_balancer: {
        let folder = with_keys(&[("b.jsonc", GOOD_BALANCER)]);
        let output = run(BALANCER, folder.path(), &["--config", "b.jsonc", "--check"]);
        insta::assert_snapshot!(output);
    };
    all_faults_of_a_balancer: {
        let folder = folder(&[("b.jsonc", BAD_BALANCER)]);
        insta::assert_snapshot!(run(BALANCER, folder.path(), &["--config", "b.jsonc", "--check"]));
    };
    broken_json: {
        let folder = folder(&[("b.jsonc", "{\n  \"a\": [1,\n")]);
        insta::assert_snapshot!(run(BALANCER, folder.path(), &["--config", "b.jsonc"]));
    };
    missing_file: {
        let folder = folder(&[]);
        insta::assert_snapshot!(run(AGENT, folder.path(), &["--config", "none.jsonc"]));
    };
    unreadable_certificate: {
        let folder = with_keys(&[("b.jsonc", GOOD_BALANCER)]);
        fs::write(folder.path().join("keys/node.pem"), "no certificate").expect("the file is writable");
        insta::assert_snapshot!(run(BALANCER, folder.path(), &["--config", "b.jsonc", "--check"]));
    };
    agent_without_settings: {
        let folder = folder(&[("a.jsonc", "{}")]);
        insta::assert_snapshot!(run(AGENT, folder.path(), &["--config", "a.jsonc", "--check"]));
    };
    daemon_without_arguments: {
        let folder = folder(&[]);
        insta::assert_snapshot!(run(AGENT, folder.path(), &[]));
    };
    daemon_help: {
        let folder = folder(&[]);
        insta::assert_snapshot!(run(BALANCER, folder.path(), &["--help"]));
    };
    keys_are_never_replaced: {
        let folder = with_keys(&[]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["keys", "keys"]));
    };
    check_of_good_services: {
        let folder = folder(&[("a.service.jsonc", GOOD_SERVICE)]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["check", "."]));
    };
    all_faults_of_a_service: {
        let folder = folder(&[("a.service.jsonc", BAD_SERVICE)]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["check", "."]));
    };
    two_services_with_one_address: {
        let other = GOOD_SERVICE.replace("vypocet", "zpravy");
        let folder = folder(&[("a.service.jsonc", GOOD_SERVICE), ("b.service.jsonc", &other)]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["check", "."]));
    };
    empty_folder: {
        let folder = folder(&[]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["check", "."]));
    };
    operator_help: {
        let folder = folder(&[]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["--help"]));
    };
    operator_publish_help: {
        let folder = folder(&[]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["publish", "--help"]));
    };
    operator_unknown_command: {
        let folder = folder(&[]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["deploy"]));
    };
    zone_of_a_wrong_direction: {
        let folder = folder(&[]);
        insta::assert_snapshot!(run(OPERATOR, folder.path(), &["zone", "up", "brno-a"]));
    };
    publish_without_a_store: {
        let config = r#"{"store_endpoints": ["http://127.0.0.1:1"]}"#;
        let files = [("rhubarbthread.jsonc", config), ("a.service.jsonc", GOOD_SERVICE)];
        let folder = folder(&files);
        let output = run(OPERATOR, folder.path(), &["publish", "."]);
        assert!(output.starts_with("exit 1\nstore: cannot reach the store"), "{output}");
    };
}

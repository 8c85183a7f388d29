//! The committed protocol code is the one generated from the message definitions.

use std::fs;
use std::path::Path;

const PROTO_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/proto");
const COMMITTED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src/wire/generated.rs");

fn generate(out_dir: &Path) -> String {
    let files = protox::compile(["rhubarbthread.proto"], [PROTO_DIR]).expect("definitions compile");
    let mut config = prost_build::Config::new();
    config.out_dir(out_dir);
    config.compile_fds(files).expect("code is generated");
    fs::read_to_string(out_dir.join("rhubarbthread.rs")).expect("generated file is readable")
}

/// With `UPDATE_GENERATED=1` the test overwrites the committed file with the generated code.
#[test]
fn generated_code_is_current() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let fresh = generate(dir.path());
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(COMMITTED, &fresh).expect("generated file is writable");
    }
    let committed = fs::read_to_string(COMMITTED).unwrap_or_default();
    assert!(committed == fresh, "run UPDATE_GENERATED=1 cargo test --test generated");
}

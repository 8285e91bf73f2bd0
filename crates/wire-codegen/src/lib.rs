//! Generates the code of `lagoon-wire` from its protobuf files, without needing `protoc`.
//!
//! `cargo run -p lagoon-wire-codegen` regenerates the committed code; a test of `lagoon-wire` checks that it is
//! current.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};

const FILES: [&str; 5] = [
    "cell.proto",
    "common.proto",
    "operator.proto",
    "peer.proto",
    "scheduler.proto",
];
const PACKAGE_FILE: &str = "lagoon.v1.rs";

/// Returns the path of the committed generated code.
pub fn committed_path() -> PathBuf {
    wire_dir().join("src/generated").join(PACKAGE_FILE)
}

/// Generates the code and returns it as text.
///
/// # Errors
///
/// Returns an error if the protobuf files don't compile or the temporary directory can't be written.
pub fn generate() -> Result<String, Box<dyn Error>> {
    let descriptors = protox::compile(FILES, [wire_dir().join("proto")])?;
    let out = tempfile::tempdir()?;
    tonic_prost_build::configure()
        .out_dir(out.path())
        .compile_fds(descriptors)?;
    Ok(fs::read_to_string(out.path().join(PACKAGE_FILE))?)
}

fn wire_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire")
}

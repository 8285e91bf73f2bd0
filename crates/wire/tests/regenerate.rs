//! Compares the committed code with the code generated from the protobuf files.

use std::fs;

/// Guards against a change to the protobuf files without regenerating the code.
#[test]
fn generated_code_is_current() {
    let fresh = lagoon_wire_codegen::generate().unwrap();
    let committed = fs::read_to_string(lagoon_wire_codegen::committed_path()).unwrap();
    assert!(committed == fresh, "run `cargo run -p lagoon-wire-codegen`");
}

//! Compares the committed code with what the protobuf files generate.

use std::fs;

/// Guards against protobuf files that were changed without their code.
#[test]
fn generated_code_is_current() {
    let fresh = lagoon_wire_codegen::generate().unwrap();
    let committed = fs::read_to_string(lagoon_wire_codegen::committed_path()).unwrap();
    assert!(committed == fresh, "run `cargo run -p lagoon-wire-codegen`");
}

//! Regenerates the committed code of `lagoon-wire`.

use std::error::Error;
use std::fs;

fn main() -> Result<(), Box<dyn Error>> {
    let code = lagoon_wire_codegen::generate()?;
    fs::write(lagoon_wire_codegen::committed_path(), code)?;
    Ok(())
}

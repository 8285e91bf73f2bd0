use std::fmt::Write;

use crate::reference::Kind;

const INTRODUCTION: &str = "\
# Settings

This page is the output of `lagoonctl explain`; a test compares it with the code. `lagoonctl explain KEY` prints one
entry, and `lagoonctl check --kind KIND FILE` reports all problems of a file at once.

A key such as `log.level` is the key `level` nested below `log`. A part in capitals is a placeholder for a name or a list
index.
";

const GATEWAY_TEXT: &str = "\
YAML file of `lagoon-gateway --settings FILE`. A duration is a number with `ms`, `s`, `m`, `h` or `d`, a size one with
`B`, `KB`, `KiB`, `MB`, `MiB`, `GB` or `GiB`, a percentage one with `%`, and an address is an IP address with a port. A
name has 1 to 64 of `a-z A-Z 0-9 . _ -`.
";

const SCHEDULER_TEXT: &str = "\
YAML file of `lagoon-scheduler --settings FILE`, with the same value formats; a rate is a number with `/s` or `/m`.
";

const NODE_TEXT: &str = "\
YAML file of `lagoon-node --settings FILE`, with the same value formats.
";

const POLICY_TEXT: &str = "\
Value of the key `policy` in the store, as JSON. `lagoonctl check FILE` accepts JSON and YAML. Values are plain numbers
in the unit given in the table.
";

/// Returns the text of docs/settings.md.
pub fn page() -> String {
    let mut page = INTRODUCTION.to_owned();
    for kind in Kind::ALL {
        let (title, text) = match kind {
            Kind::Gateway => ("Gateway", GATEWAY_TEXT),
            Kind::Scheduler => ("Scheduler", SCHEDULER_TEXT),
            Kind::Node => ("Node", NODE_TEXT),
            Kind::Policy => ("Policy document", POLICY_TEXT),
        };
        let _ = write!(page, "\n## {title}\n\n{text}\n");
        page.push_str("| key | unit | default | range | meaning |\n");
        page.push_str("| --- | --- | --- | --- | --- |\n");
        for entry in kind.entries() {
            let default = match entry.default_text() {
                text @ ("required" | "none") => text.to_owned(),
                text => format!("`{text}`"),
            };
            let _ = writeln!(
                page,
                "| `{}` | {} | {default} | {} | {} |",
                entry.key, entry.unit, entry.range, entry.meaning
            );
        }
    }
    page
}

//! Checks the example statements in docs/language.md and docs/operators.md.

use lagoon_language::parse;
use lagoon_language::syntax::Table;

const LANGUAGE: &str = include_str!("../../../docs/language.md");
const OPERATORS: &str = include_str!("../../../docs/operators.md");

macro_rules! examples_parse {
    ($($name:ident: $page:ident, at least $least:literal;)*) => {
        $(
            /// Guards against a documented example that the grammar does not accept.
            #[test]
            fn $name() {
                let count = parse_examples($page);
                assert!(count >= $least, "only {count} examples were found");
            }
        )*
    };
}

examples_parse! {
    language: LANGUAGE, at least 40;
    operators: OPERATORS, at least 20;
}

fn parse_examples(page: &str) -> usize {
    let blocks = page.split("```lagoon\n").skip(1);
    let lines = blocks.flat_map(|block| block.split("```").next().unwrap_or_default().lines());
    let check = |line: &str| {
        parse(line).unwrap_or_else(|e| panic!("{}", e.render(line)));
    };
    lines.map(check).count()
}

/// Guards against a table or field that is missing from the page.
#[test]
fn fields_are_listed() {
    for table in Table::ALL {
        let start = format!("| `{table}` | ");
        let row = LANGUAGE.lines().find_map(|line| line.strip_prefix(&start));
        let fields: Vec<String> = table.fields().iter().map(|f| format!("`{f}`")).collect();
        assert_eq!(row.unwrap().trim_end_matches(" |"), fields.join(" "));
    }
}

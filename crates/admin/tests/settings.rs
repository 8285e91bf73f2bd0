//! Settings of the admin process.

use std::path::Path;

use lagoon_admin::AdminSettings;
use lagoon_process::settings::parse;

const VALID: &str = "process: admin-1\nfailure_domain: cluj\nlisten: 127.0.0.1:7300\n\
    store: 127.0.0.1:7000\nschedulers: [\"127.0.0.1:7100\"]\n\
    operators: [{operator: ana, token: token-of-ana-0123}]\n";

macro_rules! rejected {
    ($($name:ident: $from:literal => $to:literal, $key:literal;)*) => {
        $(
            /// Guards against an invalid value that is not rejected when the settings are loaded.
            #[test]
            fn $name() {
                let text = VALID.replace($from, $to);
                let errors = parse::<AdminSettings>(Path::new("a.yaml"), &text).unwrap_err();
                assert!(errors.to_string().contains($key), "{errors}");
            }
        )*
    };
}

rejected! {
    no_scheduler: "[\"127.0.0.1:7100\"]" => "[]", "schedulers";
    no_operator: "[{operator: ana, token: token-of-ana-0123}]" => "[]", "operators";
    short_token: "token-of-ana-0123" => "short", "operators.0.token";
    large_segment: "process:" => "audit: {segment_bytes: 2MB}\nprocess:", "audit.segment_bytes";
    one_segment: "process:" => "audit: {segments: 1}\nprocess:", "audit.segments";
    no_time: "process:" => "ask_timeout: 0ms\nprocess:", "ask_timeout";
}

/// Guards against a token that is leaked when the settings are logged.
#[test]
fn token_is_not_printed() {
    let settings = parse::<AdminSettings>(Path::new("a.yaml"), VALID).unwrap();
    assert!(!format!("{settings:?}").contains("token-of-ana"));
}

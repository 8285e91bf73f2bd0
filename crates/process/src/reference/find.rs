use crate::reference::{Entry, Kind};

/// Returns the entries of `key` and of the keys nested below it, in all kinds of file.
pub fn find(key: &str) -> Vec<(Kind, &'static Entry)> {
    all().filter(|(_, entry)| entry.matches(key)).collect()
}

/// Returns the keys that contain `text`, as suggestions for an unknown key.
pub fn similar(text: &str) -> Vec<&'static str> {
    let mut keys: Vec<&str> = all().map(|(_, entry)| entry.key).collect();
    keys.retain(|key| key.contains(text));
    keys.sort_unstable();
    keys.dedup();
    keys
}

fn all() -> impl Iterator<Item = (Kind, &'static Entry)> {
    let entries = |kind: &Kind| {
        let kind = *kind;
        kind.entries().map(move |entry| (kind, entry))
    };
    Kind::ALL.iter().flat_map(entries)
}

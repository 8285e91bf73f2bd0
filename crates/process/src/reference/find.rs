use crate::reference::{Entry, Kind};

/// Returns the entries of `key` and of the keys below it, in every kind of file.
pub fn find(key: &str) -> Vec<(Kind, &'static Entry)> {
    all().filter(|(_, entry)| entry.matches(key)).collect()
}

/// Returns the keys that contain `text`, for a key that does not exist.
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

//! Parsing of numbers that have a unit suffix.

/// Splits `text` into a leading decimal number and the suffix that follows.
pub(crate) fn split_suffix(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, suffix) = text.split_at(end);
    let value = number.parse::<f64>().ok()?;
    Some((value, suffix.trim()))
}

/// Converts a scaled value to an integer. Returns `None` for a fraction, a negative value or one above 2^53, where
/// `f64` is no longer exact.
pub(crate) fn to_exact_integer(value: f64) -> Option<u64> {
    const MAX_EXACT: f64 = 9_007_199_254_740_992.0;
    let rounded = value.round();
    let exact = (value - rounded).abs() < 1e-6;
    (exact && (0.0..=MAX_EXACT).contains(&rounded)).then_some(rounded as u64)
}

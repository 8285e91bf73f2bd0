//! Parsing of numbers with a unit suffix.

/// Splits `text` into its leading decimal number and the suffix behind it.
pub(crate) fn split_suffix(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, suffix) = text.split_at(end);
    let value = number.parse::<f64>().ok()?;
    Some((value, suffix.trim()))
}

/// Converts a scaled value to an integer; rejects fractions and values that `u64` can't hold exactly.
pub(crate) fn to_exact_integer(value: f64) -> Option<u64> {
    const LARGEST_EXACT: f64 = 9_007_199_254_740_992.0;
    let whole = value.round();
    let exact = (value - whole).abs() < 1e-6;
    (exact && (0.0..=LARGEST_EXACT).contains(&whole)).then_some(whole as u64)
}

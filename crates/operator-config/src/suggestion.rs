//! Suggestions for unknown names.

/// Minimum similarity (Jaro-Winkler, 0 to 1) of a known name that is suggested.
const MIN_SIMILARITY: f64 = 0.75;
/// Maximum number of known names that are listed when none is similar.
const MAX_LISTED_NAMES: usize = 64;

/// Returns a help text with the known name that is most similar to an unknown one, or with a list
/// of the known names if none is similar.
pub(crate) fn suggest<'a>(unknown: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    let similarity = |name: &&str| strsim::jaro_winkler(unknown, name);
    let best = known
        .clone()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    if let Some(best) = best.filter(|best| similarity(best) >= MIN_SIMILARITY) {
        return format!("did you mean '{best}'?");
    }
    let mut names: Vec<&str> = known.collect();
    names.dedup();
    match names.len().saturating_sub(MAX_LISTED_NAMES) {
        0 => format!("expected one of: {}", names.join(", ")),
        more => format!(
            "expected one of: {} and {more} more",
            names[..MAX_LISTED_NAMES].join(", ")
        ),
    }
}

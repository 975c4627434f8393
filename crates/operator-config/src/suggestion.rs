//! What an unknown name was probably meant to be.

/// Similarity (Jaro-Winkler, 0 to 1) from which on a known name is suggested.
const MIN_SIMILARITY: f64 = 0.75;
/// Known names that are listed at most when none is similar.
const MAX_LISTED_NAMES: usize = 64;

/// Suggests the known name that is most similar to an unknown one; lists the known names if none is
/// similar.
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
        0 => format!("there are {}", names.join(", ")),
        more => format!(
            "there are {} and {more} more",
            names[..MAX_LISTED_NAMES].join(", ")
        ),
    }
}

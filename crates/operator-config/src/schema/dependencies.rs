//! Settings that require another setting.

/// A setting that has no effect unless another setting of its section is present in the file and is
/// not `#false`.
pub(crate) struct Dependency {
    /// The section of both settings.
    pub section: &'static str,
    /// The setting that has no effect on its own.
    pub name: &'static str,
    /// The setting that it requires.
    pub required: &'static str,
}

const fn dependency(
    section: &'static str,
    name: &'static str,
    required: &'static str,
) -> Dependency {
    Dependency {
        section,
        name,
        required,
    }
}

/// All dependencies between settings. A file that contains the dependent setting without the
/// required one is rejected.
pub(crate) const DEPENDENCIES: &[Dependency] = &[
    dependency("admission", "per-client", "by-address"),
    dependency("admission", "per-neighbourhood", "by-address"),
    dependency("admission", "rate-client", "by-address"),
    dependency("admission", "rate-neighbourhood", "by-address"),
    dependency("admission", "prefixes", "by-address"),
    dependency("standing", "every", "file"),
    dependency("standing", "most", "file"),
    dependency("membership", "listen", "key-file"),
    dependency("membership", "key-file", "listen"),
    dependency("membership", "cluster", "listen"),
    dependency("membership", "other-key-file", "listen"),
    dependency("membership", "seeds", "listen"),
    dependency("membership", "paths", "listen"),
    dependency("membership", "expected", "listen"),
    dependency("membership", "zone", "listen"),
    dependency("membership", "period", "listen"),
    dependency("membership", "timeout", "listen"),
    dependency("membership", "gossip", "listen"),
    dependency("membership", "sync", "listen"),
    dependency("membership", "suspicion", "listen"),
    dependency("membership", "datagrams", "listen"),
    dependency("membership", "status", "listen"),
];

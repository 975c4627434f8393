//! Settings that depend on others.

/// A setting that has no effect unless another one of its section is given, and is not off.
pub(crate) struct Dependency {
    pub section: &'static str,
    pub name: &'static str,
    pub needed: &'static str,
}

const fn depends(section: &'static str, name: &'static str, needed: &'static str) -> Dependency {
    Dependency {
        section,
        name,
        needed,
    }
}

/// All dependencies between settings.
pub(crate) const DEPENDENCIES: &[Dependency] = &[
    depends("admission", "per-client", "by-address"),
    depends("admission", "per-neighbourhood", "by-address"),
    depends("admission", "rate-client", "by-address"),
    depends("admission", "rate-neighbourhood", "by-address"),
    depends("admission", "prefixes", "by-address"),
    depends("standing", "every", "file"),
    depends("standing", "most", "file"),
    depends("membership", "listen", "key-file"),
    depends("membership", "key-file", "listen"),
    depends("membership", "cluster", "listen"),
    depends("membership", "other-key-file", "listen"),
    depends("membership", "seeds", "listen"),
    depends("membership", "paths", "listen"),
    depends("membership", "expected", "listen"),
    depends("membership", "zone", "listen"),
    depends("membership", "period", "listen"),
    depends("membership", "timeout", "listen"),
    depends("membership", "gossip", "listen"),
    depends("membership", "sync", "listen"),
    depends("membership", "suspicion", "listen"),
    depends("membership", "datagrams", "listen"),
    depends("membership", "status", "listen"),
];

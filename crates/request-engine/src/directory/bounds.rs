//! The limits of a directory.

/// The limits on the number of entries of a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryBounds {
    /// The maximum number of named services.
    pub services: usize,
    /// The maximum number of routes.
    pub routes: usize,
}

//! How much a directory may hold.

/// Most entries that a directory may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryBounds {
    /// Most services.
    pub services: usize,
    /// Most routes.
    pub routes: usize,
}

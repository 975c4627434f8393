//! Runtimes of the testbed's sides.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// A runtime with one thread of this name, so that one side of a measurement does not slow the
/// others.
pub fn single_thread_runtime(name: &str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(name)
        .enable_all()
        .build()
}
